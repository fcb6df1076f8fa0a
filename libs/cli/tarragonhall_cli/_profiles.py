"""Profiles: the admin addresses and the token of each deployment."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

from tarragonhall_model import Address, Finding, Group, ListOf, MapOf, Text

from tarragonhall_cli._errors import RejectedInputError

DEFAULT_FILE = Path("~/.config/tarragonhall/profiles.json")


@dataclass(slots=True, frozen=True)
class Profile:
    """One deployment: the admin addresses of its control members and the operator's token."""

    admin: list[str]
    token: str


OPTIONS = MapOf(Group(Profile, {"admin": ListOf(Address(), min_items=1), "token": Text()}))


def choose_profile(file: Path, name: str, admin: list[str], token: str | None) -> Profile:
    """Return the profile to use; options on the command line override the file."""
    if admin and token:
        return Profile(admin, token)
    profile = _read_profiles(file).get(name)
    if profile is None:
        missing = "--token" if admin else "--admin" if token else "--admin and --token"
        message = f"no profile {name!r} in {file}; set one there, or give {missing}"
        raise RejectedInputError(message, [])
    return Profile(admin or profile.admin, token or profile.token)


def _read_profiles(file: Path) -> dict[str, Profile]:
    path = file.expanduser()
    if not path.exists():
        return {}
    try:
        value = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise RejectedInputError(f"cannot read {path}", [Finding(str(path), str(error))]) from error
    profiles, findings = OPTIONS.load(value, "")
    if findings:
        raise RejectedInputError(f"{path} is invalid", findings)
    return profiles
