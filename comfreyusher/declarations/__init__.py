"""Declarations of operators: profiles, services and customers, and their log."""

from comfreyusher.declarations._fold import (
    Catalogue,
    Conflict,
    Entry,
    apply_record,
    list_in_force,
    new_catalogue,
)
from comfreyusher.declarations._model import (
    KINDS,
    Customer,
    Detection,
    Profile,
    Retries,
    Route,
    Service,
    digest_key,
    parse_declaration,
)
from comfreyusher.declarations._record import (
    FORMAT,
    Record,
    RecordError,
    compact_record,
    decode_record,
    encode_record,
    new_record,
    read_body,
)

__all__ = [
    "FORMAT",
    "KINDS",
    "Catalogue",
    "Conflict",
    "Customer",
    "Detection",
    "Entry",
    "Profile",
    "Record",
    "RecordError",
    "Retries",
    "Route",
    "Service",
    "apply_record",
    "compact_record",
    "decode_record",
    "digest_key",
    "encode_record",
    "list_in_force",
    "new_catalogue",
    "new_record",
    "parse_declaration",
    "read_body",
]
