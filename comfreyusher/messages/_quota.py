"""Messages between nodes about the tokens of client accounts.

They travel as datagrams. A lost one is sent again with the same number, and a holder
answers a repeated one as before.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """A node asks the holder of an account's bucket for ``wanted`` tokens.

    ``returned`` tokens that this holder lent before were not used. ``rank`` is 0 for
    the first member in the view of the node, 1 for the second one after the first did
    not answer, and 2 for a member that another one named.
    """

    node: str
    number: int
    account: str
    wanted: int
    returned: int = 0
    rank: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TokenGrant:
    """The answer to a ``TokenRequest``: lent tokens, and else when or whom to ask.

    ``retry_after_ms`` is 0 if all wanted tokens are lent. A ``first`` member, if it is
    named, is to be asked instead.
    """

    node: str
    number: int
    account: str
    granted: int
    retry_after_ms: int = 0
    first: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class BucketHandover:
    """The level of an account's bucket, from its holder to the next one.

    With ``wanted`` the next holder asks for it. A negative level tells that the node
    has held no bucket of the account.
    """

    node: str
    account: str
    level: float = 0.0
    wanted: bool = False
