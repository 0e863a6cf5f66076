"""Decoding of JSON that anybody may have written into the store.

Whatever the bytes are, the only error is ``DecodingError``: an odd record must stop
neither the process nor the records beside it.
"""

import msgspec

from comfreyusher.errors import ComfreyusherError


class DecodingError(ComfreyusherError):
    """The bytes are no JSON, or not of the expected type."""


def decode_record(data, struct_type, known_format):
    """Return the value in JSON data that this project wrote, in its known format.

    Raises ``DecodingError``, also for a record of another format.
    """
    record = decode_json(data, struct_type)
    if record.format != known_format:
        raise DecodingError(f"has format {record.format}, known is {known_format}")
    return record


def decode_json(data, struct_type):
    """Return the value in JSON data, converted to a type.

    Raises ``DecodingError``. Besides its own errors, the decoder raises others for
    values that are nested too deeply, and for numbers and texts out of range.
    """
    try:
        return msgspec.json.decode(data, type=struct_type)
    except (msgspec.MsgspecError, ValueError, OverflowError) as error:
        raise DecodingError(str(error)) from error
    except RecursionError as error:
        raise DecodingError("nested too deeply") from error
