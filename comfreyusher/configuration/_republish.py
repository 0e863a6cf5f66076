"""Which node publishes a declaration again that the restored store has lost.

Every node holds all declarations. One after the other, in an order that differs by
declaration, tries to append it until it reads it back from the topic.
"""

import xxhash

RANK_DELAY_S = 0.5


class Republisher:
    """The entries in force that the store has lost.

    ``due_s`` maps their keys to when this node appends them. ``appending`` tells that
    an append of one is pending: each names the offset that the one before moved.
    """

    def __init__(self, node):
        self.node = node
        self.due_s = {}
        self.appending = False

    def update(self, lost_keys, nodes, now):
        """Keep the keys that are still lost, and plan the appends of the new ones."""
        self.due_s = {
            key: self.due_s.get(key, now + self._rank(key, nodes) * RANK_DELAY_S)
            for key in lost_keys
        }

    def _rank(self, key, nodes):
        own_score = _score(key, self.node)
        return sum(_score(key, node) < own_score for node in nodes)

    def pop_due(self, now):
        """Return the key to append now, or ``None``."""
        due = [key for key, due_s in self.due_s.items() if due_s <= now]
        if self.appending or not due:
            return None
        self.appending = True
        return due[0]


def _score(key, node):
    return xxhash.xxh64_intdigest(f"republish|{key}|{node}".encode())
