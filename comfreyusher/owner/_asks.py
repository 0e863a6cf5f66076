"""Decisions on asks of entry nodes: admission, queue, grants."""

import dataclasses
import math

from comfreyusher.flow import continue_pipe, end_pipe, pipe, replace
from comfreyusher.health import Standing
from comfreyusher.messages import Denial, DenialReason, Grant, QueuedAck, WorkClass
from comfreyusher.owner._admit import estimate_wait, is_too_late, retry_after_ms
from comfreyusher.owner._arrivals import note_arrival
from comfreyusher.owner._budget import allows_repeat, slack_of
from comfreyusher.owner._choose import (
    Purpose,
    choose_upstream,
    survey_again,
    survey_upstreams,
)
from comfreyusher.owner._messages import to_asker
from comfreyusher.owner._queue import count_queued_short, dequeue, enqueue
from comfreyusher.owner._room import is_suspect
from comfreyusher.owner._state import Work, replace_upstream
from comfreyusher.owner._window import count

MAX_SCANNED = 64
SECOND_OWNER_SLACK = 2
FIRST_ATTEMPT = 1
BUDGET_RETRY_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """Work on its way through the admission pipe."""

    work: Work
    now: float


def take_ask(group, ask, now):
    """Run the admission pipe; answer a repeated ask as before."""
    known = group.works.get(ask.key)
    if known is not None:
        return end_pipe(group, None, to_asker(_answer_again(group, known)))
    work = Work(
        ask, now + ask.remaining_ms / 1000, now + ask.target_ms / 1000, queued_s=now
    )
    step = ADMISSION(group, Arrival(work, now))
    if step.ended:
        return step
    ready = grant_ready(step.state, now)
    group = ready.state
    work = group.works.get(ask.key)
    if work is not None and not work.upstream:
        if ask.no_wait:
            denied = deny(group, work, DenialReason.NO_UPSTREAM)
            return end_pipe(denied.state, None, *ready.messages, *denied.messages)
        return end_pipe(group, None, *ready.messages, to_asker(QueuedAck(ask.key)))
    return end_pipe(group, None, *ready.messages)


def _answer_again(group, work):
    if not work.upstream:
        return QueuedAck(work.ask.key)
    return _grant_of(group, work)


def refuse_quarantined(group, arrival):
    """Refuse requests that crash upstreams."""
    until_s = group.quarantine.get(arrival.work.ask.fingerprint)
    if until_s is not None and arrival.now < until_s:
        return deny(group, arrival.work, DenialReason.QUARANTINED)
    return continue_pipe(group, arrival)


def refuse_without_upstream(group, arrival):
    """Refuse when no upstream is left for the attempt."""
    tried = arrival.work.ask.excluded_upstreams
    for upstream in group.upstreams.values():
        leaving = upstream.health.standing is Standing.LEAVING
        if not leaving and upstream.name not in tried:
            return continue_pipe(group, arrival)
    return deny(group, arrival.work, DenialReason.NO_UPSTREAM, 500)


def refuse_over_budget(group, arrival):
    """Count a request's first ask, and refuse repeats beyond the budget."""
    ask = arrival.work.ask
    if is_over_budget(group, ask, arrival.now):
        return deny(group, arrival.work, DenialReason.OVER_BUDGET, BUDGET_RETRY_MS)
    if ask.attempt == FIRST_ATTEMPT and not ask.prior_sends:
        budget = count(group.budget, marked=False, now=arrival.now)
        group = replace(group, budget=budget)
    return continue_pipe(group, arrival)


def is_over_budget(group, ask, now):
    """Tell whether the ask is for a repeat that the budget does not allow."""
    if not ask.prior_sends:
        return False
    retries = group.plan.profile.retries
    slack = SECOND_OWNER_SLACK
    if not ask.owner_rank:
        whole, window_s = group.plan.budget_slack, retries.window_ms / 1000
        slack = slack_of(whole, group.first_slack, group.since_s, window_s, now)
    return not allows_repeat(group.budget, retries.budget_share, slack, now)


def refuse_late(group, arrival):
    """Refuse work whose expected wait does not fit its deadline."""
    estimate = estimate_wait(group, arrival.work, arrival.now)
    if is_too_late(group, arrival.work, estimate, arrival.now):
        wait_ms = retry_after_ms(estimate)
        return deny(group, arrival.work, DenialReason.TOO_LATE, wait_ms)
    return continue_pipe(group, arrival)


