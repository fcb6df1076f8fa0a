from __future__ import annotations

from dataclasses import dataclass

import jsonschema
import pytest
from tarragonhall_model import Address, Choice, Finding, Group, Integer, ListOf, Text


@dataclass(slots=True, frozen=True)
class Sample:
    name: str
    listen: str
    tries: int
    mode: str
    zones: list[str]


SAMPLE = Group(
    Sample,
    {
        "name": Text(),
        "listen": Address(),
        "tries": Integer(3, minimum=1, maximum=9),
        "mode": Choice(("fast", "safe"), default="safe"),
        "zones": ListOf(Text(), default=[]),
    },
    check=lambda sample, place: [Finding(f"{place}/name", "taken")] if sample.name == "x" else [],
)


def test_missing_options_take_their_defaults():
    sample, findings = SAMPLE.load({"name": "a", "listen": "127.0.0.1:80"})
    assert findings == []
    assert sample == Sample("a", "127.0.0.1:80", 3, "safe", [])


def test_all_findings_are_reported_at_once_with_their_locations():
    _, findings = SAMPLE.load({"nam": "a", "tries": 10, "mode": "saef", "zones": ["a", 5]})
    messages = {finding.place: finding.message for finding in findings}
    assert messages == {
        "/nam": "unknown name 'nam'; did you mean 'name'?",
        "/name": "is required",
        "/listen": "is required",
        "/tries": "expected a number from 1 to 9, got 10",
        "/mode": "unknown name 'saef'; did you mean 'safe'?",
        "/zones/1": "expected a non-empty string, got 5",
    }


def test_a_finding_of_the_group_check_is_reported_with_its_location():
    _, findings = SAMPLE.load({"name": "x", "listen": "127.0.0.1:80"})
    assert findings == [Finding("/name", "taken")]


@pytest.mark.parametrize(
    ("value", "valid"),
    [
        ({"name": "a", "listen": "h:1"}, True),
        ({"name": "", "listen": "h:1"}, False),
        ({"name": "a", "listen": "h:1", "tries": True}, False),
        ({"name": "a", "listen": "h"}, False),
        ({"name": "a", "listen": "h:1", "more": 1}, False),
    ],
)
def test_the_published_schema_agrees_with_the_checks(value, valid):
    _, findings = SAMPLE.load(value)
    schema_valid = jsonschema.Draft202012Validator(SAMPLE.schema()).is_valid(value)
    assert (findings == []) == schema_valid == valid
