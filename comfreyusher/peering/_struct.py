"""Conversion between frozen data classes and generated thrift structs.

Fields have the same names on both sides. Enumerations travel as their values,
header pairs as ``Header`` structs, other tuples as lists.
"""

import dataclasses
import enum
import typing

from comfreyusher.peering.gen import ttypes


def _same(value):
    return value


@dataclasses.dataclass(frozen=True, slots=True)
class WireStruct:
    """Functions that turn one data class into its struct and back."""

    to_struct: typing.Callable
    from_struct: typing.Callable


_known = {}


def wire_struct(cls):
    """Return the ``WireStruct`` of a data class."""
    if cls not in _known:
        _known[cls] = _build(cls)
    return _known[cls]


def _build(cls):
    struct_class = getattr(ttypes, cls.__name__)
    hints = typing.get_type_hints(cls)
    names = [field.name for field in dataclasses.fields(cls)]
    outward = [(name, _outward(name, hints[name])) for name in names]
    inward = [(name, _inward(name, hints[name])) for name in names]

    def to_struct(value):
        struct = struct_class()
        for name, convert in outward:
            setattr(struct, name, convert(getattr(value, name)))
        return struct

    def from_struct(struct):
        return cls(*[convert(getattr(struct, name)) for name, convert in inward])

    return WireStruct(to_struct, from_struct)


def _outward(name, hint):
    if dataclasses.is_dataclass(hint):
        return wire_struct(hint).to_struct
    if name == "headers":
        return _headers_out
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _value_of
    return list if hint is tuple else _same


def _inward(name, hint):
    if dataclasses.is_dataclass(hint):
        convert = wire_struct(hint).from_struct
        return lambda struct: convert(_required(struct))
    if name == "headers":
        return _headers_in
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint
    if hint is tuple:
        return lambda values: tuple(_required(values))
    return _required


def _required(value):
    if value is None:
        raise ValueError("a field is missing")
    return value


def _value_of(member):
    return member.value


def _headers_out(headers):
    return [ttypes.Header(name, value) for name, value in headers]


def _headers_in(structs):
    return tuple((header.name, header.value) for header in _required(structs))
