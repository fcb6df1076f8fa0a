from __future__ import annotations

import pytest
from tarragonhall_model import Command, RefusalCode, encode
from tarragonhall_state import (
    MAX_DELTA_REVISIONS,
    ChangeAccepted,
    ChangeRefused,
    ChangeSettings,
    ControlState,
    CreateFirstOperator,
    CreateOperator,
    CreateOrganisation,
    Follower,
    GrantKey,
    ImportSettings,
    OperatorRole,
    RemoveOperator,
    RollBack,
    WithdrawKey,
    key_id_of,
)

NOW_MS = 1_000_000
KEY_HASH = "ab" * 32


class Operators:
    """Applies commands, each with its own request id."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.now_ms = NOW_MS
        self.count = 0
        self(CreateOrganisation("school", "/texas/school", {}, "ana"))

    def __call__(self, body: object) -> object:
        self.count += 1
        data = encode(Command(f"req-{self.count}", self.now_ms, body))
        return self.state.apply(self.count, data)

    def set(self, path: str, values: dict, unset: tuple = ()) -> object:
        revision = self.state.revision
        return self(ChangeSettings(path, values, list(unset), "ana", revision))

    def policy(self):
        return self.state.configuration.organisation("school")


def findings_of(result: object) -> dict[str, str]:
    assert isinstance(result, ChangeRefused), result
    return {finding.place: finding.message for finding in result.findings}


def test_values_are_inherited_with_their_source():
    operators = Operators()
    operators.set("/", {"weight": 2, "rate.burst": 30})
    operators.set("/texas", {"rate.burst": 40})
    assert (operators.policy().weight, operators.policy().rate.burst) == (2.0, 40.0)
    operators.set("/", {"weight": 5})
    assert operators.policy().weight == 5.0
    tree = operators.state.configuration.tree
    origins = {one.name: one.source for one in tree.explain("/texas/school")}
    assert origins["weight"] == "/"
    assert origins["rate.burst"] == "/texas"
    assert origins["idle_seconds"] == "default"
    levels = [(one.path, one.in_force) for one in tree.levels("/texas/school", "rate.burst")]
    assert levels == [("/texas", True), ("/", False), ("default", False)]


def test_all_findings_are_returned_at_once_with_pointers():
    operators = Operators()
    change = ChangeSettings(
        "/texas",
        {"rate.burts": 3, "weight": -1, "enabled": "yes", "model.planner.version": "v1"},
        ["rate.per_secnd"],
        "ana",
        operators.state.revision,
    )
    findings = findings_of(operators(change))
    assert findings == {
        "/set/rate.burts": "unknown name 'rate.burts'; did you mean 'rate.burst'?",
        "/set/weight": "expected a number from 0.01 to 1000.0, got -1",
        "/set/enabled": "expected true or false, got 'yes'",
        "/set/model.planner.version": "models are set at the root path / only",
        "/unset/0": "unknown name 'rate.per_secnd'; did you mean 'rate.per_second'?",
    }


@pytest.mark.parametrize("path", ["", "texas", "/Texas", "/texas/", "//", "/a" * 9, "/a b"])
def test_an_invalid_path_is_refused(path):
    operators = Operators()
    revision = operators.state.revision
    assert "/path" in findings_of(operators(ChangeSettings(path, {}, [], "ana", revision)))


def test_a_dry_run_returns_the_change_without_applying_it():
    operators = Operators()
    before = operators.state.snapshot()
    change = ChangeSettings("/texas", {"weight": 3}, [], "ana", operators.state.revision)
    planned = operators.state.configuration.preview(change)
    assert [(one.name, one.old, one.new) for one in planned.changes] == [("weight", None, 3.0)]
    assert operators.state.snapshot() == before


def test_a_rollback_is_a_new_change_and_leaves_other_subtrees_alone():
    operators = Operators()
    operators.set("/texas", {"weight": 3})
    target = operators.state.revision
    operators.set("/texas", {"weight": 4, "idle_seconds": 60})
    operators.set("/ar", {"weight": 9})
    rolled = operators(RollBack("/texas", target, "ana", operators.state.revision))
    assert isinstance(rolled, ChangeAccepted)
    assert rolled.revision == target + 3
    tree = operators.state.configuration.tree
    assert tree.export("/") == {"/ar": {"weight": 9.0}, "/texas": {"weight": 3.0}}
    kinds = [entry.kind for entry in tree.changes_within("/texas")]
    assert kinds == ["CreateOrganisation", "ChangeSettings", "ChangeSettings", "RollBack"]


def test_an_import_outside_its_subtree_is_refused_with_pointers():
    operators = Operators()
    nodes = {"/ar": {"weight": 1}, "/texas/a": {"wieght": 1}, "/texas/b": 5}
    change = ImportSettings("/texas", nodes, "ana", operators.state.revision)
    findings = findings_of(operators(change))
    assert findings == {
        "/nodes/~1ar": "is not within /texas",
        "/nodes/~1texas~1a/wieght": "unknown name 'wieght'; did you mean 'weight'?",
        "/nodes/~1texas~1b": "expected an object, got 5",
    }


def test_a_replaced_key_is_valid_only_for_the_overlap():
    # A key is rotated while callers still use the old one. If it ended at once, callers would be
    # refused until they are reconfigured; if it never ended, a leaked key would stay valid.
    operators = Operators()
    operators(GrantKey(KEY_HASH, "school", "ana"))
    successor = "cd" * 32
    replaces = key_id_of(KEY_HASH)
    operators(GrantKey(successor, "school", "ana", replaces=replaces, overlap_seconds=60))
    keys = operators.state.configuration.keys
    assert keys.policy(KEY_HASH).expires_at_ms == NOW_MS + 60_000
    assert keys.policy(successor).expires_at_ms is None


def test_a_withdrawn_key_cannot_be_granted_again():
    # A leaked key was withdrawn. A script that grants the same hash again must not reactivate it.
    operators = Operators()
    operators(GrantKey(KEY_HASH, "school", "ana"))
    operators(WithdrawKey(key_id_of(KEY_HASH), "ana"))
    assert "/key_hash" in findings_of(operators(GrantKey(KEY_HASH, "school", "ana")))
    assert operators.state.configuration.keys.policy(KEY_HASH) is None


def test_only_hashes_of_keys_and_tokens_are_in_a_snapshot():
    operators = Operators()
    operators(GrantKey(KEY_HASH, "school", "ana"))
    assert KEY_HASH.encode() in operators.state.snapshot()
    assert b"thk_" not in operators.state.snapshot()


def test_the_first_operator_is_created_once():
    # By mistake, every bootstrap member was initialised and each proposes a first operator. Only
    # one of these operators may be created.
    operators = Operators()
    assert isinstance(operators(CreateFirstOperator("root", "ab" * 32)), ChangeAccepted)
    assert isinstance(operators(CreateFirstOperator("root", "ab" * 32)), ChangeAccepted)
    assert isinstance(operators(CreateFirstOperator("root", "cd" * 32)), ChangeRefused)
    assert isinstance(operators(CreateFirstOperator("other", "cd" * 32)), ChangeRefused)


def test_an_operator_has_only_its_role_and_only_on_its_subtree():
    operators = Operators()
    operators(CreateFirstOperator("root", "ab" * 32))
    operators(CreateOperator("ana", "cd" * 32, "/texas", "editor", "root"))
    ana = operators.state.configuration.operators.with_token("cd" * 32)
    assert ana.may(OperatorRole.EDITOR, "/texas/school")
    assert ana.may(OperatorRole.READER, "/texas")
    assert not ana.may(OperatorRole.ADMIN, "/texas")
    assert not ana.may(OperatorRole.READER, "/")
    assert not ana.may(OperatorRole.READER, "/texas-2")


def test_the_last_admin_at_the_root_cannot_be_removed():
    # An operator removes itself. With no admin left, nobody could change the configuration again.
    operators = Operators()
    operators(CreateFirstOperator("root", "ab" * 32))
    refused = operators(RemoveOperator("root", "root"))
    assert refused.code is RefusalCode.CONFLICT


def test_a_model_is_set_at_the_root_and_removed_with_its_version():
    operators = Operators()
    operators.set("/", {"model.plan.8b.version": "v1", "model.plan.8b.max_tokens": 64})
    follower = Follower()
    follower.apply_policy(operators.state.policy_since(0))
    assert follower.model_by_name["plan.8b"].max_tokens == 64
    operators.set("/", {}, ("model.plan.8b.version",))
    follower.apply_policy(operators.state.policy_since(follower.settings_revision))
    assert follower.model_by_name == {}


def test_a_follower_far_behind_gets_the_full_set_and_a_recent_one_a_delta():
    # A process reconnects after more changes than the log of touched ids covers.
    operators = Operators()
    for number in range(MAX_DELTA_REVISIONS + 5):
        operators.set("/texas", {"weight": 1 + number % 50})
    assert operators.state.policy_since(1).full
    assert not operators.state.policy_since(operators.state.revision - 5).full
    follower = Follower()
    follower.apply_policy(operators.state.policy_since(0))
    assert follower.organisation_by_id["school"] == operators.policy()
