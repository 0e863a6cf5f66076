"""A summary of the queue of a group, for logs."""

import dataclasses

from comfreyusher.owner._fair_queue import FairQueue


@dataclasses.dataclass(frozen=True, slots=True)
class QueueSummary:
    """What is queued, for logs; ``longest`` is the account with the most work."""

    queued: int
    accounts: int
    flows: int
    longest_ms: int
    longest: str


def summarize_queue(queue):
    """Return the ``QueueSummary`` of a queue."""
    if type(queue) is not FairQueue:
        return QueueSummary(len(queue), 0, 0, 0, "")
    ranks = queue.ranks.values()
    accounts = [(sum(a.work_ms), name) for r in ranks for name, a in r.accounts.items()]
    flows = sum(len(a.flows) for r in ranks for a in r.accounts.values())
    work_ms, longest = max(accounts, default=(0, ""))
    return QueueSummary(len(queue), len(accounts), flows, work_ms, longest)
