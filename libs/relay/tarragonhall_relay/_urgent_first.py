"""Urgent calls first, over all entries: what this entry counts, tells the others and refuses.

Only services whose routes or organisations differ in priority are affected. The decisions are in
`AdmissionLevel`, `FairParts`, `ProgramSlack` and `UrgentTier`; this module keeps their counts.
"""

from __future__ import annotations

from collections import OrderedDict

import structlog
from tarragonhall_decisions import (
    AdmissionLevel,
    ClassLoad,
    ProgramSlack,
    QueuedCall,
    ServiceLoad,
    StartRefused,
    UrgentTier,
    urgency_of,
)
from tarragonhall_model import LoadDetail, RelayConfig

from tarragonhall_relay._admission import AdmittedCall
from tarragonhall_relay._state import RelayState
from tarragonhall_relay._urgent_call import ClassCounts, UrgentCall, UrgentService

log = structlog.get_logger(__name__)

# Part of the time that a turn may take which the calls of a class may take on average: about half
# of them take longer.
TARGET_FRACTION = 0.75
# Part of a class's latency objective that its calls may wait for a slot on average. First calls are
# refused after half of their objective, so the level must rise before.
WAIT_FRACTION = 0.25
# Objective of routes that have none, in seconds.
DEFAULT_OBJECTIVE_S = 1.0
# Longest time in seconds for which a call leaves its entry's share to more urgent ones elsewhere.
MAX_YIELD_S = 1.0
# Programs whose first refusal is remembered, and for how long: callers return within seconds.
MAX_REFUSED = 2_048
REFUSED_VALID_S = 10.0
# Seconds between two log lines about the level of a service.
LOG_INTERVAL_S = 1.0


