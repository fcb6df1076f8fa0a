"""Admission of calls: checks the route, organisation, home regions, earlier crashes and rate.

A rejection made here proves that the call did not run: no byte of it has left this process.
"""

from __future__ import annotations

from dataclasses import dataclass

import structlog
from tarragonhall_decisions import Deadline, home_zones, stays_in_regions
from tarragonhall_model import (
    InputError,
    Refusal,
    RefusalCode,
    RelayOrganisation,
    Route,
    fingerprint,
)
from tarragonhall_wire import RequestError

from tarragonhall_relay._client import ClientRequest
from tarragonhall_relay._dialect import CallFacts
from tarragonhall_relay._state import RelayState

log = structlog.get_logger(__name__)

# Before the first relay document, or while control is unreachable, a wrong 404 or 401 would end a
# program for good, so the client is asked to retry instead.
STALE_CONFIG_RETRY_S = 0.6
STATUS_BY_CODE = {
    RefusalCode.RATE_EXCEEDED: 429,
}
STATUS_UNAVAILABLE = 503
# An organisation over its rate must not start programs that it cannot finish: each needs about ten
# more calls, and any of them that is rejected ends its program. The delay is about the length of
# one turn, after which some of the running programs have ended.
NEW_PROGRAM_RETRY_S = 0.7
# An unreachable owner of a rate is replaced within two seconds. With the delay of 20 ms that suits
# an empty token bucket, a client would use up its attempts before that.
RATE_OWNER_RETRY_S = 0.5
# Only an operator's command can change where calls bound to home regions may run, so an early
# retry is of no use.
HOME_REGION_RETRY_S = 5.0


@dataclass(slots=True, frozen=True)
class Rejection:
    """The response to a call that did not run; `retry_after_s` becomes its Retry-After header."""

    status: int
    error: str
    message: str
    retry_after_s: float | None = None


# Other entries take the call at once.
STOPPING = Rejection(STATUS_UNAVAILABLE, "stopping", "this process is about to stop", 0.0)


@dataclass(slots=True, frozen=True)
class AdmittedCall:
    """A call that may run; `deadline` is in monotonic seconds.

    `home_zones` are the only availability zones where it may run; None means any.
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
    def starts_program(self) -> bool:
        """Return whether the call is the first turn of its conversation."""
        return self.route.retained and self.facts.previous_turn is None


@dataclass(slots=True, frozen=True)
class _Identity:
    """What the head of a call says: its facts, its route and the organisation that calls."""

    facts: CallFacts
    route: Route
    organisation: RelayOrganisation | None


def screen(state: RelayState, request: ClientRequest) -> str:
    """Return the organisation of a call whose body is still to be read, empty if it needs none.

    Raises `RequestError` for a call that cannot run whatever its body is, so that nothing is held
    for it.
    """
    if state.table is None:
        # Its document may arrive before the body has.
        return ""
    identity = _identify(state, request)
    if isinstance(identity, Rejection):
        raise RequestError(
            identity.status, identity.message, identity.error, identity.retry_after_s
        )
    return identity.organisation.org_id if identity.organisation is not None else ""


def admit(state: RelayState, request: ClientRequest, arrived_at: float) -> AdmittedCall | Rejection:
    """Check everything that a call needs in order to run, except its rate."""
    if state.table is None:
        return _stale_config("no relay configuration has been received yet")
    identity = _identify(state, request)
    if isinstance(identity, Rejection):
        return identity
    facts, route, organisation = identity.facts, identity.route, identity.organisation
    limit_ms = route.timeout_ms
    if facts.deadline_ms is not None:
        limit_ms = min(limit_ms, facts.deadline_ms)
    deadline = Deadline(arrived_at + limit_ms / 1000)
    request_fingerprint = _fingerprint(request, organisation)
    wait_s = state.crash_suspects.wait_s(request_fingerprint, state.monotonic())
    if wait_s > 0:
        message = "the request crashed every backend server that ran it"
        return Rejection(STATUS_UNAVAILABLE, RefusalCode.QUARANTINED.value, message, wait_s)
    org_regions = organisation.home_regions if organisation is not None else ()
    homes = home_zones(route.home_regions, org_regions, state.region_by_zone)
    if homes is not None and not _can_store_at_home(state, route, homes):
        return _home_region_rejection("turns cannot be stored only in the home regions of the call")
    return AdmittedCall(request, facts, route, organisation, deadline, request_fingerprint, homes)


def _identify(state: RelayState, request: ClientRequest) -> _Identity | Rejection:
    """Return what the head of a call says, or its rejection by the document in force."""
    table = state.table
    try:
        facts = state.dialect.read_call(request.headers)
    except InputError as error:
        return Rejection(400, "bad_input", str(error))
    route = table.match(request.host, request.path)
    if route is None:
        if not state.is_fresh():
            return _stale_config("the configuration is stale: cannot tell whether the route exists")
        return Rejection(404, "not_found", f"no route for {request.host}{request.path}")
    if not table.needs_key(route):
        return _Identity(facts, route, None)
    organisation = table.organisation_by_key.get(facts.key or "")
    if organisation is None:
        if not state.is_fresh():
            return _stale_config("the configuration is stale: cannot tell whether the key is valid")
        return Rejection(401, "unauthenticated", "the key is unknown")
    return _Identity(facts, route, organisation)


def attempt_id_of(state: RelayState, request: ClientRequest) -> str | None:
    """Return the client's name for the attempt, None if its headers cannot be read."""
    try:
        return state.dialect.read_call(request.headers).attempt_id
    except InputError:
        return None


