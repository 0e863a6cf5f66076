"""Tasks: circuits components that own their state and exchange messages."""

import dataclasses
import time
from typing import Any

from comfreyusher.flow._circuits import BaseComponent, Event, handler


class message(Event):
    """Carry one immutable message to the task on a channel."""


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message and the channel of the task that receives it."""

    channel: str
    body: Any


def read_clock():
    """Return the monotonic time in seconds."""
    return time.monotonic()


class Task(BaseComponent):
    """A component that handles each message class with one method.

    Subclasses set ``self.message_handlers`` to ``{MessageClass: method}``.
    ``clock`` returns monotonic seconds and is replaced in tests. The base class
    is ``BaseComponent`` because ``Component`` turns every public method into a
    handler.
    """

    def __init__(self, channel, clock=read_clock):
        super().__init__(channel=channel)
        self.clock = clock
        self.message_handlers = {}

    def prepare(self):
        """Subscribe to ticks and send first messages.

        Called once when the process starts.
        """

    @handler("started", channel="*")
    def on_started(self, *_):
        """Prepare the task once the whole component tree runs."""
        self.prepare()

    @handler("message")
    def on_message(self, event, body):
        """Call the handler for the class of the message.

        A circuits event and its value refer to each other, so an event stays in
        memory until the next garbage collection. Its arguments are cleared so
        that the message is freed at once.
        """
        method = self.message_handlers.get(type(body))
        if method is not None:
            method(body)
        event.args.clear()

    def send_message(self, channel, body):
        """Send a message to another task."""
        self.fire(message(body), channel)

    def send_messages(self, envelopes):
        """Send the message of each envelope to the task on its channel."""
        for envelope in envelopes:
            self.fire(message(envelope.body), envelope.channel)
