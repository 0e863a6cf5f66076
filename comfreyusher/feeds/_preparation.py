"""Decodes large configurations in slices before their messages are handled."""

import collections
import zlib

from comfreyusher.feeds._relay import decompress_value
from comfreyusher.flow import Subscribe
from comfreyusher.messages import SnapshotResponse
from comfreyusher.platform import Record, Topic, find_configurations

# A smaller one is decoded at once: that takes less than 10 ms of a core.
MIN_SLICED_BYTES = 256 << 10
SLICE_PAUSE_S = 0.002
TICK_NAME = "preparation"


class Preparation:
    """Messages with configurations that wait until these are decoded.

    They are handled in the order in which they arrived, and as if they had arrived
    later: while one waits, all others of the topic wait behind it.
    """

    def __init__(self, channel, decoder, send_message):
        self.channel = channel
        self.decoder = decoder
        self.send_message = send_message
        self.waiting = collections.deque()

    def wrap(self, handler):
        """Return a handler that handles a message once it is prepared."""

        def handle(message):
            if not _is_configuration(message):
                handler(message)
                return
            self.waiting.append((handler, message))
            if len(self.waiting) == 1:
                self._start_next()

        return handle

    def wrap_tick(self, handler):
        """Return a handler of ticks that decodes the next slice at its own ones."""

        def handle(tick):
            if tick.name != TICK_NAME:
                handler(tick)
            elif self.decoder.advance():
                self._finish()
            else:
                self._schedule()

        return handle

    def _start_next(self):
        if not self.waiting:
            return
        value = _find_value(self.waiting[0][1])
        if len(value) >= MIN_SLICED_BYTES:
            self.decoder.start(value)
            self._schedule()
        else:
            self._finish()

    def _finish(self):
        """Handle the message that is prepared; the next ones go on if that fails."""
        handler, message = self.waiting.popleft()
        try:
            handler(message)
        finally:
            self._start_next()

    def _schedule(self):
        pause = Subscribe(self.channel, TICK_NAME, SLICE_PAUSE_S, repeat=False)
        self.send_message("timers", pause)


def _is_configuration(message):
    if isinstance(message, SnapshotResponse):
        return message.watermark.topic == Topic.CONFIGURATION.value
    return message.topic is Topic.CONFIGURATION


def _find_value(message):
    """Return the newest configuration in a message, empty if there is none."""
    records = message.records
    if isinstance(message, SnapshotResponse):
        try:
            records = tuple(
                Record(item.key, decompress_value(item.value), item.offset)
                for item in message.records
            )
        except zlib.error:
            return b""
    found = find_configurations(records)
    return found[0].value if found else b""
