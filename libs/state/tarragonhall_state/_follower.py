"""Read-only replica of settings and view in a process without a log, with a freshness lease.

A control member in a silent partition would go on serving old settings, and a process that was
paused would go on using its own; either way a withdrawn key would keep working. So the lease
starts when the request was sent, by this process's monotonic clock, and once it has expired
`is_fresh` is false and nothing may be admitted.
"""

from __future__ import annotations

from tarragonhall_model import (
    Fresh,
    KeyPolicy,
    ModelPolicy,
    OrganisationPolicy,
    PolicyDelta,
    RelayDocument,
    View,
    ViewDelta,
    apply_view_delta,
)

# How long a process may act on settings that were current when it sent its last request, unless its
# deployment states an earlier time by which changes must be in force. Below the 5 s that hold
# otherwise. Above a heartbeat (1 s) and an election (up to 2 s): with 3 s, entries refused callers
# as stale after the leader was killed.
FRESHNESS_LEASE_SECONDS = 4.0


class Follower:
    """A read-only copy of the policy and the view, with its freshness lease."""

    __slots__ = (
        "_lease_start",
        "fencing",
        "key_by_hash",
        "lease_seconds",
        "model_by_name",
        "models_only",
        "organisation_by_id",
        "relay",
        "settings_revision",
        "view",
    )

    def __init__(
        self, lease_seconds: float = FRESHNESS_LEASE_SECONDS, models_only: bool = False
    ) -> None:
        self.lease_seconds = lease_seconds
        self.models_only = models_only
        self.organisation_by_id: dict[str, OrganisationPolicy] = {}
        self.key_by_hash: dict[str, KeyPolicy] = {}
        self.model_by_name: dict[str, ModelPolicy] = {}
        self.settings_revision = 0
        self.view = View(0, [], [])
        self.relay: RelayDocument | None = None
        self.fencing = 0
        self._lease_start: float | None = None

    def apply_policy(self, delta: PolicyDelta) -> bool:
        """Apply a delta based on the current revision, or a full set; ignore older ones."""
        if delta.revision <= self.settings_revision:
            return False
        if not delta.full and delta.base != self.settings_revision:
            return False
        if delta.models_only and not self.models_only:
            # Meant for a sidecar in this process. Applied as a complete delta, it would raise the
            # revision here without removing the keys that were withdrawn by then.
            return False
        if delta.full:
            self.organisation_by_id.clear()
            self.key_by_hash.clear()
            self.model_by_name.clear()
        self._merge(delta)
        self.settings_revision = delta.revision
        return True

    def apply_view(self, view: View) -> bool:
        """Apply a view of a later epoch; ignore older ones."""
        if view.epoch <= self.view.epoch:
            return False
        self.view = view
        return True

    def apply_view_delta(self, delta: ViewDelta) -> bool:
        """Apply a view delta based on the current view; ignore one with another base."""
        view = apply_view_delta(self.view, delta)
        return view is not None and self.apply_view(view)

    @property
    def relay_version(self) -> int:
        """Return the version of the current relay document; 0 before the first."""
        return self.relay.version if self.relay is not None else 0

    def apply_relay(self, document: RelayDocument) -> bool:
        """Apply a relay document of a higher version; ignore older ones."""
        if document.version <= self.relay_version:
            return False
        self.relay = document
        return True

    def confirm(self, fresh: Fresh, sent_at: float) -> None:
        """Apply the reply to a heartbeat that was sent at `sent_at`.

        The lease is extended only if this process is now as current as the leader was: a reply
        whose delta was lost must not make the old settings look fresh.
        """
        if fresh.policy is not None:
            self.apply_policy(fresh.policy)
        if fresh.view is not None:
            self.apply_view(fresh.view)
        if fresh.view_delta is not None:
            self.apply_view_delta(fresh.view_delta)
        if fresh.relay is not None:
            self.apply_relay(fresh.relay)
        self.fencing = max(self.fencing, fresh.fencing)
        if self.settings_revision < fresh.settings_revision or self.view.epoch < fresh.view_epoch:
            return
        if fresh.relay_version is not None and self.relay_version < fresh.relay_version:
            return
        if self._lease_start is None or sent_at > self._lease_start:
            self._lease_start = sent_at

    def is_fresh(self, now: float) -> bool:
        """Return whether this process may act on its replica. Check right before every use."""
        return self._lease_start is not None and now - self._lease_start < self.lease_seconds

    def confirmed_age_s(self, now: float) -> float | None:
        """Return for how long nothing newer was confirmed, in seconds; None before the first."""
        return None if self._lease_start is None else now - self._lease_start

    def _merge(self, delta: PolicyDelta) -> None:
        for organisation in delta.organisations:
            self.organisation_by_id[organisation.org_id] = organisation
        for key in delta.keys:
            self.key_by_hash[key.key_hash] = key
        for model in delta.models:
            self.model_by_name[model.name] = model
        for org_id in delta.removed_organisations:
            self.organisation_by_id.pop(org_id, None)
        for key_hash in delta.removed_keys:
            self.key_by_hash.pop(key_hash, None)
        for name in delta.removed_models:
            self.model_by_name.pop(name, None)
