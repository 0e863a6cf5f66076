"""How long each phase of a planned shutdown may take."""

import dataclasses

from comfreyusher.settings import parse_duration_ms

MILLISECONDS_PER_SECOND = 1000
# Time in which a process ends after its last phase, before the platform kills it.
END_MARGIN_S = 0.4
# The earlier phases leave the requests in flight at least this share of the grace.
MAX_OTHER_PHASES_SHARE = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """The longest duration of each phase, in seconds."""

    leave_delay_s: float
    drain_timeout_s: float
    flush_timeout_s: float


def derive_shutdown_times(settings):
    """Return the ``ShutdownTimes`` of ``ShutdownSettings``.

    With a ``grace``, all phases together end before it is over.
    """
    if not settings.grace:
        return ShutdownTimes(
            settings.leave_delay_s, settings.drain_timeout_s, settings.flush_timeout_s
        )
    grace_s = parse_duration_ms(settings.grace) / MILLISECONDS_PER_SECOND
    others_s = settings.leave_delay_s + settings.flush_timeout_s + END_MARGIN_S
    scale = min(1.0, grace_s * MAX_OTHER_PHASES_SHARE / others_s)
    return ShutdownTimes(
        settings.leave_delay_s * scale,
        min(settings.drain_timeout_s, grace_s - others_s * scale),
        settings.flush_timeout_s * scale,
    )
