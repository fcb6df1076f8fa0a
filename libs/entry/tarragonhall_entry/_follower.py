"""The follower of an entry, which forwards changes to the rate limiter, scheduler and links."""

from __future__ import annotations

import eventlet
from tarragonhall_model import Fresh, LinkError, PolicyDelta, View
from tarragonhall_rates import Rates
from tarragonhall_state import Follower
from tarragonhall_wire import ProcessContext

from tarragonhall_entry._scheduler import Scheduler
from tarragonhall_entry._slot_queue import SlotQueue


class EntryFollower(Follower):
    """Follows settings and views, and applies them to the rate limiter and the scheduler."""

    __slots__ = ("_context", "_rates", "_scheduler", "slot_queue")

    def __init__(self, context: ProcessContext, rates: Rates, scheduler: Scheduler) -> None:
        super().__init__()
        self._context = context
        self._rates = rates
        self._scheduler = scheduler
        self.slot_queue: SlotQueue | None = None

    def apply_policy(self, delta: PolicyDelta) -> bool:
        """Apply a delta or a full set of settings; return whether it was applied."""
        before = set(self.organisation_by_id)
        if not super().apply_policy(delta):
            return False
        for organisation in delta.organisations:
            self._rates.set_policy(organisation)
        for org_id in before - set(self.organisation_by_id):
            self._rates.remove_organisation(org_id)
        return True

    def apply_view(self, view: View) -> bool:
        """Apply a view of a later epoch; return whether it was applied."""
        before = self.view
        if not super().apply_view(view):
            return False
        self._scheduler.apply_view(view)
        self._update_links(before)
        self._rates.on_view(view)
        if self.slot_queue is not None:
            self.slot_queue.assign_free_slots()
        return True

    def confirm(self, fresh: Fresh, sent_at: float) -> None:
        """Handle the reply to a heartbeat."""
        super().confirm(fresh, sent_at)
        # The lease on granting tokens may be extended only with the freshness lease.
        if self._lease_start is not None:
            self._rates.renew_lease(self._lease_start)

    def _update_links(self, before: View) -> None:
        """Dial new servers now, so that their first call need not wait, and drop removed ones."""
        wanted = {server.address for server in self._scheduler.servers()}
        for address in wanted:
            eventlet.spawn_n(self._dial, address)
        retained = wanted | {entry.address for entry in self.view.entries}
        retained.update(self._context.control_addresses)
        members = [*before.servers, *before.entries]
        for address in {member.address for member in members} - retained:
            self._context.hub.disconnect(address)

    def _dial(self, address: str) -> None:
        try:
            self._context.hub.link_to(address)
        except LinkError:
            # The hub keeps dialling; the first load report on the link shows that it is up.
            return