def join_queue(group, arrival):
    """Queue the work."""
    work = arrival.work
    arrivals = note_arrival(group.arrivals, work.ask, arrival.now)
    group = replace(group, arrivals=arrivals)
    group = replace(enqueue(group, work), works=group.works.set(work.ask.key, work))
    group = replace(group, short_peak=max(group.short_peak, short_need(group)))
    return continue_pipe(group, arrival)


def short_need(group):
    """Return how many slots the short requests would use now.

    They cannot use more than there are, however many wait.
    """
    slots = sum(upstream.slots for upstream in group.upstreams.values())
    return min(slots, count_short(group))


def count_short(group):
    """Return how many short requests run or wait."""
    running = sum(
        upstream.in_flight - upstream.long_in_flight
        for upstream in group.upstreams.values()
    )
    return running + count_queued_short(group)


ADMISSION = pipe(
    refuse_quarantined,
    refuse_without_upstream,
    refuse_over_budget,
    refuse_late,
    join_queue,
)


def deny(group, work, reason, retry_after_ms=0):
    """End an attempt without an upstream."""
    key = work.ask.key
    if key in group.works:
        group = replace(dequeue(group, work), works=group.works.delete(key))
    group = replace(group, refused_total=group.refused_total + 1)
    return end_pipe(group, work, to_asker(Denial(key, reason, retry_after_ms)))


# Grants ------------------------------------------------------------------------


def grant_ready(group, now):
    """Grant queued work while upstreams have free slots, in queue order.

    Work behind another that waits may still fit another upstream, so the scan
    goes on for a bounded number of places. Work of a kind that was left waiting
    has no better chance further back, unless it is wanted sooner.
    """
    messages = ()
    survey = survey_upstreams(group, now)
    left_waiting = {}
    for place in group.queue[:MAX_SCANNED]:
        if not survey.has_free():
            break
        work = group.works[place.key]
        if place.deadline_s <= now:
            continue
        kind = kind_of(group, work)
        if work.target_s >= left_waiting.get(kind, math.inf):
            continue
        choice = choose_upstream(group, work, survey, now)
        if choice is None:
            left_waiting[kind] = work.target_s
            continue
        step = grant(group, work, choice, now)
        group = step.state
        survey = survey_again(survey, group, choice.upstream.name, now)
        messages += step.messages
    return end_pipe(group, None, *messages)


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """What decides, beside its target, if work has to wait."""

    flow: str
    work_class: WorkClass
    idempotent: bool
    last: bool
    suspect: bool
    tried: tuple
    avoided: tuple


def kind_of(group, work):
    """Return the ``Kind`` of a piece of work."""
    ask = work.ask
    return Kind(
        ask.route_key,
        ask.work_class,
        ask.idempotent,
        ask.last_attempt,
        is_suspect(group, work),
        ask.excluded_upstreams,
        ask.avoided_upstreams,
    )


def grant(group, work, choice, now):
    """Return the group with the work on an upstream, and the grant or a denial."""
    spread = choice.purpose is Purpose.SPREAD
    if choice.risk > work.ask.max_risk and not spread:
        return deny(group, work, DenialReason.TOO_RISKY)
    if is_over_budget(group, work.ask, now):
        return deny(group, work, DenialReason.OVER_BUDGET, BUDGET_RETRY_MS)
    if work.ask.prior_sends:
        budget = count(group.budget, marked=True, now=now)
        group = replace(group, budget=budget)
    group = dequeue(group, work)
    upstream = choice.upstream
    work = replace(
        work,
        upstream=upstream.name,
        granted_s=now,
        risk=choice.risk,
        spread=spread,
    )
    upstream = replace(
        upstream,
        in_flight=upstream.in_flight + 1,
        long_in_flight=upstream.long_in_flight + group.is_long(work),
        last_grant_s=now,
    )
    group = replace_upstream(group, upstream)
    group = replace(group, works=group.works.set(work.ask.key, work))
    return end_pipe(group, work, to_asker(_grant_of(group, work)))


def _grant_of(group, work):
    upstream = group.upstreams[work.upstream]
    usual_s = group.usual_s.get(work.ask.route_key, 0.0)
    return Grant(
        work.ask.key,
        upstream.name,
        upstream.host,
        upstream.port,
        round(work.risk, 3),
        int((work.granted_s - work.queued_s) * 1000),
        int(usual_s * 1000),
    )
