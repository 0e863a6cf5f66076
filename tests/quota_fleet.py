"""A fleet of quota tasks on simulated time, with a network that fails.

Members are told to all nodes after the delays of the membership protocol.
"""

import bisect
import random

import immutables

from comfreyusher.declarations import ClientAccount
from comfreyusher.directory import FindNodes, NodesFound
from comfreyusher.flow import Subscribe, Tick, Unsubscribe, replace
from comfreyusher.flow._timers import next_multiple
from comfreyusher.messages import MemberRecord, TokenGrant, ToNode
from comfreyusher.quota import (
    QuotaTask,
    QuotaView,
    TokenDecision,
    TokenReturned,
    TokenWanted,
)
from comfreyusher.quota._view import rank_members
from tests.events import EventClock

WINDOW_S = 5.0
OVERSHOOT = 0.1
SLACK = 20.0
DATA_CENTRES = 4
# After this a vanished node is declared dead: a probe, and the suspicion.
DEATH_S = 4.5
SPREAD_S = 1.0
READ_S = 0.05
ONE_WAY_S = {"centre": 0.0003, "region": 0.003, "fleet": 0.02}


class Node:
    """A running quota task, and what its entry task would do."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
        self.periods = {}
        self.task = QuotaTask(record, clock=lambda: fleet.clock.now)
        self.task.send_message = self.send
        self.known = {record.name: record}
        self.observed = set()
        self.departed = frozenset()
        self.leaving = False

    def deliver(self, body):
        if self.fleet.nodes.get(self.record.name) is self:
            self.task.message_handlers[type(body)](body)

    def send(self, channel, body):
        fleet = self.fleet
        if isinstance(body, ToNode):
            fleet.send_datagram(self, body.node, body.body)
        elif isinstance(body, TokenDecision):
            fleet.decide(self, body)
        elif isinstance(body, FindNodes):
            names = frozenset(fleet.records)
            fleet.clock.at(
                fleet.clock.now + READ_S, lambda: self.deliver(NodesFound(names))
            )
        elif isinstance(body, Subscribe):
            self.periods[body.name] = timer = object()
            self.schedule(body.name, body.period_s, timer)
        elif isinstance(body, Unsubscribe):
            self.periods.pop(body.name, None)

    def schedule(self, name, period_s, timer):
        due_s = next_multiple(self.fleet.clock.now, period_s)

        def tick():
            alive = self.fleet.nodes.get(self.record.name) is self
            if alive and self.periods.get(name) is timer:
                self.deliver(Tick(name, self.fleet.clock.now))
                self.schedule(name, period_s, timer)

        self.fleet.clock.at(due_s, tick)

    def show(self):
        """Send the task what this node knows, and the addresses of the members."""
        self.observed.clear()
        records = sorted(self.known.values(), key=lambda record: record.name)
        self.deliver(
            QuotaView(
                self.fleet.accounts,
                tuple(records),
                self.departed,
                self.leaving,
                WINDOW_S,
                OVERSHOOT,
                SLACK,
            )
        )


class QuotaFleet:
    """Nodes, accounts and the decisions on their requests.

    ``cut`` is a set of names that reach no other node; ``decisions`` holds for each
    account the time, the grant, the ``Retry-After`` and the arrival of every request.
    ``on_grant`` tells whether a request that has got a token does not run.
    """

    def __init__(self, size, accounts, seed=1, settle_s=20.0, loss=0.0):
        self.clock = EventClock(1000.0)
        self.random = random.Random(seed)
        self.accounts = immutables.Map({a.name: a for a in accounts})
        self.loss = loss
        self.nodes, self.records, self.incarnations = {}, {}, {}
        self.islands = {}
        self.pending, self.decisions, self.exchange = {}, {}, 0
        self.datagrams = 0
        self.ran, self.on_grant = {}, lambda node, account: False
        for number in range(size):
            self._new_record(number)
        for name in list(self.records):
            self._start(name)
        self._show_all()
        self.run(settle_s)

    def _show_all(self):
        """Let all nodes know the fleet; they share the parts of one view."""
        nodes = list(self.nodes.values())
        for node in nodes:
            node.known = dict(self.records)
        nodes[0].show()
        view = nodes[0].task.view
        for account in self.accounts:
            view, _ = rank_members(view, account)
        for node in nodes[1:]:
            node.task.view = replace(view, own=node.record)

    # Nodes ---------------------------------------------------------------------------

    def _new_record(self, number):
        name = f"vm-{number}"
        centre = number % DATA_CENTRES
        incarnation = self.incarnations[name] = self.incarnations.get(name, 0) + 1
        self.records[name] = MemberRecord(
            f"{name}.{incarnation}",
            name,
            "h",
            1,
            1,
            f"d{centre}",
            f"r{centre * 2 // DATA_CENTRES}",
            incarnation,
        )

    def _start(self, name):
        self.nodes[name] = Node(self, self.records[name])

    def kill(self, *names):
        for name in names:
            node = self.nodes.pop(name)
            self.clock.at(self.clock.now + DEATH_S, lambda n=node: self._forget(n))

    def _forget(self, dead):
        """Let each node learn that a member is dead, unless it is back or reachable."""
        name = dead.record.name

        def learn(node):
            known = node.known.get(name)
            if known is not None and known.node == dead.record.node:
                del node.known[name]
                node.show()

        if name in self.nodes and self.nodes[name].record.node != dead.record.node:
            return
        for node in list(self.nodes.values()):
            if self.reach(node.record.name, name) or name not in self.nodes:
                self._later(SPREAD_S, lambda n=node: learn(n))

    def _later(self, spread_s, action):
        self.clock.at(self.clock.now + self.random.uniform(0.05, spread_s), action)

    def restart(self, *names):
        """Start nodes anew, which learn of the fleet and are learned of."""
        for name in names:
            self._new_record(int(name.rpartition("-")[2]))
            self._start(name)
        for name in names:
            self._join(self.nodes[name])

    def _join(self, joined):
        name = joined.record.name
        joined.show()

        def learn_all():
            for other in self.nodes.values():
                if self.reach(name, other.record.name):
                    joined.known[other.record.name] = other.record
            joined.show()

        def learn(node):
            if self.nodes.get(name) is joined and self.reach(node.record.name, name):
                node.known[name] = joined.record
                node.show()

        self._later(0.5, learn_all)
        for node in list(self.nodes.values()):
            self._later(SPREAD_S, lambda n=node: learn(n))

    def leave(self, name):
        """Let a node announce that it leaves; it ends after some seconds."""
        node = self.nodes[name]
        node.leaving = True
        del node.known[name]
        node.show()

        def learn(other):
            other.departed = other.departed | {name}
            other.known.pop(name, None)
            other.show()

        for other in list(self.nodes.values()):
            if other is not node:
                self._later(SPREAD_S, lambda o=other: learn(o))
        self.clock.at(self.clock.now + 3.0, lambda: self.nodes.pop(name, None))

    def isolate(self, names, island=None):
        """Cut nodes off, each alone or all on one island, from the other nodes."""
        for name in names:
            self.islands[name] = island or name
        self.clock.at(self.clock.now + DEATH_S, lambda: self._declare_cut(names))

    def _declare_cut(self, names):
        """The others learn within a second; a node alone loses one member a second."""
        for name in names:
            if name not in self.islands:
                continue
            for node in list(self.nodes.values()):
                if not self.reach(node.record.name, name) and (
                    node.record.name not in self.islands
                ):
                    self._later(SPREAD_S, lambda n=node, d=name: self._drop(n, d))

    def _drop(self, node, name):
        if name in self.islands:
            node.known.pop(name, None)
            node.show()

    def rejoin(self, names):
        for name in names:
            del self.islands[name]
        for name in names:
            cut = self.nodes.get(name)
            for node in list(self.nodes.values()):
                self._later(SPREAD_S, lambda n=node, c=cut: self._see(n, c))
            self._later(SPREAD_S, lambda c=cut: self._see_all(c))

    def _see_all(self, cut):
        """Let a node that has started while it was cut off learn of the others."""
        for other in list(self.nodes.values()):
            if other.record.name not in cut.known:
                self._see(cut, other)

    def _see(self, node, cut):
        name = cut.record.name
        if self.nodes.get(name) is cut and self.reach(node.record.name, name):
            if name not in node.known:
                node.known[name] = cut.record
                node.show()

    def reach(self, one, other):
        return self.islands.get(one) == self.islands.get(other)

    def set_accounts(self, *accounts):
        """Publish another configuration, which all nodes have within 3 s."""
        self.accounts = immutables.Map({a.name: a for a in accounts})
        for node in list(self.nodes.values()):
            self._later(3.0, node.show)

    # Messages ------------------------------------------------------------------------

    def send_datagram(self, sender, target, body):
        name = target.rpartition(".")[0]
        self.datagrams += 1
        receiver = self.nodes.get(name)
        known = sender.known.get(name)
        has_address = known is not None and known.node == target
        if not has_address and target not in sender.observed | {sender.record.node}:
            return
        if receiver is None or not self.reach(sender.record.name, name):
            return
        if receiver is not sender and self.random.random() < self.loss:
            return
        delay_s = self.find_delay(sender.record, receiver.record)

        def arrive():
            if type(body) is not TokenGrant:
                receiver.observed.add(sender.record.node)
            receiver.deliver(body)

        self.clock.at(self.clock.now + delay_s, arrive)

    def find_delay(self, one, other):
        if one.name == other.name:
            return 0.0
        if one.region != other.region:
            return ONE_WAY_S["fleet"]
        near = one.data_centre == other.data_centre
        return ONE_WAY_S["centre" if near else "region"]

    # Requests ------------------------------------------------------------------------

    def request(self, account, node):
        self.exchange += 1
        self.pending[self.exchange] = (account, self.clock.now)
        node.deliver(TokenWanted(self.exchange, account))

    def decide(self, node, decision):
        account, began_s = self.pending.pop(decision.exchange)
        self.decisions.setdefault(account, []).append(
            (self.clock.now, decision.granted, decision.retry_after_ms, began_s)
        )
        if decision.granted:
            is_unused = self.on_grant(node, account)
            self.ran.setdefault(account, []).extend((self.clock.now,) * (not is_unused))

    def give_back(self, node, account):
        node.deliver(TokenReturned(account))

    def load(self, account, per_s, start_s, end_s, skew=1.0):
        """Schedule Poisson arrivals from now, at nodes drawn by a skewed weight."""
        names = sorted(self.records)
        self.random.shuffle(names)
        totals, total = [], 0.0
        for rank in range(len(names)):
            total += 1 / (rank + 10) ** skew
            totals.append(total)

        def arrive():
            if self.clock.now >= end:
                return
            name = names[bisect.bisect(totals, self.random.uniform(0, total))]
            node = self.nodes.get(name)
            if node is not None:
                self.request(account, node)
            self.clock.at(self.clock.now + self.random.expovariate(per_s), arrive)

        end = self.clock.now + end_s
        self.clock.at(self.clock.now + start_s, arrive)

    def run(self, seconds):
        self.clock.run_until(self.clock.now + seconds)

    # Results -------------------------------------------------------------------------

    def granted_times(self, account):
        return [d[0] for d in self.decisions.get(account, ()) if d[1]]

    def worst_window(self, account):
        """Return the most requests that ran in any 5 s."""
        times = self.ran.get(account, ())
        most, first = 0, 0
        for last, at_s in enumerate(times):
            while times[first] <= at_s - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most

    def refused_share(self, *accounts):
        asked = [d for name in accounts for d in self.decisions.get(name, ())]
        return sum(not d[1] for d in asked) / max(1, len(asked))

    def rank(self, account):
        """Return the names of the best members of an account."""
        task = next(iter(self.nodes.values())).task
        return [record.name for record in rank_members(task.view, account)[1]]


def limit_of(account):
    """Return how many requests of an account may run in any window."""
    return (account.rate_per_s * WINDOW_S + account.burst) * (1 + OVERSHOOT) + SLACK


def sparse_accounts(count):
    """Return accounts of 4 requests a second on average, at half their rates."""
    return [
        ClientAccount(f"sparse-{n}", ("k",), 0, 2.0 * (1 + n % 6), 2.0 * (1 + n % 6))
        for n in range(count)
    ]
