"""Validation of plain values into frozen data classes, all faults at once."""

import dataclasses
import typing

import msgspec

from comfreyusher.documents._errors import DocumentError, FieldFault
from comfreyusher.documents._read import read_text


@dataclasses.dataclass(frozen=True, slots=True)
class FieldDescription:
    """What a reference page says of one field."""

    path: str
    type_name: str
    default: str
    text: str


def build_text(cls, text, source):
    """Return an instance of ``cls`` from a JSON text with comments."""
    return build(cls, read_text(text, source), source, text)


def build(cls, data, source, text=""):
    """Return an instance of ``cls``, or raise ``DocumentError``."""
    faults = []
    instance = _build_class(cls, data, "", faults)
    if not faults:
        _run_check(instance, "", faults)
    if faults:
        raise DocumentError(
            f"{source} is invalid",
            [
                FieldFault(source, path, reason, _find_line(text, path))
                for path, reason in faults
            ],
        )
    return instance


def _build_class(cls, data, path, faults):
    if not isinstance(data, dict):
        faults.append((path, f"must be an object, not {_name_of(data)}"))
        return None
    hints = typing.get_type_hints(cls, include_extras=True)
    fields = {field.name: field for field in dataclasses.fields(cls)}
    for name in data:
        if name not in fields:
            faults.append((_join(path, name), "is not a known field"))
    values = {}
    for name, field in fields.items():
        if name in data:
            values[name] = _build_value(
                hints[name], data[name], _join(path, name), faults
            )
        elif _is_required(field):
            faults.append((_join(path, name), "is missing"))
    if any(fault[0].startswith(path) for fault in faults):
        return None
    return cls(**values)


def _build_value(hint, data, path, faults):
    bare = _strip(hint)
    if dataclasses.is_dataclass(bare):
        return _build_class(bare, data, path, faults)
    element = _element_of(bare)
    if element is not None and isinstance(data, list):
        items = [
            _build_class(element, item, f"{path}[{index}]", faults)
            for index, item in enumerate(data)
        ]
        return tuple(items)
    try:
        return msgspec.convert(data, hint, strict=True)
    except msgspec.ValidationError as error:
        faults.append((path, _reword(str(error))))
        return None


def _run_check(instance, path, faults):
    """Call the optional ``check`` of a data class and of its fields."""
    for field in dataclasses.fields(instance):
        value = getattr(instance, field.name)
        if dataclasses.is_dataclass(value):
            _run_check(value, _join(path, field.name), faults)
        elif isinstance(value, tuple):
            for index, item in enumerate(value):
                if dataclasses.is_dataclass(item):
                    inner = f"{_join(path, field.name)}[{index}]"
                    _run_check(item, inner, faults)
    check = getattr(instance, "check", None)
    if check is not None:
        faults.extend((_join(path, name), reason) for name, reason in check())


def describe_fields(cls, path=""):
    """Yield a ``FieldDescription`` for every field, depth first."""
    hints = typing.get_type_hints(cls, include_extras=True)
    for field in dataclasses.fields(cls):
        hint = hints[field.name]
        bare = _strip(hint)
        here = _join(path, field.name)
        inner = bare if dataclasses.is_dataclass(bare) else _element_of(bare)
        if inner is None:
            text = field.metadata.get("doc", "")
            yield FieldDescription(here, _type_name(hint), _default(field), text)
            continue
        suffix = "" if inner is bare else "[]"
        yield from describe_fields(inner, here + suffix)


def _type_name(hint):
    if isinstance(_strip(hint), type) and issubclass(_strip(hint), str):
        members = getattr(_strip(hint), "__members__", {})
        if members:
            return " or ".join(repr(member.value) for member in members.values())
    bare = _strip(hint)
    name = getattr(bare, "__name__", str(bare))
    arguments = typing.get_args(bare)
    if arguments:
        inner = ", ".join(getattr(a, "__name__", str(a)) for a in arguments)
        name = f"{name}[{inner}]"
    return name + _bounds(hint)


def _bounds(hint):
    parts = []
    for meta in getattr(hint, "__metadata__", ()):
        for sign, bound in (("≥", meta.ge), (">", meta.gt), ("≤", meta.le)):
            if bound is not None:
                parts.append(f"{sign} {bound}")
        if meta.min_length is not None:
            parts.append("not empty")
    return f", {', '.join(parts)}" if parts else ""


def _default(field):
    if field.default is not dataclasses.MISSING:
        value = field.default
        return repr(getattr(value, "value", value))
    if field.default_factory is not dataclasses.MISSING:
        return repr(field.default_factory())
    return "required"


def _is_required(field):
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _strip(hint):
    if typing.get_origin(hint) is typing.Annotated:
        return typing.get_args(hint)[0]
    return hint


def _element_of(hint):
    arguments = typing.get_args(hint)
    if typing.get_origin(hint) is tuple and len(arguments) == 2:
        return arguments[0] if dataclasses.is_dataclass(arguments[0]) else None
    return None


def _join(path, name):
    return f"{path}.{name}" if path else name


def _name_of(data):
    names = {list: "an array", str: "a string", type(None): "null"}
    return names.get(type(data), type(data).__name__)


def _reword(text):
    text = text.replace("Expected `", "must be `").replace(" - at `$`", "")
    return text.replace("Expected ", "must be ")


def _find_line(text, path):
    """Return the line of a field whose name stands once in the text, or 0."""
    name = path.rpartition(".")[2].partition("[")[0]
    marks = [
        number
        for number, line in enumerate(text.splitlines(), start=1)
        if name and f'"{name}"' in line
    ]
    return marks[0] if len(marks) == 1 else 0
