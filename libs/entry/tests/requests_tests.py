from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tarragonhall_entry._requests import load_call, load_idempotency_key, load_open
from tarragonhall_model import InputError, ModelPolicy, encode

MODELS = {"planner": ModelPolicy("planner", "v1", max_tokens=100)}
MODEL_CALL = {"seq": 1, "kind": "model", "target": "planner", "body": "plan"}
SERVICE_CALL = {"seq": 1, "kind": "service", "target": "desk", "body": {"b": 1, "a": [2]}}

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=10,
)
FIELDS = st.sampled_from(
    ["seq", "kind", "target", "body", "repeatable", "max_tokens", "timeout_ms", "stream", "else"]
)


def test_a_service_call_is_not_repeatable_unless_it_says_so():
    assert load_call(SERVICE_CALL, MODELS).repeatable is False
    assert load_call(SERVICE_CALL | {"repeatable": True}, MODELS).repeatable is True
    assert load_call(MODEL_CALL, MODELS).repeatable is True


def test_equal_json_objects_give_equal_bodies():
    # A caller's library may write the members of an object in another order when it resends a call.
    # Compared as sent, the resend would be refused as a conflict.
    other = SERVICE_CALL | {"body": {"a": [2], "b": 1}}
    assert load_call(SERVICE_CALL, MODELS) == load_call(other, MODELS)


def test_the_model_policy_limits_max_tokens():
    assert load_call(MODEL_CALL, MODELS).max_tokens == 100
    for wrong in (0, 101):
        with pytest.raises(InputError, match="/max_tokens: expected a number from 1 to 100"):
            load_call(MODEL_CALL | {"max_tokens": wrong}, MODELS)


@pytest.mark.parametrize("body", [float("nan"), float("inf"), "\ud800", ["\udfff"]])
def test_a_body_that_cannot_be_encoded_is_a_finding(body):
    # JSON can express an unpaired surrogate, and the parser accepts NaN. Neither can be sent to
    # other processes: the caller would get an internal error and not know whether its call ran.
    if body == ["\udfff"]:
        assert load_call(SERVICE_CALL | {"body": body}, MODELS).body == '["\\udfff"]'
        return
    with pytest.raises(InputError, match="/body"):
        load_call(SERVICE_CALL | {"body": body}, MODELS)


def test_labels_and_idempotency_keys_are_limited():
    with pytest.raises(InputError, match="/labels: more than 32"):
        load_open({"labels": {str(number): "x" for number in range(33)}})
    with pytest.raises(InputError, match="/labels/\ud800: contains an unpaired surrogate"):
        load_open({"labels": {"\ud800": "x"}})
    with pytest.raises(InputError, match="Idempotency-Key: longer than 256"):
        load_idempotency_key("x" * 257)


@given(st.dictionaries(FIELDS, JSON))
def test_any_object_gives_a_call_that_can_be_encoded_or_findings(value):
    try:
        spec = load_call(value, MODELS)
    except InputError as error:
        assert error.findings
        assert all(finding.place.startswith("/") for finding in error.findings)
        return
    assert encode(spec)
    assert spec.body == value["body"] or json.loads(spec.body) == value["body"]
