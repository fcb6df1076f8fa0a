from __future__ import annotations

import json
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest
from click.testing import CliRunner
from tarragonhall_cli.__main__ import cli, main
from tarragonhall_cli._assignments import parse_assignments
from tarragonhall_cli._client import AdminClient
from tarragonhall_cli._errors import ConflictError, RejectedInputError, ToolError, UnreachableError
from tarragonhall_cli._profiles import Profile
from tarragonhall_model import secret_hash


class ScriptedAdmin:
    """A fake admin API that sends scripted answers and records the requests."""

    def __init__(self, answers: list[tuple[int, dict] | None]) -> None:
        admin = self
        self.received: list[tuple[str, str, dict]] = []

        class Handler(BaseHTTPRequestHandler):
            def answer(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length)) if length else {}
                admin.received.append((self.command, self.path, body))
                scripted = answers.pop(0)
                if scripted is None:
                    self.connection.close()
                    return
                status, value = scripted
                data = json.dumps(value).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_DELETE = answer  # noqa: N815

            def log_message(self, *_parts: object) -> None:
                return

        self._server = HTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        self._server.shutdown()
        self._server.server_close()


@pytest.fixture
def admin():
    started = []

    def start(*answers):
        fake_admin = ScriptedAdmin(list(answers))
        started.append(fake_admin)
        return fake_admin

    yield start
    for fake_admin in started:
        fake_admin.stop()


def run(admin: ScriptedAdmin, *arguments: str):
    return CliRunner().invoke(cli, ["--admin", admin.address, "--token", "tho_x", *arguments])


def test_a_change_is_retried_with_the_same_request_id(admin):
    # The connection breaks after the change was sent, so the tool cannot know whether it took
    # effect. Retried under a new id, a grant would create a second, unknown key.
    server = admin(None, (200, {"revision": 4}))
    client = AdminClient(Profile([server.address], "tho_x"))
    assert client.post("settings", {"path": "/a"}) == {"revision": 4}
    first, second = (body["request_id"] for _method, _path, body in server.received)
    assert first == second


def test_a_member_that_is_down_is_skipped(admin):
    # The first control member in the profile is down. Without trying the others, the operator could
    # change nothing although a majority is running.
    server = admin((200, {"ok": True}))
    client = AdminClient(Profile(["127.0.0.1:1", server.address], "tho_x"))
    assert client.get("status") == {"ok": True}


def test_an_error_is_raised_if_no_member_answers():
    client = AdminClient(Profile(["127.0.0.1:1"], "tho_x"), retry_seconds=0.0)
    with pytest.raises(UnreachableError, match="does not answer"):
        client.get("status")


def test_a_conflict_reports_the_current_revision(admin):
    # Two operators change the same setting at the same revision. The one whose change is rejected
    # must see the current revision, or they would assume that their own took effect.
    server = admin((409, {"error": "conflict", "message": "revision 8 is in force"}))
    client = AdminClient(Profile([server.address], "tho_x"))
    with pytest.raises(ConflictError, match="revision 8 is in force"):
        client.post("settings", {})


def test_every_finding_of_the_api_is_shown(admin):
    findings = [
        {"place": "/set/rate.burst", "message": "expected a number"},
        {"place": "/set/wieght", "message": "unknown name 'wieght'; did you mean 'weight'?"},
    ]
    server = admin((422, {"message": "2 findings", "findings": findings}))
    client = AdminClient(Profile([server.address], "tho_x"))
    with pytest.raises(RejectedInputError) as caught:
        client.post("settings", {})
    assert "/set/rate.burst: expected a number" in str(caught.value)
    assert "did you mean 'weight'?" in str(caught.value)


@pytest.mark.parametrize(
    ("command", "shown_as", "sent_as"),
    [
        (("key", "grant", "org-1"), "key", "key_hash"),
        (("operator", "create", "ana", "/lunch"), "token", "token_hash"),
    ],
)
def test_a_new_secret_is_shown_but_never_sent(admin, command, shown_as, sent_as):
    server = admin((200, {"name": "x"}))
    result = run(server, "--json", *command)
    shown = json.loads(result.stdout)[shown_as]
    sent_body = server.received[0][2]
    assert sent_body[sent_as] == secret_hash(shown)
    assert shown not in json.dumps(sent_body)