class UrgentFirst:
    """The services of one entry whose callers differ in priority."""

    __slots__ = ("_config", "_refused_at_by_program", "_service_by_name", "_slack", "_state")

    def __init__(self, state: RelayState) -> None:
        self._state = state
        self._config: RelayConfig | None = None
        self._service_by_name: dict[str, UrgentService] = {}
        self._slack = ProgramSlack()
        self._refused_at_by_program: OrderedDict[str, float] = OrderedDict()

    def call(self, call: AdmittedCall, service: str, urgency: int) -> UrgentCall | None:
        """Return the part of a call in the order by urgency; None if its service has none."""
        found = self.service(service)
        if found is None:
            return None
        counts = found.counts_by_urgency.get(urgency)
        if counts is None:
            return None
        counts.is_used = True
        counts.kinds.add(call.route.name)
        return UrgentCall(self, found, counts, call, urgency)

    def service(self, name: str) -> UrgentService | None:
        """Return what is kept for a service; None if its callers do not differ in priority."""
        self._follow_table()
        return self._service_by_name.get(name)

    def yields(self, service: str, call: QueuedCall, tier: object) -> bool:
        """Return whether a waiting call leaves this entry's share to urgent ones elsewhere."""
        found = self._service_by_name.get(service)
        if found is None or found.urgent_elsewhere is None or not isinstance(tier, UrgentTier):
            return False
        waited_s = self._state.monotonic() - call.arrived
        return tier.urgency > found.urgent_elsewhere and waited_s < MAX_YIELD_S

    def report_load(self, detail: LoadDetail, now: float) -> None:
        """Add the waiting, running and ended calls by class, and the largest organisations."""
        for service in self._service_by_name.values():
            self.step(service, now)
            for counts in service.counts_by_urgency.values():
                ended, taken_s = counts.recent(now)
                if counts.waiting:
                    detail.waiting_by_class[counts.key] = counts.waiting
                if counts.running:
                    detail.running_by_class[counts.key] = counts.running
                if ended:
                    detail.ended_by_class[counts.key] = ended
                    detail.taken_ms_by_class[counts.key] = round(taken_s * 1000)
            for org_id, calls in service.parts.largest():
                detail.calls_by_organisation[f"{service.name}/{org_id}"] = calls

    def step(self, service: UrgentService, now: float) -> None:
        """Move the level of a service by the news of all entries, if that is due."""
        if not service.level.is_due(now):
            return
        others = self._state.chooser.others(now)
        detail = others.detail()
        load = ServiceLoad(self._state.chooser.known.slots(service.name))
        service.urgent_elsewhere = None
        for urgency, counts in sorted(service.counts_by_urgency.items()):
            ended, taken_s = counts.recent(now)
            waiting_elsewhere = detail.waiting_by_class.get(counts.key, 0)
            load.class_by_urgency[urgency] = ClassLoad(
                self._target_s(counts),
                counts.max_wait_s,
                counts.waiting + waiting_elsewhere,
                counts.running + detail.running_by_class.get(counts.key, 0),
                ended + detail.ended_by_class.get(counts.key, 0),
                taken_s + detail.taken_ms_by_class.get(counts.key, 0) / 1000,
            )
            if waiting_elsewhere and service.urgent_elsewhere is None:
                service.urgent_elsewhere = urgency
            counts.is_used = counts.is_used or load.class_by_urgency[urgency].running > 0
            self._state.metrics.gauge(f"relay.waiting.urgency_{urgency}", counts.waiting)
        service.calls = load.calls()
        run_s = self._state.chooser.run_times(service.name).run_ms / 1000
        # Classes that only unused routes belong to must not count as the most urgent ones.
        used = [one for one, counts in service.counts_by_urgency.items() if counts.is_used]
        service.level.step(load, used, run_s, now)
        for urgency, counts in service.counts_by_urgency.items():
            counts.target_s = service.level.target_s(urgency)
        running = sum(one.running for one in load.class_by_urgency.values())
        share = running / run_s / (1 + others.entries()) if run_s > 0.0 else 0.0
        self._state.slots.set_least_drain(service.name, share)
        self._state.metrics.gauge("relay.admission_level", service.level.level)
        self._log_level(service, load, now)

    def refuse_start(self, call: UrgentCall, now: float) -> StartRefused | None:
        """Return why a program must not start now, or None if it may."""
        self.step(call.service, now)
        program_id = call.admitted.facts.program_id
        first_refused = self._refused_at_by_program.get(program_id)
        waited = first_refused is not None and now - first_refused < REFUSED_VALID_S
        refused = call.service.level.refuse_start(call.urgency, self._excess(call, now), waited)
        if refused is None:
            return None
        if program_id and not waited:
            self._refused_at_by_program[program_id] = now
            if len(self._refused_at_by_program) > MAX_REFUSED:
                self._refused_at_by_program.popitem(last=False)
        labels = (("reason", refused.reason), ("urgency", str(call.urgency)))
        self._state.metrics.count("relay.starts_refused", labels=labels)
        return refused

    def slack_s(self, call: UrgentCall, now: float) -> float | None:
        """Return the time that the program of a call has to spare; None if it is not known."""
        if call.left_s is None:
            return None
        program_id = call.admitted.facts.program_id
        slack_s = self._slack.slack_s(call.kind, program_id, call.turn, call.left_s)
        first_refused = self._refused_at_by_program.get(program_id)
        if slack_s is not None and first_refused is not None and not call.turn:
            # Programs that return go in the order of their first arrival.
            slack_s -= min(REFUSED_VALID_S, now - first_refused)
        return slack_s

    @property
    def slack(self) -> ProgramSlack:
        """Return what is learnt of the programs."""
        return self._slack

    @property
    def state(self) -> RelayState:
        """Return the state that all calls share."""
        return self._state

    def _target_s(self, counts: ClassCounts) -> float:
        """Return how long the calls of a class may take on average; 0 if it is not known."""
        allowed = [self._slack.allowed_s(kind) for kind in counts.kinds]
        known = [one for one in allowed if one is not None]
        return TARGET_FRACTION * min(known) if known else 0.0

    def _excess(self, call: UrgentCall, now: float) -> float:
        org_id = call.admitted.org_id
        if org_id is None:
            return 0.0
        elsewhere = self._state.chooser.others(now).detail().calls_by_organisation
        key = f"{call.service.name}/{org_id}"
        return call.service.parts.excess(org_id, elsewhere, key, call.service.calls)

    def _log_level(self, service: UrgentService, load: ServiceLoad, now: float) -> None:
        level = (service.level.level > 0.0, service.level.refused_urgency())
        if level == service.logged or now - service.logged_at < LOG_INTERVAL_S:
            return
        service.logged, service.logged_at = level, now
        log.info(
            "admission.level_changed",
            service=service.name,
            admission_level=round(service.level.level, 2),
            refused_urgency=level[1],
            waiting=sum(one.waiting for one in load.class_by_urgency.values()),
            running=sum(one.running for one in load.class_by_urgency.values()),
            slots=load.slots,
            reserve=service.level.reserve(),
        )

    def _follow_table(self) -> None:
        """Rebuild the services after a change of the relay document, and keep their counts."""
        config = self._state.table.config
        if config is self._config:
            return
        self._config = config
        objectives = _objectives_by_service(config)
        for name in self._service_by_name.keys() - objectives.keys():
            del self._service_by_name[name]
        for name, objective_by_urgency in objectives.items():
            service = self._service_by_name.get(name)
            if service is None:
                service = UrgentService(name, AdmissionLevel(self._state.rng), {})
                self._service_by_name[name] = service
            for urgency, objective_s in objective_by_urgency.items():
                counts = service.counts_by_urgency.setdefault(
                    urgency, ClassCounts(f"{name}/{urgency}")
                )
                counts.max_wait_s = WAIT_FRACTION * objective_s
                counts.kinds.clear()


def _objectives_by_service(config: RelayConfig) -> dict[str, dict[int, float]]:
    """Return the objective in seconds by urgency, for the services where urgencies differ."""
    organisation_priorities = {one.priority for one in config.organisations or ()} or {0}
    objectives: dict[str, dict[int, float]] = {}
    for route in config.routes:
        objective_s = route.objective_ms / 1000 or DEFAULT_OBJECTIVE_S
        for weighted in route.services:
            by_urgency = objectives.setdefault(weighted.service, {})
            for priority in organisation_priorities:
                urgency = urgency_of(priority, route.priority)
                by_urgency[urgency] = min(objective_s, by_urgency.get(urgency, objective_s))
    return {name: by_urgency for name, by_urgency in objectives.items() if len(by_urgency) > 1}
