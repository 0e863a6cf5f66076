"""The queue of a group with fair sharing: ranks, accounts, routes, deadlines.

Ranks are strict. Within a rank the client accounts share, within an account its
routes, and the attempts of one flow, an account and a route, go by the earliest
deadline. A route whose work class changes while attempts are queued has a flow for
each class. Work is counted in whole milliseconds, for short and long requests apart,
since they have different numbers of slots.
"""

import bisect
import dataclasses

import immutables

from comfreyusher.flow import replace
from comfreyusher.messages import WorkClass
from comfreyusher.owner._fair_share import (
    EMPTY_LEVEL,
    NO_BACKLOGS,
    ShareLevel,
    charge_party,
    correct_charge,
    find_turn,
    join_level,
    leave_level,
    replace_backlog,
    sum_capped,
)

NO_WORK = (0, 0)
# No rank or account of a queue has the serial 0.
NOT_CHARGED = (0, 0)
# An account within its share has one attempt queued now and then.
MIN_BACKLOG_ATTEMPTS = 1.5


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class QueuePosition:
    """Position of a queued attempt; the smallest goes first."""

    priority: int
    deadline_s: float
    queued_s: float
    key: object = dataclasses.field(compare=False)


def position_of(attempt):
    """Return the queue position of an attempt."""
    request = attempt.request
    return QueuePosition(
        request.priority, attempt.deadline_s, attempt.queued_s, request.key
    )


def insert_position(positions, position):
    """Return the sorted positions with one more."""
    index = bisect.bisect(positions, position)
    return positions[:index] + (position,) + positions[index:]


def remove_position(positions, position):
    """Return the sorted positions without one."""
    index = bisect.bisect_left(positions, position)
    for other_index in range(index, len(positions)):
        if positions[other_index].key == position.key:
            return positions[:other_index] + positions[other_index + 1 :]
    return positions


@dataclasses.dataclass(frozen=True, slots=True)
class FlowQueue:
    """The queued attempts of one account, route and work class, and their work."""

    positions: tuple = ()
    work_ms: int = 0
    long: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AccountQueue:
    """The flows of an account in one rank; ``work_ms`` of its short and long ones.

    An account that has nothing queued is dropped; ``serial`` differs when it is back.
    """

    level: ShareLevel = EMPTY_LEVEL
    flows: immutables.Map = immutables.Map()
    work_ms: tuple = NO_WORK
    serial: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RankQueue:
    """The accounts of one rank; ``backlogs`` of their short and long work.

    A rank that has nothing queued is dropped; ``serial`` differs when it is back.
    """

    level: ShareLevel = EMPTY_LEVEL
    accounts: immutables.Map = immutables.Map()
    work_ms: tuple = NO_WORK
    backlogs: tuple = (NO_BACKLOGS, NO_BACKLOGS)
    serial: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FairQueue:
    """The ranks that have something queued; ``order`` are their sorted numbers."""

    ranks: immutables.Map = immutables.Map()
    order: tuple = ()
    count: int = 0
    long_count: int = 0
    last_serial: int = 0

    def __len__(self):
        return self.count

    def __iter__(self):
        for _, flow in iterate_flows(self):
            yield from flow.positions


EMPTY_FLOW, EMPTY_ACCOUNT, EMPTY_RANK = FlowQueue(), AccountQueue(), RankQueue()
EMPTY_QUEUE = FairQueue()


@dataclasses.dataclass(frozen=True, slots=True)
class WorkAhead:
    """Work that is served before an attempt, in milliseconds.

    ``own_ms`` is that of its own account, ``others_ms`` that of other accounts of its
    rank, ``urgent_ms`` that of more urgent ranks. ``accounts`` is how many accounts
    share the rank, its own included. A ``heavy`` account has a backlog that arrivals
    of other accounts go before.
    """

    own_ms: float
    others_ms: float
    urgent_ms: float
    accounts: int
    heavy: bool

    @property
    def total_ms(self):
        """All the work that is served before the attempt."""
        return self.own_ms + self.others_ms + self.urgent_ms


def iterate_flows(queue):
    """Yield the flows in the order of their turns, each with its key of ``flow_of``.

    It is the order of their next attempts; each grant changes it.
    """
    for number in queue.order:
        rank = queue.ranks[number]
        for turn in rank.level.order:
            account = rank.accounts[turn.party]
            for route_turn in account.level.order:
                route = route_turn.party
                yield (number, turn.party, route), account.flows[route]


