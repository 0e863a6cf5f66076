"""Thrift specifications that read and write frozen data classes directly.

The generated code tells field numbers, names and types. Its structs are
replaced by our data classes of the same name, and its lists by tuples, so
that the accelerated codec builds frozen messages without a copy in between.
"""

import dataclasses
import enum
import typing

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from comfreyusher.peering.gen import ttypes

MAX_TEXT_BYTES = 16 << 20
MAX_CONTAINER_ITEMS = 1 << 20
FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_TEXT_BYTES, container_length_limit=MAX_CONTAINER_ITEMS
)
WRITER = FACTORY.getProtocol(TMemoryBuffer())


@dataclasses.dataclass(frozen=True, slots=True)
class WireStruct:
    """A data class, its specification and its fields that are enumerations."""

    cls: type
    spec: tuple
    enums: tuple


_known = {}


def wire_struct(cls):
    """Return the ``WireStruct`` of a data class."""
    if cls not in _known:
        generated = getattr(ttypes, cls.__name__)
        hints = typing.get_type_hints(cls)
        enums = tuple(_enum_fields(hints))
        spec = tuple(_field_spec(item, hints) for item in generated.thrift_spec)
        _known[cls] = WireStruct(cls, spec, enums)
    return _known[cls]


def _enum_fields(hints):
    """Yield fields that are enumerations, or tuples of classes with some."""
    for name, hint in hints.items():
        if isinstance(hint, type) and issubclass(hint, enum.Enum):
            yield name, hint
        element = (typing.get_args(hint) or (None,))[0]
        if dataclasses.is_dataclass(element) and wire_struct(element).enums:
            yield name, element


def write_struct(value):
    """Return the bytes of a data class."""
    wire = wire_struct(type(value))
    return WRITER._fast_encode(value, [wire.cls, wire.spec])


def read_struct(cls, data):
    """Return the data class in bytes.

    Raises an error of thrift, ``TypeError`` or ``ValueError``.
    """
    wire = wire_struct(cls)
    reader = FACTORY.getProtocol(TMemoryBuffer(data))
    value = reader._fast_decode(None, reader, [wire.cls, wire.spec])
    return restore_enums(value, wire.enums)


def restore_enums(value, enums):
    """Turn plain values back into members of enumerations, in lists too.

    It sets fields of a frozen instance that nobody else has seen yet.
    """
    for name, hint in enums:
        plain = getattr(value, name)
        if isinstance(plain, tuple):
            inner = wire_struct(hint).enums
            for item in plain:
                restore_enums(item, inner)
        else:
            object.__setattr__(value, name, hint(plain))
    return value


def _field_spec(item, hints):
    """Return a field's specification with our class in place of a struct."""
    if item is None:
        return None
    number, kind, name, details, default = item
    return (number, kind, name, _details(kind, details, hints.get(name)), default)


def _details(kind, details, hint):
    if kind == TType.STRUCT:
        wire = wire_struct(hint)
        return [wire.cls, wire.spec]
    if kind == TType.LIST:
        inner_kind, inner, _ = details
        element = (typing.get_args(hint) or (None,))[0]
        return (inner_kind, _details(inner_kind, inner, element), True)
    return details
