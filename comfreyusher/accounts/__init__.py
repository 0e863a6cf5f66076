"""Accounts: a numbered record of every request, kept in the log."""

from comfreyusher.accounts._entry import AccountEntry
from comfreyusher.accounts._export import (
    Account,
    Gap,
    add_record,
    find_gaps,
    list_entries,
)
from comfreyusher.accounts._messages import Begun, CopyConfirmed, Ended, FlushAccounts
from comfreyusher.accounts._record import (
    AccountRecord,
    AccountRecordError,
    decode_account,
    encode_account,
)
from comfreyusher.accounts._task import AccountsFlushed, AccountTask, FleetSeen

__all__ = [
    "Account",
    "AccountEntry",
    "AccountRecord",
    "AccountRecordError",
    "AccountTask",
    "AccountsFlushed",
    "Begun",
    "CopyConfirmed",
    "Ended",
    "FleetSeen",
    "FlushAccounts",
    "Gap",
    "add_record",
    "decode_account",
    "encode_account",
    "find_gaps",
    "list_entries",
]
