from __future__ import annotations

import json
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest
from click.testing import CliRunner
from tarragonhall_cli.__main__ import cli, main
from tarragonhall_cli._client import AdminClient
from tarragonhall_cli._errors import ConflictError, RefusedInputError, UnreachableError
from tarragonhall_cli._profiles import Profile
from tarragonhall_cli._values import parse_assignments
from tarragonhall_model import secret_hash


class ScriptedAdmin:
    """A stand-in for the admin API that gives scripted answers and keeps what it was sent."""

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
        made = ScriptedAdmin(list(answers))
        started.append(made)
        return made

    yield start
    for made in started:
        made.stop()


def run(admin: ScriptedAdmin, *arguments: str):
    return CliRunner().invoke(cli, ["--admin", admin.address, "--token", "tho_x", *arguments])


def test_a_change_whose_answer_was_lost_is_sent_again_under_the_same_request_id(admin):
    # The connection breaks after the change was sent, so the operator cannot know whether it took
    # effect. Sent again under a new id, a grant would leave a second, unknown key.
    server = admin(None, (200, {"revision": 4}))
    client = AdminClient(Profile([server.address], "tho_x"))
    assert client.post("settings", {"path": "/a"}) == {"revision": 4}
    first, second = (body["request_id"] for _method, _path, body in server.received)
    assert first == second


def test_a_member_that_is_down_is_passed_over(admin):
    # One of the control members is lost, and the profile names it first. Without trying the
    # others, the operator could change nothing although a majority is well.
    server = admin((200, {"ok": True}))
    client = AdminClient(Profile(["127.0.0.1:1", server.address], "tho_x"))
    assert client.get("status") == {"ok": True}


def test_when_nobody_answers_the_tool_says_so_and_ends():
    client = AdminClient(Profile(["127.0.0.1:1"], "tho_x"), give_up_seconds=0.0)
    with pytest.raises(UnreachableError, match="does not answer"):
        client.get("status")


def test_a_lost_race_is_told_with_what_is_in_force(admin):
    # Two operators change the same setting under the same revision. The one who lost must see the
    # value in force, or they would believe that their own is.
    server = admin((409, {"error": "conflict", "message": "revision 8 is in force"}))
    client = AdminClient(Profile([server.address], "tho_x"))
    with pytest.raises(ConflictError, match="revision 8 is in force"):
        client.post("settings", {})


def test_every_finding_of_the_service_is_shown(admin):
    findings = [
        {"place": "/set/rate.burst", "message": "expected a number"},
        {"place": "/set/wieght", "message": "unknown name 'wieght'; did you mean 'weight'?"},
    ]
    server = admin((422, {"message": "2 findings", "findings": findings}))
    client = AdminClient(Profile([server.address], "tho_x"))
    with pytest.raises(RefusedInputError) as caught:
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
    sent = server.received[0][2]
    assert sent[sent_as] == secret_hash(shown)
    assert shown not in json.dumps(sent)


def test_an_operator_is_removed_by_name(admin):
    server = admin((200, {}))
    assert run(server, "operator", "remove", "ana maria").exit_code == 0
    assert server.received[0][:2] == ("DELETE", "/admin/v1/operators/ana%20maria")


def test_a_change_without_an_expected_revision_takes_the_one_in_force(admin):
    server = admin((200, {"revision": 7, "effective": {}}), (200, {"revision": 8}))
    result = run(server, "rate", "set", "/lunch", "5", "10")
    assert result.exit_code == 0
    assert server.received[1][2]["expected_revision"] == 7
    assert server.received[1][2]["set"] == {"rate.per_second": 5.0, "rate.burst": 10.0}


def test_tables_are_for_people_and_json_for_scripts(admin):
    models = {"models": [{"name": "planner-8b", "version": "v2", "min_replicas": 1}]}
    server = admin((200, models), (200, models))
    assert run(server, "model", "list").stdout.splitlines()[1].split()[:2] == ["planner-8b", "v2"]
    assert json.loads(run(server, "--json", "model", "list").stdout) == models


def test_all_unreadable_assignments_are_reported_at_once():
    with pytest.raises(RefusedInputError) as caught:
        parse_assignments(("weight=2", "burst", "=3", "weight=4"))
    assert [finding.place for finding in caught.value.findings] == ["burst", "=3", "weight"]


def test_values_are_json_where_they_can_be():
    assert parse_assignments(("a=1", "b=true", "c=v2")) == {"a": 1, "b": True, "c": "v2"}


def test_a_mistake_ends_with_a_sentence_and_its_own_exit_code(monkeypatch, capsys, tmp_path):
    profiles = str(tmp_path / "none.json")
    monkeypatch.setattr("sys.argv", ["tarragonhall", "--profiles", profiles, "status"])
    with pytest.raises(SystemExit) as caught:
        main()
    assert caught.value.code == 2
    assert "no profile 'default'" in capsys.readouterr().err


def test_a_member_change_is_waited_for_longer_than_a_setting(admin, monkeypatch):
    # A new member takes in a snapshot before it votes, which takes longer than any setting. A tool
    # that gives up first tells the operator that nobody answers, while the change goes on.
    server = admin((200, {"members": []}), (200, {}))
    patience = []
    once = AdminClient._once
    monkeypatch.setattr(AdminClient, "_once", lambda *a: (patience.append(a[-1]), once(*a))[1])
    run(server, "member", "add", "control-4", "127.0.0.1:7400")
    run(server, "model", "set", "planner-8b", "v2")
    assert patience[0] > 60 > patience[1]


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


def test_a_zone_that_is_mistyped_ends_with_the_reason(admin):
    message = "no availability zone 'tx-wako'; known are tx-waco"
    api = admin((404, {"error": "not_found", "message": message, "findings": []}))
    shown = run(api, "zones", "evacuate", "tx-wako")
    assert shown.exit_code != 0
    assert message in str(shown.exception) + shown.output
