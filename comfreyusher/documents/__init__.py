"""Reading of JSON with comments and validation into frozen data classes."""

from comfreyusher.documents._build import build, build_text, describe_fields
from comfreyusher.documents._errors import DocumentError, FieldFault
from comfreyusher.documents._read import read_document, read_text

__all__ = [
    "DocumentError",
    "FieldFault",
    "build",
    "build_text",
    "describe_fields",
    "read_document",
    "read_text",
]