def test_an_operator_is_removed_by_name(admin):
    server = admin((200, {}))
    assert run(server, "operator", "remove", "ana maria").exit_code == 0
    assert server.received[0][:2] == ("DELETE", "/admin/v1/operators/ana%20maria")


def test_the_expected_revision_defaults_to_the_current_one(admin):
    server = admin((200, {"revision": 7, "effective": {}}), (200, {"revision": 8}))
    result = run(server, "rate", "set", "/lunch", "5", "10")
    assert result.exit_code == 0
    assert server.received[1][2]["expected_revision"] == 7
    assert server.received[1][2]["set"] == {"rate.per_second": 5.0, "rate.burst": 10.0}


def test_results_are_printed_as_a_table_or_as_json(admin):
    models = {"models": [{"name": "planner-8b", "version": "v2", "min_replicas": 1}]}
    server = admin((200, models), (200, models))
    assert run(server, "model", "list").stdout.splitlines()[1].split()[:2] == ["planner-8b", "v2"]
    assert json.loads(run(server, "--json", "model", "list").stdout) == models


def test_all_unreadable_assignments_are_reported_at_once():
    with pytest.raises(RejectedInputError) as caught:
        parse_assignments(("weight=2", "burst", "=3", "weight=4"))
    assert [finding.place for finding in caught.value.findings] == ["burst", "=3", "weight"]


def test_values_are_parsed_as_json_if_possible():
    assert parse_assignments(("a=1", "b=true", "c=v2")) == {"a": 1, "b": True, "c": "v2"}


def test_a_user_error_ends_with_a_message_and_its_exit_code(monkeypatch, capsys, tmp_path):
    profiles = str(tmp_path / "none.json")
    monkeypatch.setattr("sys.argv", ["tarragonhall", "--profiles", profiles, "status"])
    with pytest.raises(SystemExit) as caught:
        main()
    assert caught.value.code == 2
    assert "no profile 'default'" in capsys.readouterr().err


def test_a_member_change_has_a_longer_timeout_than_a_settings_change(admin, monkeypatch):
    # A new member installs a snapshot before it votes, which takes longer than any settings change.
    # A tool that times out first would report that no member answers while the change continues.
    server = admin((200, {"members": []}), (200, {}))
    read_timeouts = []
    send_request = AdminClient._request
    monkeypatch.setattr(
        AdminClient, "_request", lambda *a: (read_timeouts.append(a[-1]), send_request(*a))[1]
    )
    run(server, "member", "add", "control-4", "127.0.0.1:7400")
    run(server, "model", "set", "planner-8b", "v2")
    assert read_timeouts[0] > 60 > read_timeouts[1]


def test_zones_are_listed_evacuated_and_returned(admin):
    zone = {"availability_zone": "tx-waco", "evacuated": True, "entries": 2, "servers": 9}
    changed = {"epoch": 4, "evacuated_zones": ["tx-waco"], "request_id": "r-1"}
    api = admin((200, {"zones": [zone]}), (200, changed), (200, changed))
    shown = run(api, "zones", "list")
    assert shown.exit_code == 0 and "tx-waco" in shown.output
    assert run(api, "zones", "evacuate", "tx-waco").exit_code == 0
    assert run(api, "zones", "return", "tx-waco").exit_code == 0
    assert [(one[0], one[1]) for one in api.received] == [
        ("GET", "/admin/v1/zones"),
        ("POST", "/admin/v1/zones/tx-waco/evacuation"),
        ("POST", "/admin/v1/zones/tx-waco/evacuation"),
    ]
    assert [one[2]["evacuated"] for one in api.received[1:]] == [True, False]


def test_an_unknown_zone_is_reported_with_the_reason(admin):
    message = "no availability zone 'tx-wako'; known are tx-waco"
    api = admin((404, {"error": "not_found", "message": message, "findings": []}))
    shown = run(api, "zones", "evacuate", "tx-wako")
    assert shown.exit_code != 0
    assert message in str(shown.exception) + shown.output


@pytest.mark.parametrize("answer", [(600, {"version": 1}), (999, {}), (200, [])])
def test_a_status_or_body_that_is_no_result_is_an_error(admin, answer):
    # A list in place of an object ended the command with a traceback.
    server = admin(answer)
    with pytest.raises(ToolError):
        AdminClient(Profile([server.address], "tho_x")).get("settings")
