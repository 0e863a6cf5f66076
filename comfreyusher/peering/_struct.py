"""Thrift specifications made from frozen data classes.

Fields are numbered in the order of the class, so new fields of a class that is
sent between nodes must be added at its end. The accelerated codec reads and writes
the data classes directly, without generated structs and intermediate copies.
"""

import dataclasses
import enum
import typing

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

MAX_TEXT_BYTES = 16 << 20
MAX_CONTAINER_ITEMS = 1 << 20
PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_TEXT_BYTES, container_length_limit=MAX_CONTAINER_ITEMS
)
WRITER = PROTOCOL_FACTORY.getProtocol(TMemoryBuffer())
SCALAR_TYPES = {
    bool: (TType.BOOL, None),
    int: (TType.I64, None),
    float: (TType.DOUBLE, None),
    str: (TType.STRING, "UTF8"),
    bytes: (TType.STRING, "BINARY"),
}


@dataclasses.dataclass(frozen=True, slots=True)
class WireStruct:
    """A data class, its specification, and its fields that need ``restore_enums``."""

    cls: type
    spec: tuple
    enums: tuple


_wire_structs = {}


def wire_struct(cls):
    """Return the ``WireStruct`` of a data class."""
    if cls not in _wire_structs:
        hints = typing.get_type_hints(cls)
        names = [field.name for field in dataclasses.fields(cls)]
        spec = [None]
        for number, name in enumerate(names, start=1):
            kind, details = _wire_type(hints[name])
            spec.append((number, kind, name, details, None))
        enums = tuple(_enum_fields(hints))
        _wire_structs[cls] = WireStruct(cls, tuple(spec), enums)
    return _wire_structs[cls]


def _wire_type(hint):
    """Return thrift's type of a field, and the details that it needs."""
    if dataclasses.is_dataclass(hint):
        wire = wire_struct(hint)
        return TType.STRUCT, [wire.cls, wire.spec]
    if typing.get_origin(hint) is tuple:
        kind, details = _wire_type(typing.get_args(hint)[0])
        return TType.LIST, (kind, details, True)
    for scalar, wire_type in SCALAR_TYPES.items():
        if isinstance(hint, type) and issubclass(hint, scalar):
            return wire_type
    raise TypeError(f"{hint!r} has no thrift type")


def _enum_fields(hints):
    """Yield names and types of fields that are, or contain, enumerations."""
    for name, hint in hints.items():
        if isinstance(hint, type) and issubclass(hint, enum.Enum):
            yield name, hint
        element = (typing.get_args(hint) or (hint,))[0]
        if dataclasses.is_dataclass(element) and wire_struct(element).enums:
            yield name, element


def write_struct(value):
    """Return the encoded bytes of a data class instance."""
    wire = wire_struct(type(value))
    return WRITER._fast_encode(value, [wire.cls, wire.spec])


def read_struct(cls, data):
    """Return the instance of a data class that is encoded in bytes.

    Raises an error of thrift, ``TypeError`` or ``ValueError``.
    """
    wire = wire_struct(cls)
    reader = PROTOCOL_FACTORY.getProtocol(TMemoryBuffer(data))
    value = reader._fast_decode(None, reader, [wire.cls, wire.spec])
    return restore_enums(value, wire.enums)


def restore_enums(value, enums):
    """Replace plain values by members of enumerations, also in nested data classes.

    Sets fields of a frozen instance, which is safe as it is not shared yet.
    """
    for name, hint in enums:
        plain = getattr(value, name)
        if isinstance(plain, tuple):
            inner = wire_struct(hint).enums
            for item in plain:
                restore_enums(item, inner)
        elif dataclasses.is_dataclass(plain):
            restore_enums(plain, wire_struct(hint).enums)
        else:
            object.__setattr__(value, name, hint(plain))
    return value
