"""Owners of groups by rendezvous hashing over the live members.

A change of one member changes only the rankings that it enters or leaves, and
costs one hash per known group.
"""

import bisect
import dataclasses
import heapq

import immutables
import xxhash

from comfreyusher.flow import replace

RANKED_OWNERS = 3
HOLDERS = 3


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Score:
    """Score of a member for a group; the member with the smallest one owns it."""

    value: int
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """Live members by name, and the cached rankings of groups.

    ``rankings`` maps a group and a region to the scores of its best members.
    """

    members: immutables.Map = immutables.Map()
    rankings: immutables.Map = immutables.Map()


def update_ownership(ownership, members):
    """Return the ownership for a changed collection of live members."""
    current = immutables.Map({record.name: record for record in members})
    removed = [name for name in ownership.members if name not in current]
    joined = [name for name in current if name not in ownership.members]
    moved = {
        name
        for name, record in current.items()
        if name in ownership.members and ownership.members[name].region != record.region
    }
    rankings = ownership.rankings
    for key, ranking in ownership.rankings.items():
        if any(score.name in removed or score.name in moved for score in ranking):
            rankings = rankings.delete(key)
            continue
        updated = _insert_joined(key, ranking, joined, current)
        if updated is not ranking:
            rankings = rankings.set(key, updated)
    if moved:
        rankings = immutables.Map()
    return Ownership(current, rankings)


def rank_owners(ownership, group, region):
    """Rank the best members for a group, the owner first.

    Members of the group's region go before all others: others are ranked only if
    the region has no member. The returned ownership caches the ranking.
    """
    key = (group, region)
    ranking = ownership.rankings.get(key)
    if ranking is None:
        ranking = _rank_members(ownership.members, group, region)
        rankings = ownership.rankings.set(key, ranking)
        ownership = replace(ownership, rankings=rankings)
    owners = tuple(ownership.members[score.name] for score in ranking)
    return Ranking(ownership, owners)


@dataclasses.dataclass(frozen=True, slots=True)
class Ranking:
    """The result of ``rank_owners``: the updated ownership and the ranked members."""

    ownership: Ownership
    owners: tuple


def _rank_members(members, group, region):
    names = [record.name for record in members.values() if record.region == region]
    prefix = f"{group}|{region}|".encode()
    # Pairs instead of scores: their comparison takes a tenth of the time.
    pairs = (
        (xxhash.xxh64_intdigest(prefix + name.encode()), name)
        for name in names or members
    )
    return tuple(Score(*pair) for pair in heapq.nsmallest(RANKED_OWNERS, pairs))


def _insert_joined(key, ranking, joined, members):
    group, region = key
    for name in joined:
        record = members[name]
        local = [score for score in ranking if members[score.name].region == region]
        if record.region != region and local:
            continue
        if record.region == region and len(local) < len(ranking):
            return _rank_members(members, group, region)
        score = score_member(group, region, record)
        if len(ranking) < RANKED_OWNERS or score < ranking[-1]:
            index = bisect.bisect(ranking, score)
            ranking = ranking[:index] + (score,) + ranking[index:]
            ranking = ranking[:RANKED_OWNERS]
    return ranking


def score_member(group, region, record):
    """Return the rendezvous score of a member for a group."""
    digest = xxhash.xxh64_intdigest(f"{group}|{region}|{record.name}".encode())
    return Score(digest, record.name)


def choose_holders(members, purpose, key):
    """Return the members that keep what the fleet knows of a key, the first one first.

    Every node chooses the same ones without an election. ``members`` are
    ``MemberRecord`` instances.
    """
    return heapq.nsmallest(
        HOLDERS, members, key=lambda member: score_member(purpose, key, member)
    )
