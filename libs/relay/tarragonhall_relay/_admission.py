"""Whether a call may run: its route, its organisation, its crashes so far and its rate.

Every refusal here is final and true: nothing of the call has left this process.
"""

from __future__ import annotations

from dataclasses import dataclass

import structlog
from tarragonhall_decisions import Deadline, home_zones, stays_home
from tarragonhall_model import (
    InputError,
    Refusal,
    RefusalCode,
    RelayOrganisation,
    Route,
    fingerprint,
)

from tarragonhall_relay._client import ClientRequest
from tarragonhall_relay._dialect import CallFacts
from tarragonhall_relay._state import RelayState

log = structlog.get_logger(__name__)

# Until the first document, or while control is not heard, a wrong "no such route" or "no such key"
# would end a program for good; the client is better off coming back.
UNSURE_RETRY_S = 0.6
STATUS_BY_CODE = {
    RefusalCode.RATE_EXCEEDED: 429,
}
UNAVAILABLE = 503
# An organisation over its rate must not start programs that it can't finish: each needs about ten
# calls more, and every one of them that is refused ends its program. About a turn's time, after
# which some of those under way have ended.
START_RETRY_S = 0.7
# The owner of a rate that is not heard is followed by another within two seconds. Told to come back
# after 20 ms, as for a bucket that refills, a caller uses up its tries before that.
OWNER_RETRY_S = 0.5
# What binds calls to their home regions changes with operators' orders alone.
HOME_RETRY_S = 5.0
# A request that crashes servers is not to come back soon.
BARRED_RETRY_S = 60.0


@dataclass(slots=True, frozen=True)
class Refused:
    """The answer to a call that did not run. `retry_after_s` says when to come back."""

    status: int
    error: str
    message: str
    retry_after_s: float | None = None


@dataclass(slots=True, frozen=True)
class Admitted:
    """A call that may run; `deadline` is in monotonic seconds.

    `home_zones` are the only availability zones where it may run, None for any.
    """

    request: ClientRequest
    facts: CallFacts
    route: Route
    organisation: RelayOrganisation | None
    deadline: Deadline
    fingerprint: str
    home_zones: frozenset[str] | None = None

    @property
    def org_id(self) -> str | None:
        """Return the organisation for which the call runs, if it needs one."""
        return self.organisation.org_id if self.organisation is not None else None

    @property
    def begins_program(self) -> bool:
        """Return whether the call is the first of its conversation, with nothing done yet."""
        return self.route.retained and self.facts.previous_turn is None


def admit(state: RelayState, request: ClientRequest, arrived_at: float) -> Admitted | Refused:
    """Find out whether a call may run, short of its rate."""
    table = state.table
    if table is None:
        return _unsure("no configuration has arrived yet")
    try:
        facts = state.dialect.read_call(request.headers)
    except InputError as error:
        return Refused(400, "bad_input", str(error))
    route = table.match(request.host, request.path)
    if route is None:
        if not state.is_fresh():
            return _unsure("whether the route exists cannot be told right now")
        return Refused(404, "not_found", f"no route for {request.host}{request.path}")
    organisation = table.organisation_by_key.get(facts.key or "")
    if table.needs_key(route) and organisation is None:
        if not state.is_fresh():
            return _unsure("whether the key is valid cannot be told right now")
        return Refused(401, "unauthenticated", "the key is unknown")
    if not table.needs_key(route):
        organisation = None
    limit_ms = route.timeout_ms
    if facts.deadline_ms is not None:
        limit_ms = min(limit_ms, facts.deadline_ms)
    deadline = Deadline(arrived_at + limit_ms / 1000)
    mark = _fingerprint(request, organisation)
    if state.suspects.is_barred(mark, state.monotonic()):
        message = "the request broke every backend server that ran it"
        return Refused(UNAVAILABLE, RefusalCode.QUARANTINED.value, message, BARRED_RETRY_S)
    org_regions = organisation.home_regions if organisation is not None else ()
    homes = home_zones(route.home_regions, org_regions, state.region_by_zone)
    if homes is not None and not _may_be_kept(state, route, homes):
        return _away_from_home("no store keeps turns in the home regions of the call alone")
    return Admitted(request, facts, route, organisation, deadline, mark, homes)


def take_rate(state: RelayState, call: Admitted, service: str) -> Refused | None:
    """Wait for a token of the organisation's rate; return the refusal where there is none.

    `service` is the one that is to run the call.
    """
    if call.organisation is None or call.organisation.rate is None:
        return None
    starts = call.begins_program
    if starts and state.rates.is_dry(call.organisation.org_id):
        message = "the organisation is over its rate; programs under way go first"
        return Refused(429, RefusalCode.RATE_EXCEEDED.value, message, START_RETRY_S)
    under_way = bool(call.facts.program_id) and not starts
    # The client chooses the attempt's id and could use one twice at once.
    call_id = f"{call.facts.attempt_id}/{id(call)}"
    run_s = state.chooser.pace(service).run_of_s(call.route.name)
    refusal = state.rates.take(call.organisation.org_id, call_id, call.deadline, under_way, run_s)
    if refusal is not None:
        log.info(
            "rate.refused",
            id=call.facts.attempt_id,
            organisation=call.organisation.org_id,
            code=refusal.code.value,
            owner=state.rates.owner_of(call.organisation.org_id),
            retry_after_ms=refusal.retry_after_ms,
        )
    return None if refusal is None else refused_for(refusal)


def give_back_rate(state: RelayState, call: Admitted) -> None:
    """Return the token of a call that surely did not run: a rate limits what runs."""
    if call.organisation is not None and call.organisation.rate is not None:
        state.rates.give_back(call.organisation.org_id)


def refused_for(refusal: Refusal) -> Refused:
    """Return the answer that tells a client of a refusal."""
    status = STATUS_BY_CODE.get(refusal.code, UNAVAILABLE)
    retry_after_s = None
    if refusal.retry_after_ms is not None:
        retry_after_s = refusal.retry_after_ms / 1000
    if refusal.code is RefusalCode.UNAVAILABLE:
        retry_after_s = max(retry_after_s or 0.0, OWNER_RETRY_S)
    return Refused(status, refusal.code.value, refusal.message, retry_after_s)


def _may_be_kept(state: RelayState, route: Route, homes: frozenset[str]) -> bool:
    """Return whether stores keep what is said on a route in its home regions alone."""
    if not route.retained:
        return True
    return stays_home(state.store_zones(), homes, state.availability_zone, state.region_by_zone)


def _away_from_home(message: str) -> Refused:
    return Refused(UNAVAILABLE, RefusalCode.NO_SERVER.value, message, HOME_RETRY_S)


def _unsure(message: str) -> Refused:
    return Refused(UNAVAILABLE, RefusalCode.STALE.value, message, UNSURE_RETRY_S)


def _fingerprint(request: ClientRequest, organisation: RelayOrganisation | None) -> str:
    """Return what stays the same when a client sends a request again as a new attempt."""
    org_id = organisation.org_id if organisation is not None else ""
    return fingerprint(org_id, request.method, request.target, request.body)
