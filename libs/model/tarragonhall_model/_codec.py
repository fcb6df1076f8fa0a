"""CBOR encoding of the project's data classes, driven by their type hints.

A record is encoded as the array `[type name, {field: value}]`. Unknown fields are ignored and
missing ones take their default, so that two versions interoperate during a rolling upgrade. Only
classes marked with `@record` or `@mutable_record` can be decoded: a peer cannot make this process
instantiate anything else.
"""

from __future__ import annotations

import dataclasses
import enum
import sys
import types
import typing
from collections.abc import Callable
from typing import Any, TypeVar

import cbor2

from tarragonhall_model._errors import CodecError

T = TypeVar("T")

_class_by_name: dict[str, type] = {}
_fields_by_class: dict[type, dict[str, tuple[type | None, Callable[[Any], Any]]]] = {}
_plain_by_class: dict[type, Callable[[Any], Any]] = {}
# Types whose values are the same in plain form.
_SCALARS = frozenset({type(None), str, bytes, int, float, bool})
# What fields of other types, numbers beyond all floats and deep nesting raise.
_UNDECODABLE = (
    TypeError,
    ValueError,
    AttributeError,
    KeyError,
    OverflowError,
    RecursionError,
)


def record(cls: type[T]) -> type[T]:
    """Turn a class into a frozen slotted data class that the codec can encode and decode."""
    made = dataclasses.dataclass(slots=True, frozen=True, init=False)(cls)
    made.__init__ = _initializer(made)
    return _register(made)


def mutable_record(cls: type[T]) -> type[T]:
    """Turn a class into a mutable slotted data class that can be stored in snapshots."""
    return _register(dataclasses.dataclass(slots=True)(cls))


def _initializer(cls: type) -> Callable[..., None]:
    """Return the `__init__` of a frozen record, with the parameters of a data class's own.

    It sets the slots directly. A frozen data class's own takes twice the time, as it goes through
    `object.__setattr__`, and each message makes several records.
    """
    names: dict[str, object] = {"MISSING": dataclasses.MISSING}
    parameters = ["self"]
    lines = []
    for field in dataclasses.fields(cls):
        name = field.name
        names[f"set_{name}"] = getattr(cls, name).__set__
        parameter = name
        if field.default is not dataclasses.MISSING:
            names[f"default_{name}"] = field.default
            parameter = f"{name}=default_{name}"
        elif field.default_factory is not dataclasses.MISSING:
            names[f"make_{name}"] = field.default_factory
            parameter = f"{name}=MISSING"
            lines.append(f"{name} = make_{name}() if {name} is MISSING else {name}")
        parameters.append(parameter)
        lines.append(f"set_{name}(self, {name})")
    if hasattr(cls, "__post_init__"):
        lines.append("self.__post_init__()")
    body = "\n  ".join(lines) or "pass"
    source = (
        f"def make({', '.join(names)}):\n"
        f" def __init__({', '.join(parameters)}):\n  {body}\n"
        " return __init__"
    )
    # In the module of the class, so that annotations are resolved there.
    made: dict[str, Callable] = {}
    exec(source, vars(sys.modules[cls.__module__]), made)  # noqa: S102 - names of own fields
    initializer = made["make"](**names)
    initializer.__qualname__ = f"{cls.__qualname__}.__init__"
    initializer.__annotations__ = {field.name: field.type for field in dataclasses.fields(cls)}
    return initializer


def _register(cls: type[T]) -> type[T]:
    if cls.__name__ in _class_by_name:
        raise ValueError(f"duplicate record name {cls.__name__}")
    _class_by_name[cls.__name__] = cls
    return cls


def encode(value: Any) -> bytes:
    """Encode a record, or a plain value of records, lists, maps and scalars."""
    # The library encodes scalars, lists and maps in native code; only records call back to Python.
    return cbor2.dumps(value, default=_encode_record)


def _encode_record(encoder: Any, value: Any) -> None:
    if isinstance(value, enum.Enum):
        encoder.encode(value.value)
        return
    name = type(value).__name__
    if name not in _class_by_name:
        raise CodecError(f"{name} is not a record")
    encoder.encode([name, {slot: getattr(value, slot) for slot in value.__slots__}])


def decode(data: bytes) -> Any:
    """Decode one record; raise `CodecError` for anything else."""
    try:
        plain = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, EOFError) as error:
        raise CodecError(f"not CBOR: {error}") from error
    return from_plain(plain)


