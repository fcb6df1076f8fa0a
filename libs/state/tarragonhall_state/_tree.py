"""The settings tree: names set at paths, inherited downwards, with a history of changes."""

from __future__ import annotations

from dataclasses import field

from tarragonhall_model import Finding, escape_json_pointer, mutable_record, record

from tarragonhall_state._commands import (
    ChangeRecord,
    ChangeSettings,
    CreateOrganisation,
    ImportSettings,
    RollBack,
    SettingChange,
    SettingsChange,
)
from tarragonhall_state._names import (
    OPTION_BY_NAME,
    ancestors,
    check_name,
    check_path,
    check_values,
    default_of,
    is_within,
    option_of,
)

# More than the 13,000 changes planned per day; about 10 MB.
MAX_HISTORY_CHANGES = 20_000
# Covers 15,000 organisations with a path each, and as many teams above them.
MAX_PATHS = 50_000
DEFAULT_SOURCE = "default"


@record
class Origin:
    """A value in force at a path, and the path that sets it (`default` if none does)."""

    name: str
    value: object
    source: str


@record
class Level:
    """The value that one level sets for a name; the nearest such level is in force."""

    path: str
    value: object
    in_force: bool


@mutable_record
class SettingsTree:
    """The values set at each path. A change is planned without side effects, then committed."""

    values_by_path: dict[str, object] = field(default_factory=dict)
    history: list[ChangeRecord] = field(default_factory=list)

    def values_at(self, path: str) -> dict[str, object]:
        """Return the values set at exactly this path."""
        return self.values_by_path.get(path, {})

    def resolve(self, path: str, name: str) -> Origin:
        """Return the value of a name in force at a path, and its source."""
        for level in ancestors(path):
            values = self.values_at(level)
            if name in values:
                return Origin(name, values[name], level)
        return Origin(name, default_of(name), DEFAULT_SOURCE)

    def levels(self, path: str, name: str) -> list[Level]:
        """Return every level that sets a name, from the path upwards, and the default."""
        found: list[Level] = []
        for level in ancestors(path):
            values = self.values_at(level)
            if name in values:
                found.append(Level(level, values[name], not found))
        found.append(Level(DEFAULT_SOURCE, default_of(name), not found))
        return found

    def explain(self, path: str) -> list[Origin]:
        """Return every inheritable name with its value in force at a path, and its source."""
        return [self.resolve(path, name) for name in OPTION_BY_NAME]

    def export(self, path: str) -> dict[str, dict[str, object]]:
        """Return the values set at each path of a subtree."""
        found = {}
        for node_path in sorted(self.values_by_path):
            if is_within(node_path, path):
                found[node_path] = dict(self.values_at(node_path))
        return found

    def plan(self, change: SettingsChange) -> tuple[list[SettingChange], list[Finding]]:
        """Return the differences that a change would make, or all findings against it."""
        findings = check_path(change.path, "/path")
        if findings:
            return [], findings
        match change:
            case CreateOrganisation(path=path, settings=settings):
                findings = check_values(path, settings, "/settings")
                wanted = {(path, name): value for name, value in settings.items()}
            case ChangeSettings():
                wanted, findings = self._plan_change(change)
            case RollBack():
                wanted, findings = self._plan_rollback(change)
            case ImportSettings():
                wanted, findings = self._plan_import(change)
        new_paths = {path for path, _ in wanted if path not in self.values_by_path}
        if len(self.values_by_path) + len(new_paths) > MAX_PATHS:
            findings.append(Finding("", f"the tree would have more than {MAX_PATHS} paths"))
        if findings:
            return [], findings
        return self._differences(wanted), []

    def commit(self, entry: ChangeRecord) -> None:
        """Apply a planned change and add it to the history."""
        for change in entry.changes:
            self._apply_change(change)
        self.history.append(entry)
        if len(self.history) > MAX_HISTORY_CHANGES:
            del self.history[: len(self.history) - MAX_HISTORY_CHANGES]

    def changes_within(self, path: str) -> list[ChangeRecord]:
        """Return the changes in the history that touched a subtree, oldest first."""
        found = []
        for entry in self.history:
            touched = any(is_within(change.path, path) for change in entry.changes)
            if touched or is_within(entry.path, path):
                found.append(entry)
        return found

    def diff(self, path: str, after: int, until: int) -> list[SettingChange]:
        """Return the net changes in a subtree after one revision, up to another."""
        first_by_setting: dict[tuple[str, str], SettingChange] = {}
        last_by_setting: dict[tuple[str, str], SettingChange] = {}
        for entry in self.history:
            if not after < entry.revision <= until:
                continue
            for change in entry.changes:
                if not is_within(change.path, path):
                    continue
                first_by_setting.setdefault((change.path, change.name), change)
                last_by_setting[change.path, change.name] = change
        found = []
        for setting, first in sorted(first_by_setting.items()):
            last = last_by_setting[setting]
            if first.old != last.new:
                found.append(SettingChange(first.path, first.name, first.old, last.new))
        return found

    def oldest_revision(self, revision: int) -> int:
        """Return the oldest revision to which the history can roll back."""
        return self.history[0].revision - 1 if self.history else revision

    def _plan_change(self, change: ChangeSettings) -> tuple[dict, list[Finding]]:
        findings = check_values(change.path, change.set, "/set")
        for index, name in enumerate(change.unset):
            findings.extend(check_name(change.path, name, f"/unset/{index}"))
            if name in change.set:
                findings.append(Finding(f"/unset/{index}", f"{name!r} is also in set"))
        wanted = {(change.path, name): value for name, value in change.set.items()}
        wanted.update({(change.path, name): None for name in change.unset})
        return wanted, findings

    def _plan_rollback(self, change: RollBack) -> tuple[dict, list[Finding]]:
        latest = self.history[-1].revision if self.history else 0
        oldest = self.oldest_revision(latest)
        if not oldest <= change.to_revision <= latest:
            text = f"expected a revision from {oldest} to {latest}, which the history holds"
            return {}, [Finding("/to_revision", text)]
        undone = self.diff(change.path, change.to_revision, latest)
        return {(one.path, one.name): one.old for one in undone}, []

    def _plan_import(self, change: ImportSettings) -> tuple[dict, list[Finding]]:
        wanted = {}
        for path, values in self.export(change.path).items():
            wanted.update({(path, name): None for name in values})
        findings = []
        for path, values in change.nodes.items():
            place = f"/nodes/{escape_json_pointer(path)}"
            wrong = check_path(path, place)
            if not wrong and not is_within(path, change.path):
                wrong = [Finding(place, f"is not within {change.path}")]
            findings.extend(wrong or check_values(path, values, place))
            if isinstance(values, dict):
                wanted.update({(path, name): value for name, value in values.items()})
        return wanted, findings

    def _differences(self, wanted: dict[tuple[str, str], object]) -> list[SettingChange]:
        changes = []
        for (path, name), new in sorted(wanted.items(), key=lambda item: item[0]):
            if new is not None:
                new = option_of(name).load(new, "")[0]
            old = self.values_at(path).get(name)
            if old != new:
                changes.append(SettingChange(path, name, old, new))
        return changes

    def _apply_change(self, change: SettingChange) -> None:
        values = self.values_by_path.setdefault(change.path, {})
        if change.new is not None:
            values[change.name] = change.new
            return
        values.pop(change.name, None)
        if not values:
            del self.values_by_path[change.path]
