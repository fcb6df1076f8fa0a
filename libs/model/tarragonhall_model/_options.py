"""Declared options: each checks its own value, and a group reports all findings at once.

A settings file is one `Group` of options, possibly nested. `Group.load` never stops at the first
problem, so that an operator sees every finding, each with its JSON pointer, in one run.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from ipaddress import IPv4Address
from typing import Any

from tarragonhall_model._findings import Finding, is_enough, shown, unknown_name

REQUIRED: Any = object()
MAX_PORT = 65_535

Loaded = tuple[Any, list[Finding]]


def _expected(place: str, what: str, value: object) -> Loaded:
    return None, [Finding(place, f"expected {what}, got {shown(value)}")]


@dataclass(slots=True, frozen=True)
class Text:
    """A non-empty string."""

    default: Any = REQUIRED

    def load(self, value: object, place: str) -> Loaded:
        """Check one value."""
        if not isinstance(value, str) or not value:
            return _expected(place, "a non-empty string", value)
        return value, []

    def schema(self) -> dict:
        """Return the JSON Schema of this option."""
        return {"type": "string", "minLength": 1}


@dataclass(slots=True, frozen=True)
class Address:
    """An address `host:port`, where the host is an IP address or `localhost`."""

    default: Any = REQUIRED

    def load(self, value: object, place: str) -> Loaded:
        """Check one value."""
        if not isinstance(value, str):
            return _expected(place, "host:port", value)
        host, _, port = value.rpartition(":")
        if not host or not is_port(port):
            return _expected(place, "host:port", value)
        return value, []

    def schema(self) -> dict:
        """Return the JSON Schema of this option."""
        return {"type": "string", "pattern": "^.+:[0-9]+$"}


@dataclass(slots=True, frozen=True)
class Integer:
    """An integer within bounds."""

    default: Any = REQUIRED
    minimum: int = 0
    maximum: int = 2**53

    def load(self, value: object, place: str) -> Loaded:
        """Check one value."""
        if isinstance(value, bool) or not isinstance(value, int):
            return _expected(place, "a whole number", value)
        if not self.minimum <= value <= self.maximum:
            return _expected(place, f"a number from {self.minimum} to {self.maximum}", value)
        return value, []

    def schema(self) -> dict:
        """Return the JSON Schema of this option."""
        return {"type": "integer", "minimum": self.minimum, "maximum": self.maximum}


@dataclass(slots=True, frozen=True)
class Number:
    """A finite number within bounds."""

    default: Any = REQUIRED
    minimum: float = 0.0
    maximum: float = 1e15

    def load(self, value: object, place: str) -> Loaded:
        """Check one value."""
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            return _expected(place, "a number", value)
        if not self.minimum <= value <= self.maximum:
            return _expected(place, f"a number from {self.minimum} to {self.maximum}", value)
        return float(value), []

    def schema(self) -> dict:
        """Return the JSON Schema of this option."""
        return {"type": "number", "minimum": self.minimum, "maximum": self.maximum}


@dataclass(slots=True, frozen=True)
class Flag:
    """True or false."""

    default: Any = REQUIRED

    def load(self, value: object, place: str) -> Loaded:
        """Check one value."""
        if not isinstance(value, bool):
            return _expected(place, "true or false", value)
        return value, []

    def schema(self) -> dict:
        """Return the JSON Schema of this option."""
        return {"type": "boolean"}


@dataclass(slots=True, frozen=True)
class Choice:
    """One of a fixed set of words; `convert` maps the word to the value that the code uses."""

    words: tuple[str, ...]
    default: Any = REQUIRED
    convert: Callable[[str], Any] = str

    def load(self, value: object, place: str) -> Loaded:
        """Check one value."""
        if value not in self.words:
            if isinstance(value, str):
                return None, [unknown_name(place, value, self.words)]
            return _expected(place, f"one of {', '.join(self.words)}", value)
        return self.convert(value), []

    def schema(self) -> dict:
        """Return the JSON Schema of this option."""
        return {"enum": list(self.words)}


@dataclass(slots=True, frozen=True)
class ListOf:
    """A list whose items are all loaded by one option, with at least `min_items` of them."""

    item: Any
    default: Any = REQUIRED
    min_items: int = 0

    def load(self, value: object, place: str) -> Loaded:
        """Check each item."""
        if not isinstance(value, list):
            return _expected(place, "a list", value)
        if len(value) < self.min_items:
            return None, [Finding(place, f"expected at least {self.min_items} item(s)")]
        loaded, findings = [], []
        for index, part in enumerate(value):
            item, found = self.item.load(part, f"{place}/{index}")
            loaded.append(item)
            findings.extend(found)
            if is_enough(findings):
                break
        return loaded, findings

    def schema(self) -> dict:
        """Return the JSON Schema of this option."""
        return {"type": "array", "items": self.item.schema(), "minItems": self.min_items}


@dataclass(slots=True, frozen=True)
class MapOf:
    """An object with arbitrary names whose values are all loaded by one option."""

    item: Any
    default: Any = REQUIRED
    max_items: int | None = None
    # What the finding on too many of them calls them.
    items: str = "names"

    def load(self, value: object, place: str) -> Loaded:
        """Check each value."""
        if not isinstance(value, dict):
            return _expected(place, "an object", value)
        if self.max_items is not None and len(value) > self.max_items:
            return None, [Finding(place, f"more than {self.max_items} {self.items}")]
        loaded, findings = {}, []
        for name, part in value.items():
            loaded[name], found = self.item.load(part, f"{place}/{escape_json_pointer(name)}")
            findings.extend(found)
            if is_enough(findings):
                break
        return loaded, findings

    def schema(self) -> dict:
        """Return the JSON Schema of this option."""
        schema = {"type": "object", "additionalProperties": self.item.schema()}
        return schema if self.max_items is None else schema | {"maxProperties": self.max_items}


@dataclass(slots=True, frozen=True)
class Group:
    """An object with declared names; `build` makes the typed settings from their values.

    `check` validates the built settings as a whole, for rules that involve several options.
    """

    build: Callable[..., Any]
    options: dict[str, Any]
    default: Any = REQUIRED
    check: Callable[[Any, str], Iterable[Finding]] = field(default=lambda _settings, _place: ())

    def load(self, value: object, place: str = "") -> Loaded:
        """Check every option, then the group as a whole."""
        if not isinstance(value, dict):
            return _expected(place, "an object", value)
        findings = []
        for name in value:
            if name in self.options:
                continue
            findings.append(
                unknown_name(f"{place}/{escape_json_pointer(name)}", name, self.options)
            )
            if is_enough(findings):
                return None, findings
        loaded = {}
        for name, option in self.options.items():
            pointer = f"{place}/{name}"
            if name not in value:
                if option.default is REQUIRED:
                    findings.append(Finding(pointer, "is required"))
                loaded[name] = option.default
                continue
            loaded[name], found = option.load(value[name], pointer)
            findings.extend(found)
        if findings:
            return None, findings
        settings = self.build(**loaded)
        return settings, list(self.check(settings, place))

    def schema(self) -> dict:
        """Return the JSON Schema of the group."""
        return {
            "type": "object",
            "properties": {name: option.schema() for name, option in self.options.items()},
            "required": [n for n, option in self.options.items() if option.default is REQUIRED],
            "additionalProperties": False,
        }


def is_port(text: str) -> bool:
    """Return whether a text is the number of a port."""
    # Other characters count as digits too, and have no number.
    return text.isascii() and text.isdigit() and len(text) <= 5 and 0 < int(text) <= MAX_PORT


def is_ip_address(text: str) -> bool:
    """Return whether a text is an IPv4 address, which takes no look-up to connect to."""
    try:
        IPv4Address(text)
    except ValueError:
        return False
    return True


def escape_json_pointer(name: str) -> str:
    """Escape a name for use in a JSON pointer (RFC 6901)."""
    return name.replace("~", "~0").replace("/", "~1")
