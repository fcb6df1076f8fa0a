"""Operator-managed configuration: organisations, settings, keys and operators under one revision.

A single revision covers all of it: of concurrent changes that expect the same revision only one is
accepted, whatever they change, and a follower compares one number.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import field

from tarragonhall_model import (
    Finding,
    ModelPolicy,
    OrganisationPolicy,
    PolicyDelta,
    RefusalCode,
    mutable_record,
)

from tarragonhall_state._checks import check_grant, check_operator, check_organisation
from tarragonhall_state._commands import (
    ChangeAccepted,
    ChangeRecord,
    ChangeRefused,
    CreateFirstOperator,
    CreateOperator,
    CreateOrganisation,
    GrantKey,
    KeyGranted,
    PlacedFinding,
    RemoveOperator,
    SettingChange,
    SettingsChange,
    WithdrawKey,
)
from tarragonhall_state._keys import KeyRecord, Keys, key_id_of
from tarragonhall_state._names import (
    OPTION_BY_NAME,
    ROOT_PATH,
    check_path,
)
from tarragonhall_state._operators import Operator, OperatorRole, Operators
from tarragonhall_state._policy import (
    Touched,
    TouchLog,
    empty_delta,
    model_names,
    organisations_under,
    resolve_model,
    resolve_organisation,
)
from tarragonhall_state._tree import SettingsTree

FIRST_OPERATOR_AUTHOR = "init"


@mutable_record
class ConfigurationSnapshot:
    """The whole configuration as stored in a snapshot."""

    revision: int = 0
    tree: SettingsTree = field(default_factory=SettingsTree)
    path_by_org_id: dict[str, str] = field(default_factory=dict)
    keys: Keys = field(default_factory=Keys)
    operators: Operators = field(default_factory=Operators)
    touch_log: TouchLog = field(default_factory=TouchLog)


class Configuration:
    """The configuration in force; each accepted change increments the revision."""

    __slots__ = ("_policy_by_org_id", "_stored")

    def __init__(self) -> None:
        self._stored = ConfigurationSnapshot()
        # A cache: resolving 15,000 organisations for each follower that starts would block the
        # event loop.
        self._policy_by_org_id: dict[str, OrganisationPolicy] = {}

    @property
    def revision(self) -> int:
        """Return the revision of the last accepted change."""
        return self._stored.revision

    @property
    def tree(self) -> SettingsTree:
        """Return the settings tree, read-only."""
        return self._stored.tree

    @property
    def path_by_org_id(self) -> dict[str, str]:
        """Return the path of each organisation, read-only."""
        return self._stored.path_by_org_id

    @property
    def keys(self) -> Keys:
        """Return the keys, read-only."""
        return self._stored.keys

    @property
    def operators(self) -> Operators:
        """Return the operators, read-only."""
        return self._stored.operators

    def apply(self, body: object, request_id: str, now_ms: int) -> object:
        """Apply an operator command; return None for any other command."""
        if isinstance(body, SettingsChange):
            return self._change_settings(body, request_id, now_ms)
        match body:
            case GrantKey():
                return self._grant_key(body, request_id, now_ms)
            case WithdrawKey():
                return self._withdraw_key(body, request_id, now_ms)
            case CreateOperator():
                return self._create_operator(body, request_id, now_ms)
            case CreateFirstOperator():
                return self._create_first_operator(body, request_id, now_ms)
            case RemoveOperator():
                return self._remove_operator(body, request_id, now_ms)
        return None

    def preview(self, change: SettingsChange) -> ChangeAccepted | ChangeRefused:
        """Return the result that a change would have now, without applying it (a dry run)."""
        refused = self._check_revision(change)
        if refused is not None:
            return refused
        changes, findings = self._plan(change)
        if findings:
            return self._refused(RefusalCode.BAD_INPUT, "the change was not accepted", findings)
        return ChangeAccepted(self.revision, tuple(changes))

    def policy_since(self, revision: int) -> PolicyDelta:
        """Return the delta from a revision to the current one; the full set if that is too old."""
        if revision >= self.revision:
            return empty_delta(self.revision)
        touched = self._stored.touch_log.since(revision)
        if touched is None:
            return self._full_policy()
        return self._delta(revision, touched)

    def organisation(self, org_id: str) -> OrganisationPolicy | None:
        """Return the policy in force for an organisation, or None if it is unknown."""
        path = self.path_by_org_id.get(org_id)
        if path is None:
            return None
        policy = self._policy_by_org_id.get(org_id)
        if policy is None:
            policy = resolve_organisation(self.tree, org_id, path)
            self._policy_by_org_id[org_id] = policy
        return policy

    def models(self) -> list[ModelPolicy]:
        """Return every model for which a version is in force."""
        names = model_names(list(self.tree.values_at(ROOT_PATH)))
        found = [resolve_model(self.tree, name) for name in names]
        return [model for model in found if model is not None]

    def snapshot(self) -> ConfigurationSnapshot:
        """Return the whole configuration."""
        return self._stored

    def restore(self, snapshot: ConfigurationSnapshot) -> None:
        """Replace the whole configuration."""
        self._stored = snapshot
        self._policy_by_org_id.clear()

    def _change_settings(
        self, change: SettingsChange, request_id: str, now_ms: int
    ) -> ChangeAccepted | ChangeRefused:
        planned = self.preview(change)
        if isinstance(planned, ChangeRefused):
            return planned
        touched = []
        if isinstance(change, CreateOrganisation):
            self._stored.path_by_org_id[change.org_id] = change.path
            touched.append(change.org_id)
        kind = type(change).__name__
        self._commit(kind, change.path, change.author, request_id, now_ms, planned.changes)
        self._touch(planned.changes, touched)
        return ChangeAccepted(self.revision, planned.changes)

    def _plan(self, change: SettingsChange) -> tuple[list[SettingChange], list[Finding]]:
        findings = []
        if isinstance(change, CreateOrganisation):
            findings = check_organisation(self._stored, change)
        changes, found = self.tree.plan(change)
        return changes, findings + found

    def _check_revision(self, change: SettingsChange) -> ChangeRefused | None:
        expected = change.expected_revision
        if expected is None or expected == self.revision:
            return None
        last = self.tree.history[-1] if self.tree.history else None
        by = f", by {last.author}" if last is not None else ""
        message = f"revision {expected} was expected, {self.revision} is in force{by}"
        in_force = {}
        if not check_path(change.path, ""):
            in_force = {one.name: one.value for one in self.tree.explain(change.path)}
        return ChangeRefused(RefusalCode.CONFLICT, message, self.revision, (), in_force)

    def _grant_key(
        self, command: GrantKey, request_id: str, now_ms: int
    ) -> KeyGranted | ChangeRefused:
        key_id = key_id_of(command.key_hash)
        existing = self.keys.by_id.get(key_id)
        findings = check_grant(self._stored, command, existing, now_ms)
        if findings:
            return self._refused(RefusalCode.BAD_INPUT, "the key was not granted", findings)
        if existing is not None:
            return KeyGranted(self.revision, key_id)
        key = KeyRecord(
            key_id=key_id,
            key_hash=command.key_hash,
            org_id=command.org_id,
            author=command.author,
            granted_at_ms=now_ms,
            expires_at_ms=command.expires_at_ms,
        )
        self.keys.grant(key)
        touched = [key.key_hash]
        if command.replaces is not None:
            ends_at_ms = now_ms + command.overlap_seconds * 1_000
            touched.append(self.keys.replace(command.replaces, key_id, ends_at_ms).key_hash)
        touched.extend(dropped.key_hash for dropped in self.keys.drop_ended(now_ms))
        path = self.path_by_org_id[command.org_id]
        self._commit("GrantKey", path, command.author, request_id, now_ms)
        self._touch((), keys=touched)
        return KeyGranted(self.revision, key_id)

    def _withdraw_key(
        self, command: WithdrawKey, request_id: str, now_ms: int
    ) -> ChangeAccepted | ChangeRefused:
        key = self.keys.by_id.get(command.key_id)
        if key is None:
            return self._refused(RefusalCode.NOT_FOUND, f"no key {command.key_id!r}")
        if key.withdrawn_at_ms is not None:
            return ChangeAccepted(self.revision)
        self.keys.withdraw(command.key_id, now_ms)
        path = self.path_by_org_id[key.org_id]
        self._commit("WithdrawKey", path, command.author, request_id, now_ms)
        self._touch((), keys=[key.key_hash])
        return ChangeAccepted(self.revision)

    def _create_operator(
        self, command: CreateOperator, request_id: str, now_ms: int
    ) -> ChangeAccepted | ChangeRefused:
        findings = check_operator(self._stored, command)
        if findings:
            return self._refused(RefusalCode.BAD_INPUT, "the operator was not created", findings)
        self._add_operator(command, now_ms)
        self._commit("CreateOperator", command.path, command.author, request_id, now_ms)
        self._touch(())
        return ChangeAccepted(self.revision)

    def _create_first_operator(
        self, command: CreateFirstOperator, request_id: str, now_ms: int
    ) -> ChangeAccepted | ChangeRefused:
        existing = self.operators.by_name.get(command.name)
        if existing is not None and existing.token_hash == command.token_hash:
            return ChangeAccepted(self.revision)
        if self.operators.by_name:
            return self._refused(RefusalCode.CONFLICT, "an operator exists already")
        first = CreateOperator(
            name=command.name,
            token_hash=command.token_hash,
            path=ROOT_PATH,
            role=OperatorRole.ADMIN.value,
            author=FIRST_OPERATOR_AUTHOR,
        )
        return self._create_operator(first, request_id, now_ms)

    def _remove_operator(
        self, command: RemoveOperator, request_id: str, now_ms: int
    ) -> ChangeAccepted | ChangeRefused:
        operator = self.operators.by_name.get(command.name)
        if operator is None:
            return self._refused(RefusalCode.NOT_FOUND, f"no operator {command.name!r}")
        others = [one for one in self.operators.by_name.values() if one is not operator]
        if not any(one.may(OperatorRole.ADMIN, ROOT_PATH) for one in others):
            message = "this is the last admin at the root path; nobody could create another"
            return self._refused(RefusalCode.CONFLICT, message)
        del self.operators.by_name[command.name]
        self._commit("RemoveOperator", operator.path, command.author, request_id, now_ms)
        self._touch(())
        return ChangeAccepted(self.revision)

    def _add_operator(self, command: CreateOperator, now_ms: int) -> None:
        role = OperatorRole(command.role)
        self.operators.add(
            Operator(command.name, command.token_hash, command.path, role, now_ms, command.author)
        )

    def _commit(
        self,
        kind: str,
        path: str,
        author: str,
        request_id: str,
        now_ms: int,
        changes: tuple[SettingChange, ...] = (),
    ) -> None:
        self._stored.revision += 1
        entry = ChangeRecord(self.revision, now_ms, author, request_id, kind, path, changes)
        self.tree.commit(entry)

    def _touch(
        self,
        changes: tuple[SettingChange, ...],
        organisations: Iterable[str] = (),
        keys: Iterable[str] = (),
    ) -> None:
        inherited = {change.path for change in changes if change.name in OPTION_BY_NAME}
        touched_ids = dict.fromkeys(organisations)
        touched_ids.update(dict.fromkeys(organisations_under(self.path_by_org_id, inherited)))
        for org_id in touched_ids:
            self._policy_by_org_id.pop(org_id, None)
        models = model_names([change.name for change in changes])
        touched = Touched(self.revision, tuple(touched_ids), tuple(keys), tuple(models))
        self._stored.touch_log.add(touched)

    def _delta(self, base: int, touched: Touched) -> PolicyDelta:
        keys = {key_hash: self.keys.policy(key_hash) for key_hash in touched.keys}
        models = {name: resolve_model(self.tree, name) for name in touched.models}
        return PolicyDelta(
            base=base,
            revision=self.revision,
            organisations=tuple(self.organisation(org_id) for org_id in touched.organisations),
            keys=tuple(key for key in keys.values() if key is not None),
            models=tuple(model for model in models.values() if model is not None),
            removed_keys=tuple(key_hash for key_hash, key in keys.items() if key is None),
            removed_models=tuple(name for name, model in models.items() if model is None),
        )

    def _full_policy(self) -> PolicyDelta:
        models = model_names(list(self.tree.values_at(ROOT_PATH)))
        keys = tuple(key.key_hash for key in self.keys.by_id.values())
        touched = Touched(self.revision, tuple(self.path_by_org_id), keys, tuple(models))
        delta = self._delta(0, touched)
        return PolicyDelta(0, self.revision, True, delta.organisations, delta.keys, delta.models)

    def _refused(
        self, code: RefusalCode, message: str, findings: list[Finding] = ()
    ) -> ChangeRefused:
        placed = tuple(PlacedFinding(one.place, one.message) for one in findings)
        return ChangeRefused(code, message, self.revision, placed)
