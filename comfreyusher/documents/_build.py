"""Validation of decoded JSON into frozen data classes.

All faults of a document are reported at once.
"""

import dataclasses
import typing

import msgspec

from comfreyusher.documents._errors import DocumentError, FieldFault
from comfreyusher.documents._read import parse_text


@dataclasses.dataclass(frozen=True, slots=True)
class FieldDescription:
    """Description of one field for a reference page."""

    path: str
    type_name: str
    default: str
    text: str


def build_from_text(cls, text, source):
    """Return an instance of ``cls`` from JSON with comments.

    Raises ``DocumentError`` with all faults; ``source`` names the document.
    """
    return build_instance(cls, parse_text(text, source), source, text)


def build_instance(cls, data, source, text=""):
    """Return an instance of ``cls`` from decoded JSON, or raise ``DocumentError``.

    ``source`` names the document in faults, and ``text`` gives their lines.
    """
    faults = []
    instance = _build_class(cls, data, "", faults)
    if not faults:
        _run_checks(instance, "", faults)
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
        faults.append((path, f"must be an object, not {_get_json_type(data)}"))
        return None
    hints = typing.get_type_hints(cls, include_extras=True)
    fields = {field.name: field for field in dataclasses.fields(cls)}
    for name in data:
        if name not in fields:
            faults.append((_join_path(path, name), "is not a known field"))
    values = {}
    for name, field in fields.items():
        if name in data:
            values[name] = _build_value(
                hints[name], data[name], _join_path(path, name), faults
            )
        elif _is_required(field):
            faults.append((_join_path(path, name), "is missing"))
    if any(fault[0].startswith(path) for fault in faults):
        return None
    return cls(**values)


def _build_value(hint, data, path, faults):
    plain_hint = _unwrap(hint)
    if dataclasses.is_dataclass(plain_hint):
        return _build_class(plain_hint, data, path, faults)
    element_class = _get_element_class(plain_hint)
    if element_class is not None and isinstance(data, list):
        items = [
            _build_class(element_class, item, f"{path}[{index}]", faults)
            for index, item in enumerate(data)
        ]
        return tuple(items)
    try:
        return msgspec.convert(data, hint, strict=True)
    except msgspec.ValidationError as error:
        faults.append((path, _reword_error(str(error))))
        return None


def _run_checks(instance, path, faults):
    """Call the optional ``check`` methods of a data class and of its fields."""
    for field in dataclasses.fields(instance):
        value = getattr(instance, field.name)
        if dataclasses.is_dataclass(value):
            _run_checks(value, _join_path(path, field.name), faults)
        elif isinstance(value, tuple):
            for index, item in enumerate(value):
                if dataclasses.is_dataclass(item):
                    inner = f"{_join_path(path, field.name)}[{index}]"
                    _run_checks(item, inner, faults)
    check = getattr(instance, "check", None)
    if check is not None:
        faults.extend((_join_path(path, name), reason) for name, reason in check())


def describe_fields(cls, path=""):
    """Yield a ``FieldDescription`` for every field, depth first."""
    hints = typing.get_type_hints(cls, include_extras=True)
    for field in dataclasses.fields(cls):
        hint = hints[field.name]
        plain_hint = _unwrap(hint)
        field_path = _join_path(path, field.name)
        inner = (
            plain_hint
            if dataclasses.is_dataclass(plain_hint)
            else _get_element_class(plain_hint)
        )
        if inner is None:
            text = field.metadata.get("doc", "")
            yield FieldDescription(
                field_path, _describe_type(hint), _describe_default(field), text
            )
            continue
        suffix = "" if inner is plain_hint else "[]"
        yield from describe_fields(inner, field_path + suffix)


def _describe_type(hint):
    if isinstance(_unwrap(hint), type) and issubclass(_unwrap(hint), str):
        members = getattr(_unwrap(hint), "__members__", {})
        if members:
            return " or ".join(repr(member.value) for member in members.values())
    plain_hint = _unwrap(hint)
    name = getattr(plain_hint, "__name__", str(plain_hint))
    arguments = typing.get_args(plain_hint)
    if arguments:
        inner = ", ".join(getattr(a, "__name__", str(a)) for a in arguments)
        name = f"{name}[{inner}]"
    return name + _describe_bounds(hint)


def _describe_bounds(hint):
    parts = []
    for meta in getattr(hint, "__metadata__", ()):
        for sign, bound in (("≥", meta.ge), (">", meta.gt), ("≤", meta.le)):
            if bound is not None:
                parts.append(f"{sign} {bound}")
        if meta.min_length is not None:
            parts.append("not empty")
    return f", {', '.join(parts)}" if parts else ""


def _describe_default(field):
    if field.default is not dataclasses.MISSING:
        value = field.default
        return repr(getattr(value, "value", value))
    if field.default_factory is not dataclasses.MISSING:
        return repr(field.default_factory())
    return "required"


def _is_required(field):
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _unwrap(hint):
    if typing.get_origin(hint) is typing.Annotated:
        return typing.get_args(hint)[0]
    return hint


def _get_element_class(hint):
    arguments = typing.get_args(hint)
    if typing.get_origin(hint) is tuple and len(arguments) == 2:
        return arguments[0] if dataclasses.is_dataclass(arguments[0]) else None
    return None


def _join_path(path, name):
    return f"{path}.{name}" if path else name


def _get_json_type(data):
    names = {list: "an array", str: "a string", type(None): "null"}
    return names.get(type(data), type(data).__name__)


def _reword_error(text):
    text = text.replace("Expected `", "must be `").replace(" - at `$`", "")
    return text.replace("Expected ", "must be ")


def _find_line(text, path):
    """Return the line of a field whose name occurs on only one line, or 0."""
    name = path.rpartition(".")[2].partition("[")[0]
    line_numbers = [
        number
        for number, line in enumerate(text.splitlines(), start=1)
        if name and f'"{name}"' in line
    ]
    return line_numbers[0] if len(line_numbers) == 1 else 0
