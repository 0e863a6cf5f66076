"""Plans that a node derives from the declarations and the list."""

import unittest

import immutables
from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.declarations import (
    Catalogue,
    apply_record,
    encode_record,
    new_record,
)
from comfreyusher.node import PlanBook, derive_groups, derive_plans, update_members
from comfreyusher.platform import Vm

VMS = st.builds(
    lambda number, service, region, state: Vm(
        f"u{number}", "upstream", state, "h", 1, "d", region, service, 4
    ),
    st.integers(0, 5),
    st.sampled_from(("s", "t", "unknown")),
    st.sampled_from(("r1", "r2")),
    st.sampled_from(("live", "leaving", "gone")),
)


def catalogue(wait_ms=5):
    """Return declarations of two services."""
    bodies = [("profile", {"name": "p", "max_wait_ms": wait_ms})]
    for name in ("s", "t"):
        body = {
            "name": name,
            "profile": "p",
            "slots": {"r1": 8, "r2": 8},
            "routes": [{"prefix": f"/{name}"}],
        }
        bodies.append(("service", body))
    found = Catalogue()
    for offset, (kind, body) in enumerate(bodies, start=1):
        text = encode_record(new_record(kind, body["name"], 0, body, ""))
        found = apply_record(found, offset, text)
    return found


class PlanTests(unittest.TestCase):
    @given(st.lists(st.lists(VMS, max_size=3), max_size=8))
    @settings(max_examples=200, derandomize=True, deadline=None)
    def test_plans_from_changes_equal_fresh_ones(self, pages):
        known = catalogue()
        book, vms = PlanBook(), immutables.Map()
        for page in pages:
            before = vms
            for vm in page:
                if vm.state == "gone":
                    vms = vms.delete(vm.name) if vm.name in vms else vms
                else:
                    vms = vms.set(vm.name, vm)
            names = tuple(vm.name for vm in page)
            book = derive_plans(update_members(book, before, vms, names), known)
        fresh = update_members(PlanBook(), immutables.Map(), vms, tuple(vms))
        fresh = derive_plans(fresh, known)
        if pages:
            self.assertEqual(dict(book.plans), dict(fresh.plans))
            self.assertEqual(
                sorted(derive_groups(book.plans).keys()),
                sorted(derive_groups(fresh.plans).keys()),
            )

    def test_revised_profile_reaches_every_plan(self):
        book = derive_plans(PlanBook(), catalogue())
        book = derive_plans(book, catalogue(wait_ms=9))
        self.assertEqual({p.profile.max_wait_ms for p in book.plans.values()}, {9})
