"""Plans that a node derives from the declarations and the list."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.declarations import (
    Declarations,
    apply_record,
    encode_record,
    new_record,
)
from comfreyusher.flow import replace
from comfreyusher.messages import RegisteredUpstream
from comfreyusher.node import PlanBook, derive_groups, derive_plans, update_members
from comfreyusher.routing import RoutingTable, update_table

ENTRIES = st.builds(
    lambda number, service, centre, state: RegisteredUpstream(
        f"u{number}",
        service,
        "h",
        1,
        centre,
        4,
        leaving=state == "leaving",
        removed=state == "gone",
    ),
    st.integers(0, 5),
    st.sampled_from(("s", "t", "undeclared")),
    st.sampled_from(("d1", "d2", "unknown")),
    st.sampled_from(("ready", "leaving", "gone")),
)
REGIONS = {"d1": "r1", "d2": "r2"}


def table(wait_ms=5):
    """Return the routing table of two declared services."""
    bodies = [("profile", {"name": "p", "max_wait_ms": wait_ms})]
    for name in ("s", "t"):
        body = {
            "name": name,
            "profile": "p",
            "slots": {"r1": 8, "r2": 8},
            "routes": [{"prefix": f"/{name}"}],
        }
        bodies.append(("service", body))
    found = Declarations()
    for offset, (kind, body) in enumerate(bodies):
        text = encode_record(new_record(kind, body["name"], 0, body, ""))
        found = apply_record(found, offset, text)
    return update_table(RoutingTable(), found)


class PlanTests(unittest.TestCase):
    @given(st.lists(st.lists(ENTRIES, max_size=3), max_size=8))
    @settings(max_examples=200, derandomize=True, deadline=None)
    def test_plans_from_changes_equal_fresh_ones(self, pages):
        known = table()
        book, newest = PlanBook(), {}
        for page in pages:
            newest.update({entry.name: entry for entry in page})
            book = update_members(book, page, REGIONS, "r1", 1.0)
            book = derive_plans(book, known)
        fresh = update_members(PlanBook(), newest.values(), REGIONS, "r1", 1.0)
        fresh = derive_plans(fresh, known)
        if pages:
            self.assertEqual(dict(book.plans), dict(fresh.plans))
            self.assertEqual(
                dict(derive_groups(book.plans)), dict(derive_groups(fresh.plans))
            )

    # Guards against sending to an upstream after its leaving was heard of.
    def test_departed_upstreams_are_kept_until_they_are_listed_again(self):
        ready = RegisteredUpstream("u", "s", "h", 1, "d1", 4)
        book = PlanBook()
        steps = (
            (replace(ready, leaving=True), 1.0, ["u"]),
            (replace(ready, removed=True), 2.0, ["u"]),
            (replace(ready, started_ms=9), 3.0, []),
            (replace(ready, removed=True), 4.0, ["u"]),
            (replace(ready, name="v"), 300.0, []),
        )
        for entry, now, departed in steps:
            book = update_members(book, (entry,), REGIONS, "r1", now)
            self.assertEqual(list(book.departed), departed)

    def test_revised_profile_reaches_every_plan(self):
        entry = RegisteredUpstream("u", "s", "h", 1, "d1", 4)
        book = update_members(PlanBook(), (entry,), REGIONS, "r1", 1.0)
        book = derive_plans(book, table())
        book = derive_plans(book, table(wait_ms=9))
        self.assertEqual({p.profile.max_wait_ms for p in book.plans.values()}, {9})

    def test_groups_share_the_slack_of_a_service(self):
        entries = [
            RegisteredUpstream(f"u{n}", "free", "h", 1, f"d{1 + n % 2}", 4)
            for n in range(4)
        ]
        book = update_members(PlanBook(), entries, REGIONS, "r1", 1.0)
        book = derive_plans(book, table())
        profile = table().default_profile
        slacks = [plan.budget_slack for plan in book.plans.values()]
        self.assertEqual(len(slacks), 2)
        self.assertLessEqual(sum(slacks), profile.retries.budget_slack)
