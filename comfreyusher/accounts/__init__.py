"""Accounts: a numbered entry for every request of a customer, kept in the log."""

from comfreyusher.accounts._entry import AccountEntry
from comfreyusher.accounts._export import (
    Account,
    Gap,
    add_record,
    find_gaps,
    list_entries,
)
from comfreyusher.accounts._messages import (
    FlushAccounts,
    ReplicationFinished,
    RequestAccepted,
    RequestEnded,
)
from comfreyusher.accounts._record import (
    AccountRecord,
    AccountRecordError,
    decode_account_record,
    encode_account_record,
)
from comfreyusher.accounts._task import (
    AccountsFlushed,
    AccountTask,
    ReplicationViewChanged,
)

__all__ = [
    "Account",
    "AccountEntry",
    "AccountRecord",
    "AccountRecordError",
    "AccountTask",
    "AccountsFlushed",
    "FlushAccounts",
    "Gap",
    "ReplicationFinished",
    "ReplicationViewChanged",
    "RequestAccepted",
    "RequestEnded",
    "add_record",
    "decode_account_record",
    "encode_account_record",
    "find_gaps",
    "list_entries",
]
