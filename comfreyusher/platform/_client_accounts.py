"""Decoding of client accounts in the operator's configuration."""

import itertools
import re
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

from comfreyusher.declarations import ClientAccount
from comfreyusher.decoding import DecodingError, decode_json
from comfreyusher.flow import replace
from comfreyusher.platform._errors import DecodeError

# Names and keys are header values: they have no control characters, and no spaces
# at their ends, which parsers of headers remove.
HEADER_TEXT_PATTERN = re.compile(
    r"[^\x00-\x20\x7f](?:[^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?"
)
MAX_NAME_CHARACTERS = 255
MAX_KEY_CHARACTERS = 4096
Priority = Annotated[float, Meta(le=1_000_000)]
Rate = Annotated[float, Meta(ge=0, le=1e9)]


class _Spec(msgspec.Struct, gc=False):
    """The operator's settings of a client account."""

    api_keys: tuple[str, ...] | None = ()
    priority: Priority | None = None
    rate_per_s: Rate | None = None
    burst: Rate | None = None


class _Metadata(msgspec.Struct, gc=False):
    """The name of a client account."""

    name: str


class AccountDecoder:
    """Decodes client accounts, and keeps those of the last configuration.

    An account whose text did not change is not decoded again: of 48,000 accounts, few
    change in one version. ``known`` maps digests of the text to accounts.
    """

    def __init__(self):
        self.known = {}

    def decode(self, resources, slice_size):
        """Return the ``ClientAccount`` tuple of the resources that declare them.

        This is a generator, which pauses after each slice of resources. The first of
        several accounts with the same name counts, and a key belongs to the first
        account that has it. Raises ``DecodeError`` for a malformed account; its text
        has no key.
        """
        known, decoded = self.known, {}
        for number, resource in enumerate(resources, start=1):
            if not number % slice_size:
                yield
            text = b"".join((resource.metadata, resource.spec))
            digest = xxhash.xxh3_128_digest(text)
            decoded[digest] = known.get(digest) or _decode_account(resource)
        self.known = decoded
        by_name = {}
        for account in decoded.values():
            by_name.setdefault(account.name, account)
        return _drop_repeated_keys(tuple(by_name.values()))


def _decode_account(resource):
    name = _decode_part(resource.metadata, _Metadata).name
    if not _is_header_text(name, MAX_NAME_CHARACTERS):
        raise DecodeError("a client account has no usable name")
    spec = _decode_part(resource.spec, _Spec)
    keys = spec.api_keys or ()
    if not all(_is_header_text(key, MAX_KEY_CHARACTERS) for key in keys):
        raise DecodeError(f"client account {name!r} has an unusable key")
    priority = max(0, int(spec.priority or 0))
    return ClientAccount(
        name, keys, priority, spec.rate_per_s or 0.0, spec.burst or 0.0
    )


def _decode_part(data, struct_type):
    try:
        return decode_json(data, struct_type)
    except DecodingError as error:
        raise DecodeError(f"unreadable client account: {error}") from error


def _is_header_text(text, max_characters):
    fits = len(text) <= max_characters
    return fits and HEADER_TEXT_PATTERN.fullmatch(text) is not None


def _drop_repeated_keys(accounts):
    """Return the accounts; each key is left to the first account that has it."""
    every_key = itertools.chain.from_iterable(account.keys for account in accounts)
    if len(set(every_key)) == sum(len(account.keys) for account in accounts):
        return accounts
    used, distinct = set(), []
    for account in accounts:
        keys = tuple(key for key in dict.fromkeys(account.keys) if key not in used)
        used.update(keys)
        same = len(keys) == len(account.keys)
        distinct.append(account if same else replace(account, keys=keys))
    return tuple(distinct)
