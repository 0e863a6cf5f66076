"""Pipes, tasks, the timer service and the socket tasks they run on."""

from comfreyusher.flow._change import change
from comfreyusher.flow._connection import (
    Accepted,
    Closed,
    Connected,
    Drained,
    Received,
    bind_listener,
)
from comfreyusher.flow._datagrams import DatagramTask
from comfreyusher.flow._memory import keep_since
from comfreyusher.flow._pace import Pace, note_tick
from comfreyusher.flow._pipe import Step, passed, pipe, stopped
from comfreyusher.flow._poller import Poller
from comfreyusher.flow._root import Root
from comfreyusher.flow._streams import StreamTask
from comfreyusher.flow._task import Address, Task
from comfreyusher.flow._timers import Subscribe, Tick, TimerService, Unsubscribe

__all__ = [
    "Accepted",
    "Address",
    "Closed",
    "Connected",
    "DatagramTask",
    "Drained",
    "Pace",
    "Poller",
    "Received",
    "Root",
    "Step",
    "StreamTask",
    "Subscribe",
    "Task",
    "Tick",
    "TimerService",
    "Unsubscribe",
    "bind_listener",
    "change",
    "keep_since",
    "note_tick",
    "passed",
    "pipe",
    "stopped",
]
