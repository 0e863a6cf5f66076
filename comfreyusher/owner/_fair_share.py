"""Start-time fair queueing: virtual times of the parties that share one level.

A level is shared by the accounts of a rank, or by the routes of an account. Each
party that has something queued has a virtual start time; the smallest is served
next, and what is served adds its cost. The virtual time of the level is the start
time of what was served last, and a party that comes back begins there: it gets no
credit for the time without a backlog. All times are whole milliseconds of work.
"""

import bisect
import dataclasses

import immutables

NO_TURNS = immutables.Map()
# While new parties keep coming, the start times of the served ones are kept up to this
# number. Then the one that was served least ahead is forgotten, and the virtual time
# moves to its start time: otherwise parties that come in turn would be served at an
# unchanged virtual time, and one with a steady backlog would starve.
MIN_KEPT_IDLE = 32
IDLE_PER_QUEUED = 2


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Turn:
    """The virtual start time of a party; ``number`` orders equal ones by arrival."""

    start_ms: int
    number: int
    party: str | tuple


@dataclasses.dataclass(frozen=True, slots=True)
class ShareLevel:
    """The parties of one level.

    ``order`` holds the turns of the parties that have something queued, ``idle``
    those of parties that have nothing queued and were served ahead of the virtual
    time; both are sorted. ``turns`` maps the parties of both to their turns.
    """

    virtual_ms: int = 0
    last_number: int = 0
    order: tuple = ()
    idle: tuple = ()
    turns: immutables.Map = NO_TURNS


EMPTY_LEVEL = ShareLevel()


def join_level(level, party):
    """Return the level after a party without a backlog queued something."""
    turn = level.turns.get(party)
    start_ms = level.virtual_ms
    idle = level.idle
    if turn is not None:
        idle = _remove_turn(idle, turn)
        start_ms = max(start_ms, turn.start_ms)
    number = level.last_number + 1
    turn = Turn(start_ms, number, party)
    return ShareLevel(
        level.virtual_ms,
        number,
        _insert_turn(level.order, turn),
        idle,
        level.turns.set(party, turn),
    )


def leave_level(level, party):
    """Return the level after the last of what a party queued is gone.

    Without any backlog there is nothing to share, and all virtual times are dropped.
    """
    turn = level.turns[party]
    order = _remove_turn(level.order, turn)
    if not order:
        return EMPTY_LEVEL
    idle, turns, virtual_ms = level.idle, level.turns, level.virtual_ms
    if turn.start_ms > virtual_ms:
        idle = _insert_turn(idle, turn)
    else:
        turns = turns.delete(party)
    if len(idle) > MIN_KEPT_IDLE + IDLE_PER_QUEUED * len(order):
        virtual_ms = max(virtual_ms, idle[0].start_ms)
        turns, idle = turns.delete(idle[0].party), idle[1:]
    return ShareLevel(virtual_ms, level.last_number, order, idle, turns)


def charge_party(level, party, cost_ms):
    """Return the level after something that a party queued was served."""
    turn = level.turns[party]
    virtual_ms = max(level.virtual_ms, turn.start_ms)
    level = _move_turn(level, turn, turn.start_ms + cost_ms)
    idle, turns = level.idle, level.turns
    while idle and idle[0].start_ms <= virtual_ms:
        turns = turns.delete(idle[0].party)
        idle = idle[1:]
    return ShareLevel(virtual_ms, level.last_number, level.order, idle, turns)


def correct_charge(level, party, difference_ms):
    """Return the level after a charge turned out to be too small or too large.

    Nothing is corrected once the virtual times of the party were dropped.
    """
    turn = level.turns.get(party)
    if turn is None or not difference_ms:
        return level
    if _contains_turn(level.order, turn):
        return _move_turn(level, turn, turn.start_ms + difference_ms)
    idle = _remove_turn(level.idle, turn)
    turn = Turn(turn.start_ms + difference_ms, turn.number, party)
    if turn.start_ms <= level.virtual_ms:
        turns = level.turns.delete(party)
    else:
        idle, turns = _insert_turn(idle, turn), level.turns.set(party, turn)
    return ShareLevel(level.virtual_ms, level.last_number, level.order, idle, turns)


def find_turn(level, party):
    """Return the turn of a party, or the one that it would get now."""
    turn = level.turns.get(party)
    if turn is not None and turn.start_ms > level.virtual_ms:
        return turn
    if turn is not None and _contains_turn(level.order, turn):
        return turn
    return Turn(level.virtual_ms, level.last_number + 1, party)


def _move_turn(level, turn, start_ms):
    number = level.last_number + 1
    moved = Turn(start_ms, number, turn.party)
    order = _insert_turn(_remove_turn(level.order, turn), moved)
    turns = level.turns.set(turn.party, moved)
    return ShareLevel(level.virtual_ms, number, order, level.idle, turns)


def _insert_turn(turns, turn):
    index = bisect.bisect(turns, turn)
    return turns[:index] + (turn,) + turns[index:]


def _remove_turn(turns, turn):
    index = bisect.bisect_left(turns, turn)
    return turns[:index] + turns[index + 1 :]


def _contains_turn(turns, turn):
    index = bisect.bisect_left(turns, turn)
    return index < len(turns) and turns[index] == turn


# Backlogs of the parties ----------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Backlogs:
    """How much work the parties of a level have queued.

    ``classes`` maps the number of bits of a backlog in milliseconds to the count
    and the sum of such backlogs, so that the cost of ``sum_capped`` does not grow
    with the number of parties.
    """

    classes: immutables.Map = immutables.Map()


NO_BACKLOGS = Backlogs()


def replace_backlog(backlogs, before_ms, after_ms):
    """Return the backlogs after that of one party has changed."""
    classes = _add_backlog(backlogs.classes, before_ms, -1)
    return Backlogs(_add_backlog(classes, after_ms, 1))


def sum_capped(backlogs, cap_ms, without_ms=0):
    """Return the sum of the backlogs, each counted up to a cap.

    One backlog of ``without_ms`` is left out. Backlogs of one class count as equal.
    """
    classes = backlogs.classes
    if without_ms:
        classes = _add_backlog(classes, without_ms, -1)
    return sum(
        count * min(total_ms / count, cap_ms) for count, total_ms in classes.values()
    )


def _add_backlog(classes, backlog_ms, sign):
    if not backlog_ms:
        return classes
    bits = backlog_ms.bit_length()
    count, total_ms = classes.get(bits, (0, 0))
    count, total_ms = count + sign, total_ms + sign * backlog_ms
    return classes.set(bits, (count, total_ms)) if count else classes.delete(bits)
