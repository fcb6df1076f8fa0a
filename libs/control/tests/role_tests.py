from __future__ import annotations

import json

import eventlet
import pytest
import urllib3
from tarragonhall_control import OPTIONS, initialise, start_control
from tarragonhall_model import (
    Budget,
    EntryRecord,
    OpenProgram,
    ProgramInfo,
    QueryProgram,
)
from tarragonhall_state import Follower
from tarragonhall_wire import ControlClient, make_context, make_metrics

WAIT_SECONDS = 5.0


def free_address() -> str:
    """Return a loopback address that was free a moment ago."""
    listener = eventlet.listen(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    listener.close()
    return address


def until(condition, seconds: float = WAIT_SECONDS) -> None:
    """Wait for a condition."""
    with eventlet.Timeout(seconds):
        while not condition():
            eventlet.sleep(0.01)


def make_process(name: str, controls: list[str], address: str | None = None):
    address = address or free_address()
    return make_context(name, "tx-waco", address, controls, b"secret", make_metrics(None, 0, name))


class Admin:
    """An operator's requests to one member."""

    def __init__(self, address: str, token: str) -> None:
        self.address = address
        self.token = token
        self.http = urllib3.PoolManager(retries=False, timeout=10)

    def __call__(self, method: str, path: str, body: dict | None = None) -> tuple[int, dict]:
        response = self.http.request(
            method,
            f"http://{self.address}/admin/v1{path}",
            body=None if body is None else json.dumps(body).encode(),
            headers={"Authorization": f"Bearer {self.token}"},
        )
        return response.status, response.json()


class Group:
    """Control members in this process, each with its own links and data folder."""

    def __init__(self, folder, names: list[str]) -> None:
        self.folder = folder
        self.address_by_name = {name: free_address() for name in names}
        self.admin_by_name = {name: free_address() for name in names}
        self.token = initialise(self.settings(names[0]), names[0])
        self.context_by_name = {}
        self.role_by_name = {}
        self.clients = []

    def settings(self, name: str):
        made, findings = OPTIONS.load(
            {
                "data_folder": str(self.folder / name),
                "admin": self.admin_by_name[name],
                "members": self.address_by_name,
                "server_timeout_ms": 800,
                "entry_timeout_ms": 800,
            }
        )
        assert findings == []
        return made

    def start(self, name: str) -> None:
        context = make_process(name, [], self.address_by_name[name])
        self.context_by_name[name] = context
        self.role_by_name[name] = start_control(self.settings(name), context)

    def stop(self, name: str) -> None:
        self.role_by_name.pop(name).stop()
        self.context_by_name.pop(name).hub.stop()
        eventlet.sleep(0.1)

    def leader(self) -> str | None:
        for name, role in self.role_by_name.items():
            if role.member.is_leader():
                return name
        return None

    def state(self, name: str):
        return self.role_by_name[name].member.state

    def admin(self, name: str | None = None) -> Admin:
        return Admin(self.admin_by_name[name or self.leader()], self.token)

    def client(self, name: str):
        context = make_process(name, list(self.address_by_name.values()))
        self.clients.append(context)
        return context, ControlClient(context)

    def stop_all(self) -> None:
        for name in list(self.role_by_name):
            self.stop(name)
        for context in self.clients:
            context.hub.stop()


@pytest.fixture
def start_group(tmp_path):
    started = []

    def start(*names: str) -> Group:
        group = Group(tmp_path, list(names))
        started.append(group)
        for name in names:
            group.start(name)
        until(group.leader)
        until(lambda: group.state(group.leader()).configuration.operators.by_name)
        return group

    yield start
    for group in started:
        group.stop_all()


def test_an_operator_sets_up_an_organisation_on_a_single_member(start_group):
    admin = start_group("one").admin()
    status, made = admin(
        "POST",
        "/organisations",
        {"org_id": "school", "path": "/school", "settings": {"weight": 2}, "request_id": "r-1"},
    )
    assert (status, made["revision"]) == (200, 2)
    status, granted = admin("POST", "/keys", {"org_id": "school"})
    assert status == 201
    assert granted["key"].startswith("thk_")
    status, model = admin("POST", "/models", {"name": "planner", "version": "v1"})
    assert status == 200
    status, settings = admin("GET", "/settings?path=/school")
    assert settings["effective"]["weight"] == {"value": 2.0, "from": "/school"}
    assert settings["effective"]["idle_seconds"] == {"value": 600, "from": "default"}
    status, keys = admin("GET", "/keys?org=school")
    assert [key["key_id"] for key in keys["keys"]] == [granted["key_id"]]
    assert "key_hash" not in keys["keys"][0]
    status, shown = admin("GET", "/status")
    assert (status, shown["leader"], shown["revision"]) == (200, "one", 4)


def test_a_program_is_opened_over_a_link_and_shown_to_operators(start_group):
    group = start_group("one")
    _, client = group.client("entry-1")
    body = OpenProgram("prog-1", "school", Budget(), 60)
    info = client.propose(body, WAIT_SECONDS, "req-1")
    assert isinstance(info, ProgramInfo)
    assert client.ask(QueryProgram("prog-1", "school"), WAIT_SECONDS).info == info
    status, listed = group.admin()("GET", "/programs?status=open")
    assert [program["program_id"] for program in listed["programs"]] == ["prog-1"]
    status, ended = group.admin()("POST", "/programs/prog-1/cancel", {})
    assert (status, ended["status"]) == (200, "cancelled")


def test_a_follower_is_announced_and_gets_news(start_group):
    group = start_group("one")
    context, client = group.client("entry-1")
    node = EntryRecord("entry-1", context.incarnation, context.link_address, "tx-waco")
    follower = Follower()
    client.follow(lambda: node, follower)
    until(lambda: follower.view.entries == [node])
    assert follower.is_fresh(context.monotonic())
    assert follower.fencing == group.role_by_name["one"].member.loop.replica.status().term
    group.admin()("POST", "/organisations", {"org_id": "school", "path": "/school"})
    until(lambda: "school" in follower.organisation_by_id, 0.5)
