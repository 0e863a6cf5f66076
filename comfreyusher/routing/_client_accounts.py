"""Tables of client accounts, built in slices from what changed.

They are read-only views of dictionaries. An ``immutables.Map`` of 144,000 keys takes
ten times as long to build, more than a copy of the dictionary costs in many changes.
"""

import dataclasses
import types

from comfreyusher.declarations import ClientAccount


def empty_table_field():
    """Return a data class field with an empty read-only table."""
    return dataclasses.field(default_factory=lambda: types.MappingProxyType({}))


@dataclasses.dataclass(frozen=True, slots=True)
class AccountTables:
    """Client accounts by key and by name."""

    by_key: types.MappingProxyType = empty_table_field()
    by_name: types.MappingProxyType = empty_table_field()


@dataclasses.dataclass(frozen=True, slots=True)
class AccountChange:
    """The addition, or with ``removed`` the removal, of an account."""

    account: ClientAccount
    removed: bool = False


def find_account_changes(by_name, accounts):
    """Return the ``AccountChange`` tuple from a table to the accounts.

    No two accounts share a name or a key. Removals come first, so that a key can move
    from one account to another. An account that changed is removed and added.
    """
    added, removed, kept_count = [], [], 0
    for account in accounts:
        before = by_name.get(account.name)
        if before is account or before == account:
            kept_count += 1
            continue
        added.append(AccountChange(account))
        if before is not None:
            removed.append(AccountChange(before, removed=True))
    if kept_count + len(removed) < len(by_name):
        names = {account.name for account in accounts}
        gone = (by_name[name] for name in by_name if name not in names)
        removed.extend(AccountChange(account, removed=True) for account in gone)
    return (*removed, *added)


class AccountTableBuilder:
    """Builds ``AccountTables`` in slices, so that no slice blocks the event loop.

    Between two slices each key leads to the account of its name, so a newer list of
    accounts can be started from there. Finished tables are copied before they change.
    """

    def __init__(self, tables=AccountTables()):
        self.tables = tables
        self.by_key, self.by_name = tables.by_key, tables.by_name
        self.changes = ()
        self.position = 0

    def start(self, accounts):
        """Begin with the changes that lead to these accounts."""
        self.changes = find_account_changes(self.by_name, accounts)
        self.position = 0
        if self.changes and self.tables is not None:
            self.by_key, self.by_name = dict(self.by_key), dict(self.by_name)
            self.tables = None

    def advance(self, count):
        """Apply the next changes; return whether all are applied."""
        end = self.position + count
        for change in self.changes[self.position : end]:
            self._apply(change.account, change.removed)
        self.position = end
        return end >= len(self.changes)

    def _apply(self, account, removed):
        if removed:
            del self.by_name[account.name]
            for key in account.keys:
                del self.by_key[key]
            return
        self.by_name[account.name] = account
        for key in account.keys:
            self.by_key[key] = account

    def finish(self):
        """Return the tables; what is built later does not change them."""
        if self.tables is None:
            self.tables = AccountTables(
                types.MappingProxyType(self.by_key),
                types.MappingProxyType(self.by_name),
            )
        return self.tables


def update_account_tables(tables, accounts):
    """Return the tables with exactly these accounts."""
    builder = AccountTableBuilder(tables)
    builder.start(accounts)
    builder.advance(len(builder.changes))
    return builder.finish()
