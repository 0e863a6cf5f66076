"""State of the publications that this node appends.

Only the records in the topic decide the outcome of a publication. When the
response to an append is lost, the publish id tells whether the record was
written.
"""

import dataclasses
import enum

from comfreyusher.declarations import Record
from comfreyusher.flow import replace


class PublicationState(str, enum.Enum):
    """State of a publication.

    A publication in ``MOVED_ON`` waits for an append at the newest offset: it is
    new, or the topic has moved on past the offset that its last append named, so
    that its record was not written.
    """

    APPENDING = "appending"
    MOVED_ON = "moved on"
    UNSETTLED = "unsettled"
    SETTLED = "settled"
    CONFLICT = "conflict"


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """A publication; ``record`` is appended again when the topic moved on.

    ``started_s`` is the time of the task's clock. ``offset`` is the position
    of the record once it is settled, or of the conflict, in the ``era`` of the store.
    """

    publish_id: str
    key: str
    revision: int
    started_s: float
    record: Record
    state: PublicationState = PublicationState.APPENDING
    offset: int = 0
    reason: str = ""
    era: int = 0


def update_outcome(publication, declarations):
    """Return the publication with the outcome that the declarations show."""
    offset = declarations.settled.get(publication.publish_id)
    if offset is not None:
        if publication.state is PublicationState.SETTLED:
            return publication
        return replace(
            publication,
            state=PublicationState.SETTLED,
            offset=offset,
            era=declarations.era,
        )
    conflict = declarations.conflicts.get(publication.publish_id)
    if conflict is not None:
        return replace(
            publication,
            state=PublicationState.CONFLICT,
            offset=conflict.offset,
            reason=conflict.reason,
        )
    return _detect_conflict(publication, declarations)


def _detect_conflict(publication, declarations):
    """Return the publication as a conflict if its base is no longer in force."""
    entry = declarations.entries.get(publication.key)
    revision = entry.record.revision if entry else 0
    if publication.state is not PublicationState.MOVED_ON:
        return publication
    if revision == publication.record.based_on:
        return publication
    reason = (
        f"{publication.key} is at revision {revision}, "
        f"not {publication.record.based_on}"
    )
    return replace(publication, state=PublicationState.CONFLICT, reason=reason)


def mark_unsettled(publication, reason):
    """Return the publication as unsettled until its record is read."""
    if publication.state is not PublicationState.APPENDING:
        return publication
    return replace(publication, state=PublicationState.UNSETTLED, reason=reason)


def begin_era(publication, declarations):
    """Return the publication after the store was restored from an older copy.

    A record in force that the store has lost is published again, see ``Republisher``,
    and is settled by that. One whose outcome was open is appended again: a second copy
    of it has the same publish id, and changes nothing.
    """
    entry = declarations.entries.get(publication.key)
    is_in_force = entry and entry.record.publish_id == publication.publish_id
    if publication.state is PublicationState.SETTLED:
        if not is_in_force or entry.era == declarations.era:
            return publication
        reason = "the store was restored without it"
        return replace(publication, state=PublicationState.UNSETTLED, reason=reason)
    return publication if is_in_force else mark_moved_on(publication)


def mark_moved_on(publication):
    """Return the publication as one that is yet to be appended at the newest offset."""
    if publication.state in (PublicationState.SETTLED, PublicationState.CONFLICT):
        return publication
    return replace(publication, state=PublicationState.MOVED_ON)