def to_plain(value: Any) -> Any:
    """Convert a record to nested lists, maps and scalars."""
    kind = type(value)
    if kind in _SCALARS:
        return value
    convert = _plain_by_class.get(kind)
    if convert is None:
        convert = _plain_by_class[kind] = _plain_converter(kind)
    return convert(value)


def _plain_converter(kind: type) -> Callable[[Any], Any]:
    """Return the function that converts values of one class, which is looked up once."""
    if issubclass(kind, enum.Enum):
        return lambda value: value.value
    if issubclass(kind, (str, bytes, int, float)):
        return lambda value: value
    if issubclass(kind, (list, tuple)):
        return lambda value: [item if type(item) in _SCALARS else to_plain(item) for item in value]
    if issubclass(kind, dict):
        return lambda value: {
            key: item if type(item) in _SCALARS else to_plain(item) for key, item in value.items()
        }
    if kind.__name__ not in _class_by_name:
        raise CodecError(f"{kind.__name__} is not a record")
    return _record_converter(kind)


def _record_converter(cls: type) -> Callable[[Any], Any]:
    """Return a function for one record class; its source names each field once."""
    fields = ", ".join(
        f"{slot!r}: item if type(item := value.{slot}) in scalars else to_plain(item)"
        for slot in cls.__slots__
    )
    source = f"lambda value: [{cls.__name__!r}, {{{fields}}}]"
    return eval(source, {"scalars": _SCALARS, "to_plain": to_plain})  # noqa: S307 - own names


def from_plain(plain: Any) -> Any:
    """Rebuild a record from the output of `to_plain`; raise `CodecError` for anything else."""
    if not isinstance(plain, list) or len(plain) != 2 or not isinstance(plain[1], dict):
        raise CodecError("expected a record as [name, fields]")
    cls = _class_by_name.get(plain[0]) if isinstance(plain[0], str) else None
    if cls is None:
        raise CodecError(f"unknown record {plain[0]!r}")
    return _build(cls, plain[1])


def _build(cls: type, fields: dict[str, Any]) -> Any:
    known_fields = _fields_by_class.get(cls)
    if known_fields is None:
        hints = typing.get_type_hints(cls)
        known_fields = {
            f.name: (_plain_type(hints[f.name]), _decoder(hints[f.name]))
            for f in dataclasses.fields(cls)
        }
        _fields_by_class[cls] = known_fields
    known = {}
    try:
        for name, item in fields.items():
            field = known_fields.get(name)
            if field is None:
                continue
            # Most fields hold exactly the type that is declared and need no call.
            known[name] = item if type(item) is field[0] else field[1](item)
        return cls(**known)
    except CodecError:
        raise
    except _UNDECODABLE as error:
        raise CodecError(f"{cls.__name__}: {error}") from error


def _plain_type(hint: Any) -> type | None:
    """Return the type whose values a field takes as they are, None if there is none."""
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        members = [member for member in typing.get_args(hint) if member is not type(None)]
        return _plain_type(members[0]) if len(members) == 1 else None
    return hint if hint in (str, int, bytes, bool, float) else None


def _decoder(hint: Any) -> Callable[[Any], Any]:
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        return _union_decoder(hint)
    if origin in (list, tuple):
        item = _decoder(typing.get_args(hint)[0])
        container = list if origin is list else tuple
        return lambda value: container(item(part) for part in value)
    if origin is dict:
        item = _decoder(typing.get_args(hint)[1])
        return lambda value: {key: item(part) for key, part in value.items()}
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint
    if dataclasses.is_dataclass(hint):
        return from_plain
    if hint in (str, int, bytes, bool):
        return _type_checker(hint)
    if hint is float:
        return float
    if hint is object:
        return _decode_any
    return lambda value: value


def _union_decoder(hint: Any) -> Callable[[Any], Any]:
    members = [member for member in typing.get_args(hint) if member is not type(None)]
    optional = len(members) < len(typing.get_args(hint))
    inner = _decoder(members[0]) if len(members) == 1 else from_plain
    if not optional:
        return inner
    return lambda value: None if value is None else inner(value)


def _decode_any(value: Any) -> Any:
    """Decode a field declared as `object`: a record of any class, a list of them, or a scalar."""
    if isinstance(value, list) and len(value) == 2 and isinstance(value[1], dict):
        return from_plain(value)
    if isinstance(value, list):
        return [_decode_any(item) for item in value]
    return value


def _type_checker(expected: type) -> Callable[[Any], Any]:
    def check(value: Any) -> Any:
        if not isinstance(value, expected):
            raise CodecError(f"expected {expected.__name__}, got {type(value).__name__}")
        return value

    return check