def take_rate_token(state: RelayState, call: AdmittedCall, service: str) -> Rejection | None:
    """Wait for a token of the organisation's rate; return a rejection if none comes in time.

    `service` is the service that is to run the call.
    """
    if call.organisation is None or call.organisation.rate is None:
        return None
    starts_program = call.starts_program
    if starts_program and state.rates.is_exhausted(call.organisation.org_id):
        message = "the organisation is over its rate; running programs go first"
        return Rejection(429, RefusalCode.RATE_EXCEEDED.value, message, NEW_PROGRAM_RETRY_S)
    program_started = bool(call.facts.program_id) and not starts_program
    # Clients choose attempt ids, and two concurrent calls could carry the same one.
    call_id = f"{call.facts.attempt_id}/{id(call)}"
    run_s = state.chooser.run_times(service).mean_run_s(call.route.name)
    refusal = state.rates.take(
        call.organisation.org_id, call_id, call.deadline, program_started, run_s
    )
    if refusal is not None:
        log.info(
            "rate.refused",
            id=call.facts.attempt_id,
            organisation=call.organisation.org_id,
            code=refusal.code.value,
            owner=state.rates.owner_of(call.organisation.org_id),
            retry_after_ms=refusal.retry_after_ms,
        )
    return None if refusal is None else rejection_for(refusal)


def reject_late(state: RelayState, call: AdmittedCall) -> Rejection | None:
    """Return the rejection of a call that this entry may not finish before it stops."""
    return STOPPING if state.planned_stop.is_too_late(call.deadline.at) else None


def return_rate_token(state: RelayState, call: AdmittedCall) -> None:
    """Return the token of a call that certainly did not run: a rate limits calls that run."""
    if call.organisation is not None and call.organisation.rate is not None:
        state.rates.return_token(call.organisation.org_id)


def rejection_for(refusal: Refusal) -> Rejection:
    """Return the response that reports a refusal to the client."""
    status = STATUS_BY_CODE.get(refusal.code, STATUS_UNAVAILABLE)
    retry_after_s = None
    if refusal.retry_after_ms is not None:
        retry_after_s = refusal.retry_after_ms / 1000
    if refusal.code is RefusalCode.UNAVAILABLE:
        retry_after_s = max(retry_after_s or 0.0, RATE_OWNER_RETRY_S)
    return Rejection(status, refusal.code.value, refusal.message, retry_after_s)


def _can_store_at_home(state: RelayState, route: Route, homes: frozenset[str]) -> bool:
    """Return whether the turns of a route are stored in its home regions only."""
    if not route.retained:
        return True
    return stays_in_regions(
        state.store_zones(), homes, state.availability_zone, state.region_by_zone
    )


def _home_region_rejection(message: str) -> Rejection:
    return Rejection(STATUS_UNAVAILABLE, RefusalCode.NO_SERVER.value, message, HOME_REGION_RETRY_S)


def _stale_config(message: str) -> Rejection:
    return Rejection(STATUS_UNAVAILABLE, RefusalCode.STALE.value, message, STALE_CONFIG_RETRY_S)


def _fingerprint(request: ClientRequest, organisation: RelayOrganisation | None) -> str:
    """Return a hash that is the same for every attempt at one request."""
    org_id = organisation.org_id if organisation is not None else ""
    return fingerprint(org_id, request.method, request.target, request.body)
