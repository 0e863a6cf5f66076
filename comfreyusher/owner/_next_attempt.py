"""The next queued attempt that can be granted, with fair sharing.

It also says what attempts that have to wait have in common.
"""

import dataclasses
import math

from comfreyusher.messages import WorkClass
from comfreyusher.owner._capacity import is_suspect
from comfreyusher.owner._choose import choose_upstream
from comfreyusher.owner._fair_queue import iterate_flows

# Attempts for which an upstream is searched. Attempts with the same requirements as one
# that has to wait cost much less, and are limited on their own, so that they hold up
# no free slots.
MAX_TRIED_OF_FLOW = 8
MAX_TRIED_FLOWS = 64
MAX_SKIPPED_OF_FLOW = 256
MAX_SKIPPED = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """What one search for attempts has found to wait.

    ``target_s`` maps ``Requirements`` to the earliest target that has to wait,
    ``flows`` are the flows of which no attempt can be granted now.
    """

    target_s: dict
    flows: set


def find_next(group, candidate_set, waiting, refusing, now):
    """Return the next attempt that can be granted, and its choice, or ``None``.

    A flow that has to wait holds up no other one.
    """
    tried_flows = skipped = 0
    for name, flow in iterate_flows(group.queue):
        if name in waiting.flows:
            continue
        tried = 0
        for position in flow.positions[: MAX_TRIED_OF_FLOW + MAX_SKIPPED_OF_FLOW]:
            attempt = group.attempts[position.key]
            requirements = requirements_of(group, attempt, refusing)
            waits = attempt.target_s >= waiting.target_s.get(requirements, math.inf)
            if waits or position.deadline_s <= now:
                skipped += 1
                continue
            choice = choose_upstream(group, attempt, candidate_set, now)
            if choice is not None:
                return attempt, choice
            waiting.target_s[requirements] = attempt.target_s
            tried += 1
            if tried >= MAX_TRIED_OF_FLOW:
                break
        waiting.flows.add(name)
        tried_flows += tried > 0
        if tried_flows >= MAX_TRIED_FLOWS or skipped >= MAX_SKIPPED:
            break
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """Attributes that decide, besides the target, whether an attempt has to wait."""

    route_key: str
    work_class: WorkClass
    idempotent: bool
    last_attempt: bool
    suspect: bool
    excluded_upstreams: tuple
    avoided_upstreams: tuple
    node: str


def requirements_of(group, attempt, refusing):
    """Return the ``Requirements`` of an attempt.

    Its node counts only while some upstream is ``refusing`` the requests of a node.
    """
    request = attempt.request
    return Requirements(
        request.route_key,
        request.work_class,
        request.idempotent,
        request.last_attempt,
        is_suspect(group, attempt),
        request.excluded_upstreams,
        request.avoided_upstreams,
        request.node if refusing else "",
    )
