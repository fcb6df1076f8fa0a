"""The settings file of one process: the roles that it runs, and how it connects to the others."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from pathlib import Path

import tarragonhall_control
import tarragonhall_entry
import tarragonhall_sidecar
from tarragonhall_control import ControlSettings
from tarragonhall_entry import EntrySettings
from tarragonhall_model import (
    Address,
    Choice,
    Finding,
    Group,
    InputError,
    Integer,
    ListOf,
    Text,
    parse_json,
)
from tarragonhall_sidecar import SidecarSettings

MIN_SECRET_BYTES = 32


@dataclass(slots=True, frozen=True)
class LinkSettings:
    """The links of this process to the others.

    `controls` are the link addresses of all control members. `secret_file` holds the secret that
    all processes of one deployment share.
    """

    listen: str
    secret_file: str
    controls: list[str]


@dataclass(slots=True, frozen=True)
class StatsdSettings:
    """The StatsD server that receives the metrics."""

    host: str
    port: int


@dataclass(slots=True, frozen=True)
class MachineLimits:
    """What the machine offers to this process; 0 means unknown.

    The clients of the process share a part of it. Without `descriptors`, the limit of the process
    itself applies.
    """

    memory_mb: int
    descriptors: int


@dataclass(slots=True, frozen=True)
class DaemonSettings:
    """All settings of one process. A role without settings does not run here."""

    instance: str
    availability_zone: str
    region: str
    link: LinkSettings
    control: ControlSettings | None
    entry: EntrySettings | None
    sidecars: list[SidecarSettings]
    statsd: StatsdSettings | None
    limits: MachineLimits
    log_level: str
    stop_timeout_ms: int


def _check_settings(settings: DaemonSettings, place: str) -> Iterable[Finding]:
    if settings.control is None and settings.entry is None and not settings.sidecars:
        yield Finding(place, "no role: set at least one of control, entry and sidecars")
    yield from _check_control_settings(settings, place)
    seen: set[str] = set()
    for index, sidecar in enumerate(settings.sidecars):
        if sidecar.server_id in seen:
            field_place = f"{place}/sidecars/{index}/server_id"
            yield Finding(field_place, f"{sidecar.server_id!r} is used twice")
        seen.add(sidecar.server_id)


def _check_control_settings(settings: DaemonSettings, place: str) -> Iterable[Finding]:
    if settings.control is None:
        return
    own = settings.control.members.get(settings.instance)
    if own is None:
        yield Finding(
            f"{place}/control/members", f"does not name this instance {settings.instance!r}"
        )
    elif own != settings.link.listen:
        field_place = f"{place}/control/members/{settings.instance}"
        yield Finding(field_place, f"is {own}, but link/listen is {settings.link.listen}")
    for name, address in settings.control.members.items():
        if address in settings.link.controls:
            continue
        field_place = f"{place}/link/controls"
        yield Finding(field_place, f"does not hold the address of member {name!r}, {address}")


OPTIONS = Group(
    DaemonSettings,
    {
        "instance": Text(),
        "availability_zone": Text(),
        "region": Text(default="local"),
        "link": Group(
            LinkSettings,
            {
                "listen": Address(),
                "secret_file": Text(),
                "controls": ListOf(Address(), min_items=1),
            },
        ),
        "control": replace(tarragonhall_control.OPTIONS, default=None),
        "entry": replace(tarragonhall_entry.OPTIONS, default=None),
        "sidecars": ListOf(tarragonhall_sidecar.OPTIONS, default=[]),
        "statsd": Group(
            StatsdSettings,
            {"host": Text(), "port": Integer(8125, minimum=1, maximum=65_535)},
            default=None,
        ),
        "limits": Group(
            MachineLimits,
            {"memory_mb": Integer(0, minimum=0), "descriptors": Integer(0, minimum=0)},
            default=MachineLimits(0, 0),
        ),
        "log_level": Choice(("debug", "info", "warning", "error"), default="info"),
        # Long enough for the longest stream of a caller, but below the platform's own limit.
        "stop_timeout_ms": Integer(120_000, minimum=1_000),
    },
    check=_check_settings,
)


def load_settings(path: Path) -> DaemonSettings:
    """Load and check a settings file; raise `InputError` with every finding."""
    try:
        text = path.read_text()
    except OSError as error:
        raise InputError([Finding(str(path), error.strerror or str(error))]) from error
    except UnicodeDecodeError as error:
        raise InputError([Finding(str(path), f"malformed JSON: {error}")]) from error
    value = parse_json(text, str(path))
    settings, findings = OPTIONS.load(value)
    if findings:
        raise InputError(findings)
    return _resolve_paths(settings, path.parent)


def read_secret(path: Path) -> bytes:
    """Return the link secret; raise `InputError` if it is missing or too short."""
    try:
        secret = path.read_bytes().strip()
    except OSError as error:
        raise InputError([Finding("/link/secret_file", f"{path}: {error.strerror}")]) from error
    if len(secret) < MIN_SECRET_BYTES:
        message = f"{path}: holds {len(secret)} bytes, at least {MIN_SECRET_BYTES} are needed"
        raise InputError([Finding("/link/secret_file", message)])
    return secret


def _resolve_paths(settings: DaemonSettings, folder: Path) -> DaemonSettings:
    """Resolve file paths relative to the folder of the settings file."""
    link = replace(settings.link, secret_file=str(folder / settings.link.secret_file))
    control = settings.control
    if control is not None:
        control = replace(control, data_folder=str(folder / control.data_folder))
    return replace(settings, link=link, control=control)
