"""When the store was away, and when removals count after it is back."""

RETURN_GRACE_S = 2.2
OUTAGE_S = 2.5
AT_ONCE_S = float("-inf")


class Outage:
    """State of the last outage; times are monotonic seconds.

    The store was away if nobody in the region told of an answer of it for longer
    than another reader needs to step in. ``confirmed_s`` is when it last answered
    anyone, ``regained_s`` when it did so for the first time after an outage.
    """

    def __init__(self, now):
        self.confirmed_s = now
        self.regained_s = AT_ONCE_S

    def confirm(self, answered_s):
        """Note when the store answered this node, or one that tells of it."""
        if answered_s - self.confirmed_s > OUTAGE_S:
            self.regained_s = answered_s
        self.confirmed_s = max(self.confirmed_s, answered_s)

    def departs_s(self, now):
        """Return when the removal of an entry counts that is heard of now.

        Entries that lapsed while the store was away come back soon after it.
        """
        is_away = now - self.confirmed_s > OUTAGE_S
        due_s = RETURN_GRACE_S + (now if is_away else self.regained_s)
        return due_s if due_s > now else AT_ONCE_S
