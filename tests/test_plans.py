"""Plans that a node derives from declarations and registered upstreams."""

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
from comfreyusher.node import (
    PlanState,
    derive_groups,
    derive_plans,
    update_upstream_specs,
)
from comfreyusher.node._profile import plan_fields
from comfreyusher.routing import RoutingTable, update_table
from comfreyusher.settings import FleetSettings

ENTRIES = st.builds(
    lambda number, service, centre, status: RegisteredUpstream(
        f"u{number}",
        service,
        "h",
        1,
        centre,
        4,
        leaving=status == "leaving",
        removed=status == "gone",
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
        """Plans that are kept while others change must not become stale."""
        declared_table = table()
        state, newest = PlanState(), {}
        for page in pages:
            newest.update({entry.name: entry for entry in page})
            state = update_upstream_specs(state, page, REGIONS, "r1", 1.0)
            state = derive_plans(state, declared_table)
        fresh = update_upstream_specs(PlanState(), newest.values(), REGIONS, "r1", 1.0)
        fresh = derive_plans(fresh, declared_table)
        if pages:
            self.assertEqual(dict(state.plans), dict(fresh.plans))
            self.assertEqual(
                dict(derive_groups(state.plans)), dict(derive_groups(fresh.plans))
            )

    # Guards against a request to an upstream after this node learned that it leaves.
    def test_departed_upstreams_are_kept_until_registered_again_or_expired(self):
        ready = RegisteredUpstream("u", "s", "h", 1, "d1", 4)
        state = PlanState()
        steps = (
            (replace(ready, leaving=True), 1.0, ["u"]),
            (replace(ready, removed=True), 2.0, ["u"]),
            (replace(ready, started_ms=9), 3.0, []),
            (replace(ready, removed=True), 4.0, ["u"]),
            (replace(ready, name="v"), 300.0, []),
        )
        for entry, now, departed in steps:
            state = update_upstream_specs(state, (entry,), REGIONS, "r1", now)
            self.assertEqual(list(state.departed), departed)

    def test_revised_profile_reaches_every_plan(self):
        entry = RegisteredUpstream("u", "s", "h", 1, "d1", 4)
        state = update_upstream_specs(PlanState(), (entry,), REGIONS, "r1", 1.0)
        state = derive_plans(state, table())
        state = derive_plans(state, table(wait_ms=9))
        self.assertEqual({p.profile.max_wait_ms for p in state.plans.values()}, {9})

    # Guards against owners that keep the limit on hedges of earlier settings.
    def test_settings_of_the_fleet_reach_every_plan(self):
        entry = RegisteredUpstream("u", "s", "h", 1, "d1", 4)
        state = update_upstream_specs(PlanState(), (entry,), REGIONS, "r1", 1.0)
        state = derive_plans(state, table(), **plan_fields(FleetSettings()))
        (plan,) = state.plans.values()
        self.assertEqual((plan.fair_sharing, plan.hedge_share), (False, None))
        fleet = FleetSettings(hedge_share=0.05, hedge_burst=7)
        state = derive_plans(state, table(), **plan_fields(fleet))
        (plan,) = state.plans.values()
        self.assertEqual((plan.hedge_share, plan.hedge_burst), (0.05, 7))

    # Guards against a service that gets its whole retry slack once per region.
    def test_groups_share_the_slack_of_a_service(self):
        entries = [
            RegisteredUpstream(f"u{n}", "free", "h", 1, f"d{1 + n % 2}", 4)
            for n in range(4)
        ]
        state = update_upstream_specs(PlanState(), entries, REGIONS, "r1", 1.0)
        state = derive_plans(state, table())
        profile = table().default_profile
        slacks = [plan.budget_slack for plan in state.plans.values()]
        self.assertEqual(len(slacks), 2)
        self.assertLessEqual(sum(slacks), profile.retries.budget_slack)
