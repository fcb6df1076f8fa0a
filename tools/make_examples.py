"""Write the settings files of both deployments, one for each instance, under `examples/`.

Each instance has a loopback address of its own, so that the files look as they would for separate
machines. The files are committed; run this again after a change here.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
LINK_PORT = 7400
ADMIN_PORT = 7401
CALLERS_PORT = 7402
SERVER_PORT = 7410


@dataclass(slots=True, frozen=True)
class Servers:
    """A group of identical backend servers."""

    name: str
    kind: str
    serves: str
    count: int
    slots: int


@dataclass(slots=True, frozen=True)
class Shape:
    """One deployment: its zones and servers; `network` is the second byte of its addresses."""

    name: str
    region: str
    zones: tuple[str, ...]
    network: int
    servers: tuple[Servers, ...]

    def address(self, host: int, port: int) -> str:
        """Return an address of one instance."""
        return f"127.{self.network}.0.{host}:{port}"


ASSOCIATION = Shape(
    "association",
    "tx-central",
    ("tx-austin", "tx-waco", "tx-temple"),
    10,
    (
        Servers("engine", "model", "planner-8b", 10, 8),
        Servers("order-desk", "service", "order-desk", 10, 4),
    ),
)
AGENCY = Shape(
    "agency",
    "ar-central",
    ("zona-a", "zona-b", "zona-c"),
    20,
    (
        Servers("engine", "model", "negotiator-8b", 5, 8),
        Servers("application", "service", "meetings", 3, 4),
    ),
)

CONTROL_HOST = 1
ENTRY_HOST = 11
SERVER_HOST = 21


def common(shape: Shape, instance: str, zone: int, host: int) -> dict:
    """Return the settings that all instances share."""
    controls = range(CONTROL_HOST, CONTROL_HOST + len(shape.zones))
    return {
        "instance": instance,
        "availability_zone": shape.zones[zone],
        "region": shape.region,
        "link": {
            "listen": shape.address(host, LINK_PORT),
            "secret_file": f"../../.demo/{shape.name}/link.secret",
            "controls": [shape.address(control, LINK_PORT) for control in controls],
        },
    }


def control_settings(shape: Shape, zone: int) -> dict:
    """Return the settings of the control instance of a zone."""
    host = CONTROL_HOST + zone
    instance = f"control-{shape.zones[zone]}"
    members = {
        f"control-{name}": shape.address(CONTROL_HOST + number, LINK_PORT)
        for number, name in enumerate(shape.zones)
    }
    return common(shape, instance, zone, host) | {
        "control": {
            "data_folder": f"../../.demo/{shape.name}/{instance}",
            "admin": shape.address(host, ADMIN_PORT),
            "members": members,
        }
    }


def entry_settings(shape: Shape, zone: int) -> dict:
    """Return the settings of the entry instance of a zone."""
    host = ENTRY_HOST + zone
    settings = common(shape, f"entry-{shape.zones[zone]}", zone, host)
    return settings | {"entry": {"listen": shape.address(host, CALLERS_PORT)}}


def sidecar_settings(shape: Shape, servers: Servers, number: int, host: int) -> dict:
    """Return the settings of the sidecar of one backend server."""
    zone = number % len(shape.zones)
    server_id = f"{servers.name}-{number + 1}"
    sidecar = {
        "server_id": server_id,
        "server": shape.address(host, SERVER_PORT),
        "kind": servers.kind,
        "serves": [servers.serves],
        "slots": servers.slots,
    }
    return common(shape, f"sidecar-{server_id}", zone, host) | {"sidecars": [sidecar]}


def all_settings(shape: Shape) -> list[dict]:
    """Return the settings of every instance of a deployment."""
    settings = []
    for zone in range(len(shape.zones)):
        settings.append(control_settings(shape, zone))
        settings.append(entry_settings(shape, zone))
    host = SERVER_HOST
    for servers in shape.servers:
        for number in range(servers.count):
            settings.append(sidecar_settings(shape, servers, number, host))
            host += 1
    return settings


def main() -> None:
    """Write the files of both deployments."""
    for shape in (ASSOCIATION, AGENCY):
        folder = EXAMPLES / shape.name
        folder.mkdir(parents=True, exist_ok=True)
        for settings in all_settings(shape):
            text = json.dumps(settings, indent=2) + "\n"
            (folder / f"{settings['instance']}.json").write_text(text)


if __name__ == "__main__":
    main()