def insert_attempt(queue, attempt):
    """Return the queue with one more attempt."""
    request = attempt.request
    number, name, route = flow_of(request)
    serial = queue.last_serial
    rank = queue.ranks.get(number)
    if rank is None:
        serial += 1
        rank = RankQueue(serial=serial)
    account = rank.accounts.get(name)
    if account is None:
        serial += 1
        account = AccountQueue(serial=serial)
    flow = account.flows.get(route, EMPTY_FLOW)
    level, account_level = rank.level, account.level
    if not account.flows:
        level = join_level(level, name)
    if not flow.positions:
        account_level = join_level(account_level, route)
    _, long = route
    flow = FlowQueue(
        insert_position(flow.positions, position_of(attempt)),
        flow.work_ms + attempt.cost_ms,
        long,
    )
    account = replace(
        account, level=account_level, flows=account.flows.set(route, flow)
    )
    rank = _add_work(replace(rank, level=level), name, account, long, attempt.cost_ms)
    if serial != queue.last_serial:
        queue = replace(queue, last_serial=serial)
    return _set_rank(queue, number, rank, 1, long)


def remove_attempt(queue, attempt):
    """Return the queue without an attempt, which it holds."""
    request = attempt.request
    number, name, route = flow_of(request)
    rank = queue.ranks[number]
    account = rank.accounts[name]
    flow = account.flows[route]
    flow = replace(
        flow,
        positions=remove_position(flow.positions, position_of(attempt)),
        work_ms=flow.work_ms - attempt.cost_ms,
    )
    if flow.positions:
        account = replace(account, flows=account.flows.set(route, flow))
    else:
        account = replace(
            account,
            flows=account.flows.delete(route),
            level=leave_level(account.level, route),
        )
    _, long = route
    rank = _add_work(rank, name, account, long, -attempt.cost_ms)
    return _set_rank(queue, number, rank, -1, long)


def serve_attempt(queue, attempt):
    """Return the queue after a queued attempt was granted a slot."""
    number, name, route = flow_of(attempt.request)
    rank = queue.ranks[number]
    account = rank.accounts[name]
    level = charge_party(account.level, route, attempt.cost_ms)
    rank = replace(
        rank,
        level=charge_party(rank.level, name, attempt.cost_ms),
        accounts=rank.accounts.set(name, replace(account, level=level)),
    )
    queue = replace(queue, ranks=queue.ranks.set(number, rank))
    return remove_attempt(queue, attempt)


def serials_of(queue, request):
    """Return the serials of the rank and of the account of a request."""
    rank = queue.ranks.get(request.priority, EMPTY_RANK)
    account = rank.accounts.get(request.client_account, EMPTY_ACCOUNT)
    return rank.serial, account.serial


def correct_cost(queue, attempt, took_ms):
    """Return the queue after a report told how long a served attempt took.

    Only levels that still hold the charge are corrected: those that were dropped
    since the grant began anew without it.
    """
    number, name, route = flow_of(attempt.request)
    difference_ms = took_ms - attempt.cost_ms
    rank_serial, account_serial = attempt.charged_serials
    rank = queue.ranks.get(number)
    if rank is None or rank.serial != rank_serial:
        return queue
    accounts = rank.accounts
    account = accounts.get(name)
    if account is not None and account.serial == account_serial:
        level = correct_charge(account.level, route, difference_ms)
        accounts = accounts.set(name, replace(account, level=level))
    level = correct_charge(rank.level, name, difference_ms)
    rank = replace(rank, level=level, accounts=accounts)
    return replace(queue, ranks=queue.ranks.set(number, rank))


def flow_of(request):
    """Return the key of the flow of a request: ``(rank, account, (route, long))``.

    Entry nodes on two versions of the configuration may send a route in two work
    classes, which have different numbers of slots.
    """
    long = request.work_class is WorkClass.LONG
    return request.priority, request.client_account, (request.route_key, long)


