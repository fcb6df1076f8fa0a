"""Properties of the configuration under any sequence of changes, resends and follower updates."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from tarragonhall_model import Command, encode
from tarragonhall_state import (
    ChangeAccepted,
    ChangeRefused,
    ChangeSettings,
    ControlState,
    CreateOrganisation,
    Follower,
    GrantKey,
    ImportSettings,
    KeyGranted,
    RollBack,
    WithdrawKey,
    key_id_of,
)

PATHS = ("/", "/texas", "/texas/school", "/ar")
HASHES = tuple(digit * 64 for digit in "abc")
VALUES = {"weight": (1.0, 2.0), "rate.burst": (5.0, 50.0), "enabled": (True, False)}

paths = st.sampled_from(PATHS)
names = st.sampled_from(sorted(VALUES))
operators = st.sampled_from(("ana", "ben"))


@st.composite
def values(draw) -> dict[str, object]:
    chosen = draw(st.lists(names, unique=True, max_size=3))
    return {name: draw(st.sampled_from(VALUES[name])) for name in chosen}


class ConfigurationMachine(RuleBasedStateMachine):
    """Two members, one of which is restored from snapshots, and followers that miss updates."""

    def __init__(self) -> None:
        super().__init__()
        self.reference = ControlState()
        self.restarted = ControlState()
        self.sent: list[tuple[str, object]] = []
        self.accepted_base_revisions: list[int] = []
        self.followers = [Follower(), Follower(), Follower()]
        self.highest_revision = 0

    @initialize()
    def create(self) -> None:
        self.commit(CreateOrganisation("school", "/texas/school", {}, "ana"))

    def commit(self, body: object) -> object:
        request_id = f"req-{len(self.sent)}"
        self.sent.append((request_id, body))
        return self.apply(request_id, body)

    def apply(self, request_id: str, body: object) -> object:
        data = encode(Command(request_id, 1_000, body))
        result = self.reference.apply(1, data)
        assert self.restarted.apply(1, data) == result
        return result

    def change(self, body: object) -> None:
        """Apply a settings change and check the result against its expected revision."""
        before = self.reference.revision
        result = self.commit(body)
        if isinstance(result, ChangeAccepted):
            assert body.expected_revision == before
            assert result.revision == self.reference.revision == before + 1
            assert before not in self.accepted_base_revisions
            self.accepted_base_revisions.append(before)
            return
        assert isinstance(result, ChangeRefused)
        assert self.reference.revision == result.revision == before

    @rule(path=paths, changed=values(), unset=names, author=operators, lag=st.integers(0, 2))
    def set_values(self, path, changed, unset, author, lag) -> None:
        expected = max(0, self.reference.revision - lag)
        removed = [unset] if unset not in changed else []
        self.change(ChangeSettings(path, changed, removed, author, expected))

    @rule(path=paths, back=st.integers(0, 5), author=operators)
    def roll_back(self, path, back, author) -> None:
        revision = self.reference.revision
        target = max(0, revision - back)
        wanted = self.reference.configuration.tree.diff(path, target, revision)
        self.change(RollBack(path, target, author, revision))
        for one in wanted:
            assert self.reference.configuration.tree.values_at(one.path).get(one.name) == one.old

    @rule(path=paths, author=operators)
    def import_what_was_exported(self, path, author) -> None:
        nodes = self.reference.configuration.tree.export(path)
        self.change(ImportSettings(path, nodes, author, self.reference.revision))
        assert self.reference.configuration.tree.export(path) == nodes

    @rule(key_hash=st.sampled_from(HASHES), replaced=st.none() | st.sampled_from(HASHES))
    def grant(self, key_hash, replaced) -> None:
        replaces = key_id_of(replaced) if replaced else None
        result = self.commit(
            GrantKey(key_hash, "school", "ana", replaces=replaces, overlap_seconds=5)
        )
        if isinstance(result, KeyGranted):
            assert self.reference.configuration.keys.policy(key_hash) is not None

    @rule(key_hash=st.sampled_from(HASHES))
    def withdraw(self, key_hash) -> None:
        self.commit(WithdrawKey(key_id_of(key_hash), "ana"))
        assert self.reference.configuration.keys.policy(key_hash) is None

    @rule(org=st.sampled_from(("winery", "bodega")), path=paths, changed=values())
    def create_organisation(self, org, path, changed) -> None:
        self.commit(CreateOrganisation(org, path, changed, "ana"))

    @rule(index=st.integers(0, 2))
    def follower_catches_up(self, index) -> None:
        follower = self.followers[index]
        delta = self.reference.policy_since(follower.settings_revision)
        follower.apply_policy(delta)
        assert follower.settings_revision == self.reference.revision
        # From a member with an empty cache, so that a stale value cannot be on both sides.
        uncached = ControlState()
        uncached.restore(self.reference.snapshot())
        full_follower = Follower()
        full_follower.apply_policy(uncached.policy_since(-1))
        assert follower.organisation_by_id == full_follower.organisation_by_id
        assert follower.key_by_hash == full_follower.key_by_hash
        assert follower.model_by_name == full_follower.model_by_name

    @rule(index=st.integers(0, 2), back=st.integers(0, 4))
    def follower_receives_a_late_delta(self, index, back) -> None:
        follower = self.followers[index]
        before = follower.settings_revision
        late = self.reference.policy_since(max(0, self.reference.revision - back))
        follower.apply_policy(late)
        assert follower.settings_revision >= before

    @rule(data=st.data())
    def resend(self, data) -> None:
        before = self.reference.snapshot()
        request_id, body = data.draw(st.sampled_from(self.sent[-20:]))
        self.apply(request_id, body)
        assert self.reference.snapshot() == before

    @rule()
    def restart(self) -> None:
        again = ControlState()
        again.restore(self.restarted.snapshot())
        self.restarted = again

    @invariant()
    def the_revision_never_goes_back(self) -> None:
        assert self.reference.revision >= self.highest_revision
        self.highest_revision = self.reference.revision

    def teardown(self) -> None:
        assert self.reference.snapshot() == self.restarted.snapshot()


ConfigurationMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
test_the_configuration_invariants_hold_under_any_changes = ConfigurationMachine.TestCase
