"""Reading and parsing of JSON with comments."""

import json

import jsonc

from comfreyusher.documents._errors import DocumentError, FieldFault

MAX_DOCUMENT_BYTES = 16 << 20


def parse_text(text, source):
    """Return the value of JSON with comments, or raise ``DocumentError``."""
    try:
        return jsonc.loads(text)
    except json.JSONDecodeError as error:
        fault = FieldFault(source, "", f"not valid JSON: {error.msg}", error.lineno)
    except (ValueError, RecursionError) as error:
        fault = FieldFault(source, "", f"not valid JSON: {error}")
    raise DocumentError("invalid document", [fault])


def read_document(path):
    """Return the UTF-8 text of a file, or raise ``DocumentError``."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_DOCUMENT_BYTES + 1)
    except OSError as error:
        fault = FieldFault(str(path), "", f"cannot be read: {error.strerror}")
        raise DocumentError("unreadable document", [fault]) from error
    if len(data) > MAX_DOCUMENT_BYTES:
        fault = FieldFault(str(path), "", f"is over {MAX_DOCUMENT_BYTES} bytes")
        raise DocumentError("unreadable document", [fault])
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        fault = FieldFault(str(path), "", "is not UTF-8 text")
        raise DocumentError("unreadable document", [fault]) from error
