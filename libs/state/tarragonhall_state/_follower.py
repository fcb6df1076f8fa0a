"""What a process without a log knows of settings and view, and for how long it may act on it.

A control member behind a silent partition would go on serving old settings, and a process that was
paused would go on using its own. Both would keep a withdrawn key working. So every answer counts
from the instant its question was sent, on this process's monotonic clock, and once the lease is
over `is_fresh` is false and nothing may be admitted.
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

# Seconds for which a process may act on settings that were current when it last asked. Below the
# 5 s within which a change must be in force, above a heartbeat and an election.
FRESHNESS_LEASE_SECONDS = 4.0


class Follower:
    """A read-only copy of the policy and the view, with its freshness lease."""

    __slots__ = (
        "_fresh_since",
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
        self._fresh_since: float | None = None

    def apply_policy(self, delta: PolicyDelta) -> bool:
        """Take a delta that starts at the revision held, or a full set; never an older one."""
        if delta.revision <= self.settings_revision:
            return False
        if not delta.full and delta.base != self.settings_revision:
            return False
        if delta.models_only and not self.models_only:
            # Sent to a sidecar in this process. Taken for whole, it would raise the revision here
            # without the keys that were withdrawn with it.
            return False
        if delta.full:
            self.organisation_by_id.clear()
            self.key_by_hash.clear()
            self.model_by_name.clear()
        self._merge(delta)
        self.settings_revision = delta.revision
        return True

    def apply_view(self, view: View) -> bool:
        """Take a view of a later epoch; never an older one."""
        if view.epoch <= self.view.epoch:
            return False
        self.view = view
        return True

    def apply_view_delta(self, delta: ViewDelta) -> bool:
        """Take what changed since the view held; nothing where it starts at another one."""
        view = apply_view_delta(self.view, delta)
        return view is not None and self.apply_view(view)

    @property
    def relay_version(self) -> int:
        """Return the version of the relay document held; 0 before the first."""
        return self.relay.version if self.relay is not None else 0

    def apply_relay(self, document: RelayDocument) -> bool:
        """Take a relay document of a higher version; never an older one."""
        if document.version <= self.relay_version:
            return False
        self.relay = document
        return True

    def confirm(self, fresh: Fresh, sent_at: float) -> None:
        """Take the reply to a heartbeat that was sent at `sent_at`.

        The lease is extended only where this process now holds what the leader had: a reply
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
        if self._fresh_since is None or sent_at > self._fresh_since:
            self._fresh_since = sent_at

    def is_fresh(self, now: float) -> bool:
        """Return whether this process may act on what it holds. Ask right before every use."""
        return self._fresh_since is not None and now - self._fresh_since < self.lease_seconds

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
