"""Log lines on what a node knows of the store, since when and from whom."""

from comfreyusher.events import log_info

PART = "feeds"


def log_entry(before, entry, source):
    """Log an entry that changed; ``before`` is the listing without it."""
    known = before.upstreams.get(entry.name)
    state = "leaving" if entry.leaving else "listed"
    log_info(
        PART,
        "upstream",
        upstream=entry.name,
        state="gone" if entry.removed else state,
        service=entry.service or (known.service if known else ""),
        source=source,
    )


def log_configuration(published, kept, source, waited_ms):
    """Log a version that came into force.

    ``kept`` holds its record. ``waited_ms`` is how long this node knew that
    there was a newer one.
    """
    record = next(iter(kept.values()), None)
    log_info(
        PART,
        "configuration in force",
        version=published.version,
        routes=len(published.routes),
        offset=record.offset if record else None,
        size_bytes=len(record.value) if record else 0,
        source=source,
        waited_ms=waited_ms,
    )


def log_marker(state, mark, node, now):
    """Log that another reader tells this node of a topic."""
    log_info(
        PART,
        "reader followed",
        topic=mark.topic,
        reader=node,
        before=state.marker,
        mark_age_ms=mark.age_ms,
        stale_s=round(now - state.position.confirmed_s, 2),
        end=state.position.end,
        marked_end=mark.end_offset,
        marked_changed=mark.changed_offset,
    )
