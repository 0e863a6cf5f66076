"""Rates of client accounts that hold for the whole fleet.

The holder of an account keeps its token bucket and lends tokens to entry nodes.
"""

from comfreyusher.quota._messages import (
    QuotaView,
    TokenDecision,
    TokenReturned,
    TokenWanted,
)
from comfreyusher.quota._task import QuotaTask

__all__ = [
    "QuotaTask",
    "QuotaView",
    "TokenDecision",
    "TokenReturned",
    "TokenWanted",
]
