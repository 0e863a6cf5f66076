"""Owners of groups by rendezvous hashing over the live members.

A change of one member touches only the groups whose ranking it enters or
leaves, at the cost of one hash per known group.
"""

import bisect
import dataclasses

import immutables
import xxhash

from comfreyusher.flow import replace

RANKED_OWNERS = 3


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Score:
    """Rank of a member for a group; the smallest owns it."""

    value: int
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """Live members by name, and the rankings of the groups asked for."""

    members: immutables.Map = immutables.Map()
    rankings: immutables.Map = immutables.Map()


def update_view(ownership, members):
    """Return the ownership for another set of live members."""
    after = immutables.Map({record.name: record for record in members})
    gone = [name for name in ownership.members if name not in after]
    come = [name for name in after if name not in ownership.members]
    moved = {
        name
        for name, record in after.items()
        if name in ownership.members and ownership.members[name].region != record.region
    }
    rankings = ownership.rankings
    for key, ranking in ownership.rankings.items():
        if any(score.name in gone or score.name in moved for score in ranking):
            rankings = rankings.delete(key)
            continue
        better = _with_joiners(key, ranking, come, after)
        if better is not ranking:
            rankings = rankings.set(key, better)
    if moved:
        rankings = immutables.Map()
    return Ownership(after, rankings)


def rank_owners(ownership, group, region):
    """Return the ownership and the best members for a group, the owner first.

    Members of the group's region go before all others.
    """
    key = (group, region)
    ranking = ownership.rankings.get(key)
    if ranking is None:
        ranking = _rank(ownership.members, group, region)
        rankings = ownership.rankings.set(key, ranking)
        ownership = replace(ownership, rankings=rankings)
    owners = tuple(ownership.members[score.name] for score in ranking)
    return Ranking(ownership, owners)


@dataclasses.dataclass(frozen=True, slots=True)
class Ranking:
    """Result of ``rank_owners``."""

    ownership: Ownership
    owners: tuple


def _rank(members, group, region):
    scores = [
        score_member(group, region, record)
        for record in members.values()
        if record.region == region
    ]
    if not scores:
        scores = [score_member(group, region, record) for record in members.values()]
    return tuple(sorted(scores)[:RANKED_OWNERS])


def _with_joiners(key, ranking, come, members):
    group, region = key
    for name in come:
        record = members[name]
        local = [score for score in ranking if members[score.name].region == region]
        if record.region != region and local:
            continue
        if record.region == region and len(local) < len(ranking):
            return _rank(members, group, region)
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
