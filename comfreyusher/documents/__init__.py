"""Parses JSON with comments and validates it into frozen data classes."""

from comfreyusher.documents._build import (
    build_from_text,
    build_instance,
    describe_fields,
)
from comfreyusher.documents._errors import DocumentError, FieldFault
from comfreyusher.documents._read import parse_text, read_document

__all__ = [
    "DocumentError",
    "FieldFault",
    "build_from_text",
    "build_instance",
    "describe_fields",
    "parse_text",
    "read_document",
]
