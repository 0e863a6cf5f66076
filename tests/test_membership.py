"""The membership protocol on a simulated network, and ownership of groups."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.flow import Tick, replace
from comfreyusher.membership import (
    GossipSettings,
    MembersChanged,
    MembershipTask,
    Ownership,
    advance_time,
    begin_leaving,
    handle_message,
    join,
    live_members,
    new_state,
    rank_owners,
    update_ownership,
)
from comfreyusher.messages import (
    GossipKind,
    GossipMessage,
    MemberRecord,
    MemberStanding,
)
from comfreyusher.node import choose_replica_node

SETTINGS = GossipSettings()
STEP_S = 0.2
# Before a returned node counts as unharmed (3 s), it needs 1 s to get what changed.
RELISTED_S = 2.0


def record(number, incarnation=1, region="r"):
    """Return the record of a node whose ports are its number."""
    name = f"vm-{number}"
    return MemberRecord(
        f"{name}.{incarnation}", name, "h", number, number, "d", region, incarnation
    )


class Network:
    """Simulated nodes, and datagrams that can be dropped in one direction.

    ``cut_links`` holds pairs of sender and receiver; ``frozen`` nodes do not run.
    ``datagrams`` counts all datagrams, ``remote_datagrams`` those between regions.
    """

    def __init__(self, count, seed=1, regions=1):
        self.now = 0.0
        self.random = random.Random(seed)
        self.datagrams = 0
        self.remote_datagrams = 0
        self.states = {
            n: new_state(record(n, region=f"r{n % regions}"))
            for n in range(1, count + 1)
        }
        self.cut_links = set()
        self.frozen = set()
        self.queue = []
        for number in list(self.states):
            self.apply(number, join(self.states[number], [("h", 1)]))
        self.deliver()

    def shuffle(self, names):
        shuffled = list(names)
        self.random.shuffle(shuffled)
        return tuple(shuffled)

    def apply(self, number, step):
        self.states[number] = step.state
        self.queue += [(number, send.port, send.body) for send in step.messages]

    def deliver(self):
        while self.queue:
            sender, target, message = self.queue.pop(0)
            self.datagrams += 1
            self.remote_datagrams += self.is_remote(sender, target)
            unreachable = target not in self.states or target in self.frozen
            if unreachable or (sender, target) in self.cut_links:
                continue
            state = self.states[target]
            self.apply(target, handle_message(state, message, self.now, SETTINGS))

    def is_remote(self, sender, target):
        regions = {
            self.states[number].own.region
            for number in (sender, target)
            if number in self.states
        }
        return len(regions) > 1

    def cut_off(self, share):
        """Cut a share of the nodes off from all others; return their numbers."""
        cut = set(
            self.random.sample(sorted(self.states), int(len(self.states) * share))
        )
        for number in cut:
            others = self.states.keys() - {number}
            self.cut_links |= {(number, other) for other in others}
            self.cut_links |= {(other, number) for other in others}
        return cut

    def find_unlisted(self, number):
        """Return the nodes of its region that a node does not list as live."""
        region = self.states[number].own.region
        regional = {n for n, s in self.states.items() if s.own.region == region}
        return regional - set(self.seen_by(number))

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            for number in list(self.states):
                if number not in self.frozen:
                    state = self.states[number]
                    step = advance_time(state, self.now, SETTINGS, self.shuffle)
                    self.apply(number, step)
            self.deliver()

    def seen_by(self, number):
        return [member.gossip_port for member in live_members(self.states[number])]


def first_owner(network, number, region):
    """Return the owner of a group in the view of one node."""
    members = live_members(network.states[number])
    return (
        rank_owners(update_ownership(Ownership(), members), "g", region).owners[0].node
    )


class GossipTests(unittest.TestCase):
    def test_all_nodes_find_each_other_from_one_seed(self):
        network = Network(12)
        network.run(5)
        for number in network.states:
            self.assertEqual(network.seen_by(number), sorted_names(12))

    def test_a_fleet_that_starts_at_once_agrees_on_owners_within_a_second(self):
        """The first pages from the seed hold only the nodes that started earlier."""
        for seed in range(5):
            network = Network(32, seed=seed, regions=2)
            network.run(1.2)
            owners = {
                (region, first_owner(network, number, region))
                for number in network.states
                for region in ("r0", "r1")
                if network.states[number].own.region == region
            }
            self.assertEqual(len(owners), 2)

    def test_few_datagrams_keep_regions_known_to_each_other(self):
        network = Network(12, regions=2)
        network.run(20)
        for number in network.states:
            self.assertEqual(network.seen_by(number), sorted_names(12))
        network.remote_datagrams = 0
        network.run(20)
        self.assertLessEqual(
            network.remote_datagrams, 12 * 20 / SETTINGS.remote_page_periods
        )

    def test_dead_node_is_dropped_in_the_other_region_too(self):
        network = Network(8, regions=2)
        network.run(10)
        del network.states[8]
        network.run(60)
        for number in network.states:
            self.assertNotIn(8, network.seen_by(number))

    def test_dead_node_is_dropped_everywhere(self):
        network = Network(8)
        network.run(5)
        del network.states[8]
        network.run(20)
        for number in network.states:
            self.assertNotIn(8, network.seen_by(number))

    def test_a_one_way_cut_gets_no_node_declared_dead(self):
        network = Network(6)
        network.run(5)
        network.cut_links = {(1, 2)}
        network.run(60)
        for number in network.states:
            self.assertEqual(network.seen_by(number), sorted_names(6))
        refuted = network.states[3].members["vm-2"].version
        self.assertEqual(refuted, 0, "others should have pinged for the first node")

    def test_a_frozen_node_is_listed_again_once_it_refutes_its_death(self):
        network = Network(6)
        network.run(5)
        network.frozen = {3}
        network.run(20)
        self.assertNotIn(3, network.seen_by(1))
        network.frozen = set()
        network.run(20)
        self.assertEqual(network.seen_by(1), sorted_names(6))

    def test_leaving_node_is_dropped_at_once(self):
        network = Network(6)
        network.run(5)
        step = begin_leaving(network.states[4], SETTINGS)
        network.apply(4, step)
        network.deliver()
        for number in (1, 2, 3, 5, 6):
            self.assertNotIn(4, network.seen_by(number))

    # Guards against nodes that return from a cut and stay unlisted for seconds: no
    # reader of the region sends them what changed meanwhile.
    def test_nodes_that_return_from_a_cut_are_listed_at_once(self):
        for share, seed in ((0.01, 1), (0.35, 2), (0.7, 3)):
            with self.subTest(share=share):
                network = Network(108, seed=seed, regions=2)
                network.run(8)
                cut = network.cut_off(share)
                network.run(12)
                network.cut_links = set()
                network.run(RELISTED_S)
                for number, state in network.states.items():
                    missing = network.find_unlisted(number)
                    self.assertEqual(missing & cut, set(), state.own.name)

    # Guards against two nodes that answer each other without end, since one of them
    # accepts no record of the other.
    def test_replies_about_a_death_are_bounded(self):
        network = Network(2)
        network.run(2)
        dead = replace(record(2), version=1, standing=MemberStanding.DEAD)
        state = network.states[1]
        state = replace(state, members=state.members.set(dead.name, dead))
        unbeatable = (dead.incarnation + 1, 0, 0)
        tombstones = state.tombstones.set(dead.name, (unbeatable, network.now))
        network.states[1] = replace(state, tombstones=tombstones)
        network.datagrams = 0
        network.run(3)
        self.assertLess(network.datagrams, 3 * 2 * 2 * 128)

    # Guards against a storm: each death that is refuted is told to a whole region.
    def test_a_returning_node_costs_few_datagrams(self):
        network = Network(54)
        network.run(8)
        network.cut_off(0.35)
        network.run(12)
        network.cut_links = set()
        network.datagrams = 0
        network.run(5)
        regular = 54 * 5 * 4
        told_to_all = 54 * 54 * 2
        self.assertLess(network.datagrams, regular + told_to_all)

    # Guards against a restarted node that its old tombstone keeps out of the fleet.
    def test_new_incarnation_replaces_the_dead_one(self):
        network = Network(4)
        network.run(5)
        del network.states[4]
        network.run(15)
        network.states[4] = new_state(record(4, incarnation=2))
        network.apply(4, join(network.states[4], [("h", 1)]))
        network.deliver()
        network.run(10)
        nodes = {member.node for member in live_members(network.states[1])}
        self.assertIn("vm-4.2", nodes)
        self.assertNotIn("vm-4.1", nodes)

    @given(st.permutations(range(8)), st.lists(st.integers(0, 7), max_size=8))
    @settings(max_examples=100, derandomize=True, deadline=None)
    def test_merge_is_independent_of_order_and_repetition(self, order, repeated):
        """Datagrams may arrive out of order or several times."""
        variants = [
            replace(record(9, incarnation), standing=standing, version=version)
            for incarnation in (1, 2)
            for version in (0, 1)
            for standing in (MemberStanding.ALIVE, MemberStanding.LEAVING)
        ]
        state = new_state(record(1))
        for index in [*order, *repeated]:
            message = GossipMessage("x.1", GossipKind.PAGE, members=(variants[index],))
            state = handle_message(state, message, 0.0, SETTINGS).state
        self.assertEqual(state.members["vm-9"], variants[-1])


class PausedProcessTests(unittest.TestCase):
    """Load pattern: a process is paused, or busy with a burst of requests.

    It must not declare others dead: its ticks are late, and responses of other nodes
    wait unread in its socket.
    """

    def setUp(self):
        self.now = 100.0
        self.member_counts = []
        clock = {"clock": lambda: self.now}
        self.task = MembershipTask(record(1), SETTINGS, 1, **clock)
        self.task.send_message = self.record_members
        self.task.prepare()
        for number in range(2, 6):
            other = record(number)
            page = GossipMessage(other.node, GossipKind.PAGE, members=(other,))
            self.task.handle_gossip_message(page)

    def record_members(self, _, body):
        if isinstance(body, MembersChanged):
            self.member_counts.append(len(body.members))

    def pass_time(self, seconds, step):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += step
            self.task.handle_tick(Tick("period", self.now))

    def test_late_ticks_declare_nobody_dead(self):
        self.pass_time(30.0, 3.0)
        self.assertEqual(min(self.member_counts[4:]), 5)

    def test_dead_nodes_are_found_once_ticks_are_on_time(self):
        self.pass_time(9.0, 3.0)
        self.pass_time(30.0, self.task.tick_period_s)
        self.assertLess(self.member_counts[-1], 5)


def sorted_names(count):
    """Return node numbers in the order of their names."""
    return [n for _, n in sorted((f"vm-{n}", n) for n in range(1, count + 1))]


class OwnershipTests(unittest.TestCase):
    @given(
        st.lists(st.sets(st.integers(1, 12), min_size=1), min_size=1, max_size=6),
    )
    @settings(max_examples=150, derandomize=True, deadline=None)
    def test_incremental_rankings_equal_fresh_ones(self, views):
        ownership = Ownership()
        for view in views:
            members = [record(n, region=f"r{n % 2}") for n in sorted(view)]
            ownership = update_ownership(ownership, members)
            for group in range(5):
                ranking = rank_owners(ownership, f"g{group}", "r0")
                ownership = ranking.ownership
                fresh = rank_owners(
                    update_ownership(Ownership(), members), f"g{group}", "r0"
                )
                self.assertEqual(ranking.owners, fresh.owners)

    # Guards against new owners of groups whose owner is still alive.
    def test_loss_of_a_node_moves_only_its_groups(self):
        members = [record(n) for n in range(1, 21)]
        full = update_ownership(Ownership(), members)
        less = update_ownership(Ownership(), members[:-1])
        for group in range(200):
            before = rank_owners(full, f"g{group}", "r").owners[0]
            after = rank_owners(less, f"g{group}", "r").owners[0]
            if before != members[-1]:
                self.assertEqual(before, after)

    def test_every_node_has_another_node_as_replica_node(self):
        members = [record(n) for n in range(1, 9)]
        for member in members:
            replica_node = choose_replica_node(member, members)
            self.assertTrue(replica_node)
            self.assertNotEqual(replica_node, member.node)
