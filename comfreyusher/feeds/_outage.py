"""When the store was unavailable or restored, and when removals take effect then."""

RETURN_GRACE_S = 2.2
OUTAGE_AFTER_S = 2.5
AT_ONCE_S = float("-inf")


class Outage:
    """State of the last outage of the store; times are monotonic seconds.

    The store counts as unavailable if no node of the region reported a response
    of the store for longer than another reader needs to take over.
    ``confirmed_s`` is when the store last responded to any node, ``regained_s``
    when it first did so after an outage, ``restored_s`` when this node learned that
    the store has a new era. This node started at ``started_s``.
    """

    def __init__(self, now):
        self.started_s = now
        self.confirmed_s = now
        self.regained_s = AT_ONCE_S
        self.restored_s = AT_ONCE_S

    def confirm(self, responded_s):
        """Record when the store responded to this node or to a reader."""
        if responded_s - self.confirmed_s > OUTAGE_AFTER_S:
            self.regained_s = responded_s
        self.confirmed_s = max(self.confirmed_s, responded_s)

    def _is_unavailable(self, now):
        return now - self.confirmed_s > OUTAGE_AFTER_S

    def available_s(self, now):
        """Return for how long this node has known of no outage, 0 during one."""
        if self._is_unavailable(now):
            return 0.0
        return now - max(self.started_s, self.regained_s)

    def revise(self, available_since_s):
        """Learn since when another node has known of no outage.

        A node that was cut off itself takes that for an outage of the store. Return
        whether the last outage has ended earlier than this node thought.
        """
        if available_since_s >= self.regained_s:
            return False
        self.regained_s = available_since_s
        return True

    def removal_due_s(self, now):
        """Return when the removal of an entry takes effect that is received now.

        Entries that expired while the store was unavailable are registered again
        soon after its return.
        """
        due_s = RETURN_GRACE_S + (now if self._is_unavailable(now) else self.regained_s)
        due_s = max(due_s, self.earliest_removal_s(now))
        return due_s if due_s > now else AT_ONCE_S

    def earliest_removal_s(self, now):
        """Return before when no removal takes effect, whatever other nodes say.

        A store that was restored lacks the entries that were written since its copy;
        their owners write them again. A node that started since does not know them.
        """
        due_s = RETURN_GRACE_S + self.restored_s
        return AT_ONCE_S if due_s <= now else due_s
