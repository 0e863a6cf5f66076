"""Memories that end with time: immutable maps of names to seconds."""


def keep_since(times, limit_s):
    """Return the entries of a map of names to seconds that are not before a limit."""
    for name, at_s in times.items():
        if at_s < limit_s:
            times = times.delete(name)
    return times
