"""Access to the platform: its store, its documents and its headers.

This is the only folder that knows the names that the platform uses on the wire.
"""

from comfreyusher.platform._calls import (
    ANY_END_OFFSET,
    Append,
    Appended,
    AppendFailed,
    EraChanged,
    EraObserved,
    NewestRead,
    ReadFailed,
    ReadNewest,
    ReadRecords,
    Record,
    RecordsRead,
    Topic,
)
from comfreyusher.platform._decode import (
    ConfigurationDecoder,
    decode_configuration,
    decode_duration,
    decode_upstream,
    find_configurations,
)
from comfreyusher.platform._errors import DecodeError
from comfreyusher.platform._headers import (
    CallerHeaders,
    build_request_id_headers,
    build_upstream_head,
    find_account_keys,
    parse_caller_headers,
)
from comfreyusher.platform._task import PlatformTask
from comfreyusher.platform._terms import Terms, decode_terms
from comfreyusher.platform._upstream_headers import (
    UpstreamHeaders,
    parse_upstream_headers,
)

__all__ = [
    "ANY_END_OFFSET",
    "Append",
    "AppendFailed",
    "Appended",
    "CallerHeaders",
    "ConfigurationDecoder",
    "DecodeError",
    "EraChanged",
    "EraObserved",
    "NewestRead",
    "PlatformTask",
    "ReadFailed",
    "ReadNewest",
    "ReadRecords",
    "Record",
    "RecordsRead",
    "Terms",
    "Topic",
    "UpstreamHeaders",
    "build_request_id_headers",
    "build_upstream_head",
    "decode_configuration",
    "decode_duration",
    "decode_terms",
    "decode_upstream",
    "find_account_keys",
    "find_configurations",
    "parse_caller_headers",
    "parse_upstream_headers",
]
