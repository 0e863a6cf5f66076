"""Log lines about upstreams, configurations and the reader that a node follows."""

from comfreyusher.events import log_info

PART = "feeds"


def log_upstream(previous, entry, source):
    """Log an entry that changed; ``previous`` is the registry before the change."""
    known = previous.upstreams.get(entry.name)
    state = "leaving" if entry.leaving else "listed"
    log_info(
        PART,
        "upstream",
        upstream=entry.name,
        state="gone" if entry.removed else state,
        service=entry.service or (known.service if known else ""),
        source=source,
    )


def log_configuration(configuration, records, source, waited_ms):
    """Log a version that came into force.

    ``records`` holds its record. ``waited_ms`` is for how long this node knew
    that there was a newer version.
    """
    record = next(iter(records.values()), None)
    log_info(
        PART,
        "configuration in force",
        version=configuration.version,
        routes=len(configuration.routes),
        offset=record.offset if record else None,
        size_bytes=len(record.value) if record else 0,
        source=source,
        waited_ms=waited_ms,
    )


def log_reader_followed(state, watermark, node, now):
    """Log that this node follows another reader of a topic than before."""
    log_info(
        PART,
        "reader followed",
        topic=watermark.topic,
        reader=node,
        before=state.reader,
        mark_age_ms=watermark.age_ms,
        stale_s=round(now - state.position.confirmed_s, 2),
        end=state.position.end_offset,
        marked_end=watermark.end_offset,
        marked_changed=watermark.changed_offset,
    )
