"""Publications under way on this node, settled by the fold alone.

An append whose answer was lost is settled by its publish id: the record is in
the topic or it is not, whatever the answer said.
"""

import dataclasses
import enum

from comfreyusher.declarations import Record
from comfreyusher.flow import replace


class PublicationState(str, enum.Enum):
    """State of a publication."""

    APPENDING = "appending"
    MOVED_ON = "moved on"
    UNSETTLED = "unsettled"
    SETTLED = "settled"
    CONFLICT = "conflict"


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """A publication; ``record`` is appended again when the topic moved on."""

    publish_id: str
    key: str
    revision: int
    started_s: float
    record: Record
    state: PublicationState = PublicationState.APPENDING
    offset: int = 0
    reason: str = ""


def settle(publication, catalogue):
    """Return the publication as the catalogue shows it."""
    offset = catalogue.settled.get(publication.publish_id)
    if offset is not None:
        return replace(publication, state=PublicationState.SETTLED, offset=offset)
    conflict = catalogue.conflicts.get(publication.publish_id)
    if conflict is not None:
        return replace(
            publication,
            state=PublicationState.CONFLICT,
            offset=conflict.offset,
            reason=conflict.reason,
        )
    return _settle_by_base(publication, catalogue)


def _settle_by_base(publication, catalogue):
    """Find the conflict of a record that no longer fits the newest one."""
    entry = catalogue.entries.get(publication.key)
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


def leave_unsettled(publication, reason):
    """Return the publication after its append brought no answer."""
    if publication.state is not PublicationState.APPENDING:
        return publication
    return replace(publication, state=PublicationState.UNSETTLED, reason=reason)


def move_on(publication):
    """Return the publication whose append came too late for its position."""
    if publication.state in (PublicationState.SETTLED, PublicationState.CONFLICT):
        return publication
    return replace(publication, state=PublicationState.MOVED_ON)
