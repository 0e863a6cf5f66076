"""Expiry of entries in immutable maps of names to times."""


def drop_before(times, limit_s):
    """Return the map without the entries whose time is before the limit.

    ``times`` is an immutable map of names to seconds.
    """
    for name, at_s in times.items():
        if at_s < limit_s:
            times = times.delete(name)
    return times