def work_ahead(queue, attempt, index):
    """Return the ``WorkAhead`` of an attempt with ``index`` of its flow before it.

    The flows and accounts beside it are served as much as its own until its turn
    comes, up to what they have queued, and one attempt if their turn is before.
    """
    number, name, route = flow_of(attempt.request)
    _, long = route
    urgent_ms = sum(
        queue.ranks[other].work_ms[long] for other in queue.order if other < number
    )
    rank = queue.ranks.get(number, EMPTY_RANK)
    account = rank.accounts.get(name, EMPTY_ACCOUNT)
    flow = account.flows.get(route, EMPTY_FLOW)
    flow_ms = flow.work_ms * index / len(flow.positions) if flow.positions else 0.0
    turn = find_turn(account.level, route)
    cap_ms = flow_ms + turn.start_ms - account.level.virtual_ms
    own_ms = flow_ms
    for other_turn in account.level.order:
        other = account.flows[other_turn.party]
        if other_turn.party != route and other.long == long:
            one_ms = attempt.cost_ms if other_turn < turn else 0
            own_ms += min(other.work_ms, max(cap_ms, one_ms))
    turn = find_turn(rank.level, name)
    cap_ms = max(0.0, own_ms + turn.start_ms - rank.level.virtual_ms)
    backlogs, account_ms = rank.backlogs[long], account.work_ms[long]
    others_ms = sum_capped(backlogs, cap_ms, account_ms)
    if cap_ms < attempt.cost_ms and rank.level.order:
        before = bisect.bisect_left(rank.level.order, turn) / len(rank.level.order)
        one_each_ms = sum_capped(backlogs, attempt.cost_ms, account_ms)
        others_ms = max(others_ms, before * one_each_ms)
    accounts = len(rank.level.turns) + (name not in rank.level.turns)
    has_backlog = own_ms > attempt.cost_ms * MIN_BACKLOG_ATTEMPTS
    heavy = has_backlog and not _is_light_account(rank, account)
    return WorkAhead(own_ms, others_ms, urgent_ms, accounts, heavy)


def count_flow_ahead(queue, attempt):
    """Return how many attempts of its own flow are before one that arrives.

    Those of the same deadline that arrived at the same moment are before it.
    """
    positions = _find_flow(queue, attempt.request).positions
    return bisect.bisect(positions, position_of(attempt))


def count_flow(queue, request):
    """Return how many attempts the flow of a request has queued."""
    return len(_find_flow(queue, request).positions)


def has_later_ones(queue, attempt):
    """Tell whether attempts of its own flow are behind an attempt."""
    positions = _find_flow(queue, attempt.request).positions
    return bool(positions) and position_of(attempt) < positions[-1]


def _find_flow(queue, request):
    number, name, route = flow_of(request)
    rank = queue.ranks.get(number, EMPTY_RANK)
    return rank.accounts.get(name, EMPTY_ACCOUNT).flows.get(route, EMPTY_FLOW)


def count_turns(queue, priority):
    """Return how many accounts are queued in a rank and in more urgent ones."""
    return sum(
        len(queue.ranks[number].accounts)
        for number in queue.order
        if number <= priority
    )


def is_light(queue, request):
    """Tell whether the account has queued less than half of the mean of its rank.

    What such accounts send goes before the backlogs of the others. While nothing is
    queued all accounts are light, so that their rates are known when a backlog begins.
    """
    rank = queue.ranks.get(request.priority)
    if rank is None:
        return True
    account = rank.accounts.get(request.client_account, EMPTY_ACCOUNT)
    return _is_light_account(rank, account)


def _is_light_account(rank, account):
    return 2 * sum(account.work_ms) * len(rank.accounts) < sum(rank.work_ms)


def _add_work(rank, name, account, long, cost_ms):
    """Return the rank with an account that has ``cost_ms`` more work queued."""
    before_ms = account.work_ms[long]
    account = replace(account, work_ms=_change_work(account.work_ms, long, cost_ms))
    backlogs = list(rank.backlogs)
    backlogs[long] = replace_backlog(backlogs[long], before_ms, account.work_ms[long])
    level, accounts = rank.level, rank.accounts.set(name, account)
    if not account.flows:
        level, accounts = leave_level(level, name), rank.accounts.delete(name)
    work_ms = _change_work(rank.work_ms, long, cost_ms)
    return RankQueue(level, accounts, work_ms, tuple(backlogs), rank.serial)


def _change_work(work_ms, long, cost_ms):
    short_ms, long_ms = work_ms
    return (short_ms, long_ms + cost_ms) if long else (short_ms + cost_ms, long_ms)


def _set_rank(queue, number, rank, added, long):
    """Return the queue with a rank replaced, or dropped if nothing is queued."""
    ranks, order = queue.ranks, queue.order
    if not rank.accounts:
        ranks = ranks.delete(number)
        order = tuple(other for other in order if other != number)
    else:
        order = order if number in ranks else tuple(sorted((*order, number)))
        ranks = ranks.set(number, rank)
    count, long_count = queue.count + added, queue.long_count + added * long
    return FairQueue(ranks, order, count, long_count, queue.last_serial)
