"""Admin API handlers for organisations, settings and models."""

from __future__ import annotations

from tarragonhall_model import Finding, InputError
from tarragonhall_state import (
    ROOT_PATH,
    ChangeRecord,
    ChangeSettings,
    CreateOrganisation,
    ImportSettings,
    OperatorRole,
    RollBack,
    SettingsChange,
    check_name,
)

from tarragonhall_control import _bodies as bodies
from tarragonhall_control._member import ControlMember
from tarragonhall_control._request import AdminReply, AdminRequest, as_json, unwrap_result

DEFAULT_HISTORY = 100


class SettingsHandlers:
    """Reads and changes the settings tree for operators."""

    __slots__ = ("_member",)

    def __init__(self, member: ControlMember) -> None:
        self._member = member

    @property
    def _configuration(self):
        return self._member.state.configuration

    def create_organisation(self, request: AdminRequest) -> AdminReply:
        """POST /organisations."""
        body = bodies.load(bodies.ORGANISATION, request.body)
        request.require(OperatorRole.ADMIN, body["path"])
        change = CreateOrganisation(
            body["org_id"],
            body["path"],
            body["settings"],
            request.operator.name,
            body["expected_revision"],
        )
        return self._change(request, change, dry_run=False)

    def list_organisations(self, request: AdminRequest) -> AdminReply:
        """GET /organisations."""
        found = []
        for org_id, path in self._configuration.path_by_org_id.items():
            if request.operator.may(OperatorRole.READER, path):
                found.append(as_json(self._configuration.organisation(org_id)))
        return self._reply({"organisations": found})

    def get(self, request: AdminRequest) -> AdminReply:
        """GET /settings: the values set at a path, and the effective ones."""
        path = self._path(request)
        origins = self._configuration.tree.explain(path)
        effective = {one.name: {"value": one.value, "from": one.source} for one in origins}
        here = dict(self._configuration.tree.values_at(path))
        return self._reply({"path": path, "set": here, "effective": effective})

    def change(self, request: AdminRequest) -> AdminReply:
        """POST /settings."""
        body = bodies.load(bodies.SETTINGS, request.body)
        request.require(OperatorRole.EDITOR, body["path"])
        change = ChangeSettings(
            body["path"],
            body["set"],
            body["unset"],
            request.operator.name,
            body["expected_revision"],
        )
        return self._change(request, change, body["dry_run"])

    def explain(self, request: AdminRequest) -> AdminReply:
        """GET /settings/explain: the levels that set a name, nearest first, then the default."""
        values = bodies.load_query(request.query, ("path", "name"))
        path = self._path(request)
        name = values.get("name", "")
        findings = check_name(path, name, "?name")
        if findings:
            raise InputError(findings)
        levels = [as_json(level) for level in self._configuration.tree.levels(path, name)]
        return self._reply({"path": path, "name": name, "levels": levels})

    def history(self, request: AdminRequest) -> AdminReply:
        """GET /settings/history: the changes of a subtree, newest first."""
        values = bodies.load_query(request.query, ("path", "limit"))
        path = self._path(request)
        limit = bodies.whole_number(values, "limit", DEFAULT_HISTORY)
        changes = self._configuration.tree.changes_within(path)
        newest = [_change_value(one) for one in reversed(changes[-limit:])] if limit else []
        return self._reply({"path": path, "changes": newest})

    def diff(self, request: AdminRequest) -> AdminReply:
        """GET /settings/diff: the differences between two revisions."""
        known = ("path", "from", "to")
        values = bodies.load_query(request.query, known)
        path = self._path(request)
        until = bodies.whole_number(values, "to", self._configuration.revision)
        after = bodies.whole_number(values, "from", max(0, until - 1))
        oldest = self._configuration.tree.oldest_revision(until)
        if after < oldest:
            text = f"the history reaches back to revision {oldest}"
            raise InputError([Finding("?from", text)])
        differences = [
            {"path": one.path, "name": one.name, "before": one.old, "after": one.new}
            for one in self._configuration.tree.diff(path, after, until)
        ]
        return self._reply({"path": path, "from": after, "to": until, "differences": differences})

    def export(self, request: AdminRequest) -> AdminReply:
        """GET /settings/export: a subtree in the format of the import."""
        path = self._path(request)
        return self._reply({"path": path, "nodes": self._configuration.tree.export(path)})

    def roll_back(self, request: AdminRequest) -> AdminReply:
        """POST /settings/rollback."""
        body = bodies.load(bodies.ROLLBACK, request.body)
        request.require(OperatorRole.EDITOR, body["path"])
        change = RollBack(
            body["path"], body["to_revision"], request.operator.name, body["expected_revision"]
        )
        return self._change(request, change, body["dry_run"])

    def import_tree(self, request: AdminRequest) -> AdminReply:
        """POST /settings/import."""
        body = bodies.load(bodies.IMPORT, request.body)
        request.require(OperatorRole.EDITOR, body["path"])
        change = ImportSettings(
            body["path"], body["nodes"], request.operator.name, body["expected_revision"]
        )
        return self._change(request, change, body["dry_run"])

    def set_model(self, request: AdminRequest) -> AdminReply:
        """POST /models."""
        body = bodies.load(bodies.MODEL, request.body)
        request.require(OperatorRole.ADMIN, ROOT_PATH)
        wanted = {
            f"model.{body['name']}.{name}": body[name]
            for name in ("version", "min_replicas", "max_tokens")
            if body[name] is not None
        }
        change = ChangeSettings(
            ROOT_PATH, wanted, [], request.operator.name, body["expected_revision"]
        )
        return self._change(request, change, dry_run=False)

    def list_models(self, _request: AdminRequest) -> AdminReply:
        """GET /models."""
        models = [as_json(model) for model in self._configuration.models()]
        return self._reply({"models": models})

    def _change(self, request: AdminRequest, change: SettingsChange, dry_run: bool) -> AdminReply:
        """Commit a change, or with `dry_run` only return what it would change."""
        if dry_run:
            planned = unwrap_result(self._configuration.preview(change))
            return self._reply({"dry_run": True, "changes": as_json(planned)["changes"]})
        result = unwrap_result(self._member.commit(change, request.request_id))
        return AdminReply(as_json(result) | {"request_id": request.request_id})

    def _path(self, request: AdminRequest) -> str:
        values = bodies.load_query(request.query, ("path", "name", "limit", "from", "to"))
        path = values.get("path", ROOT_PATH)
        request.require(OperatorRole.READER, path)
        return path

    def _reply(self, value: dict) -> AdminReply:
        return AdminReply({"revision": self._configuration.revision} | value)


def _change_value(entry: ChangeRecord) -> dict:
    """Return a change as an item of the history."""
    value = as_json(entry)
    value["set"] = {one.name: one.new for one in entry.changes if one.new is not None}
    value["unset"] = [one.name for one in entry.changes if one.new is None]
    return value
