"""Properties of the configuration under any order of operators, resends and followers."""

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
    """Two members, one restored from snapshots, and followers that miss what they like."""

    def __init__(self) -> None:
        super().__init__()
        self.steady = ControlState()
        self.restarted = ControlState()
        self.sent: list[tuple[str, object]] = []
        self.accepted_expecting: list[int] = []
        self.followers = [Follower(), Follower(), Follower()]
        self.highest = 0

    @initialize()
    def create(self) -> None:
        self.commit(CreateOrganisation("school", "/texas/school", {}, "ana"))

    def commit(self, body: object) -> object:
        request_id = f"req-{len(self.sent)}"
        self.sent.append((request_id, body))
        return self.apply(request_id, body)

    def apply(self, request_id: str, body: object) -> object:
        data = encode(Command(request_id, 1_000, body))
        result = self.steady.apply(1, data)
        assert self.restarted.apply(1, data) == result
        return result

    def change(self, body: object) -> None:
        """Commit a settings change and hold the outcome against the number it expected."""
        before = self.steady.revision
        result = self.commit(body)
        if isinstance(result, ChangeAccepted):
            assert body.expected_revision == before
            assert result.revision == self.steady.revision == before + 1
            assert before not in self.accepted_expecting
            self.accepted_expecting.append(before)
            return
        assert isinstance(result, ChangeRefused)
        assert self.steady.revision == result.revision == before

    @rule(path=paths, changed=values(), unset=names, author=operators, lag=st.integers(0, 2))
    def set_values(self, path, changed, unset, author, lag) -> None:
        expected = max(0, self.steady.revision - lag)
        removed = [unset] if unset not in changed else []
        self.change(ChangeSettings(path, changed, removed, author, expected))

    @rule(path=paths, back=st.integers(0, 5), author=operators)
    def roll_back(self, path, back, author) -> None:
        revision = self.steady.revision
        target = max(0, revision - back)
        wanted = self.steady.configuration.tree.diff(path, target, revision)
        self.change(RollBack(path, target, author, revision))
        for one in wanted:
            assert self.steady.configuration.tree.values_at(one.path).get(one.name) == one.old

    @rule(path=paths, author=operators)
    def import_what_was_exported(self, path, author) -> None:
        nodes = self.steady.configuration.tree.export(path)
        self.change(ImportSettings(path, nodes, author, self.steady.revision))
        assert self.steady.configuration.tree.export(path) == nodes

    @rule(key_hash=st.sampled_from(HASHES), replaced=st.none() | st.sampled_from(HASHES))
    def grant(self, key_hash, replaced) -> None:
        replaces = key_id_of(replaced) if replaced else None
        result = self.commit(
            GrantKey(key_hash, "school", "ana", replaces=replaces, overlap_seconds=5)
        )
        if isinstance(result, KeyGranted):
            assert self.steady.configuration.keys.policy(key_hash) is not None

    @rule(key_hash=st.sampled_from(HASHES))
    def withdraw(self, key_hash) -> None:
        self.commit(WithdrawKey(key_id_of(key_hash), "ana"))
        assert self.steady.configuration.keys.policy(key_hash) is None

    @rule(org=st.sampled_from(("winery", "bodega")), path=paths, changed=values())
    def create_organisation(self, org, path, changed) -> None:
        self.commit(CreateOrganisation(org, path, changed, "ana"))

    @rule(index=st.integers(0, 2))
    def follower_catches_up(self, index) -> None:
        follower = self.followers[index]
        delta = self.steady.policy_since(follower.settings_revision)
        follower.apply_policy(delta)
        assert follower.settings_revision == self.steady.revision
        # From a member that has resolved nothing yet, so that no stale value is on both sides.
        newcomer = ControlState()
        newcomer.restore(self.steady.snapshot())
        whole = Follower()
        whole.apply_policy(newcomer.policy_since(-1))
        assert follower.organisation_by_id == whole.organisation_by_id
        assert follower.key_by_hash == whole.key_by_hash
        assert follower.model_by_name == whole.model_by_name

    @rule(index=st.integers(0, 2), back=st.integers(0, 4))
    def follower_hears_something_late(self, index, back) -> None:
        follower = self.followers[index]
        before = follower.settings_revision
        late = self.steady.policy_since(max(0, self.steady.revision - back))
        follower.apply_policy(late)
        assert follower.settings_revision >= before

    @rule(data=st.data())
    def resend(self, data) -> None:
        before = self.steady.snapshot()
        request_id, body = data.draw(st.sampled_from(self.sent[-20:]))
        self.apply(request_id, body)
        assert self.steady.snapshot() == before

    @rule()
    def restart(self) -> None:
        again = ControlState()
        again.restore(self.restarted.snapshot())
        self.restarted = again

    @invariant()
    def the_revision_never_goes_back(self) -> None:
        assert self.steady.revision >= self.highest
        self.highest = self.steady.revision

    def teardown(self) -> None:
        assert self.steady.snapshot() == self.restarted.snapshot()


ConfigurationMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
test_the_configuration_keeps_its_promises_under_any_changes = ConfigurationMachine.TestCase
