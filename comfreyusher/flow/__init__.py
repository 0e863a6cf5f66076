"""Pipes, tasks, the timer service, and tasks that own sockets."""

from comfreyusher.flow._connection import (
    Accepted,
    Closed,
    Connected,
    Drained,
    Received,
)
from comfreyusher.flow._datagrams import DatagramTask
from comfreyusher.flow._expiry import drop_before
from comfreyusher.flow._pipe import Step, continue_pipe, end_pipe, pipe
from comfreyusher.flow._poller import Poller
from comfreyusher.flow._replace import replace
from comfreyusher.flow._root import Root
from comfreyusher.flow._streams import StreamTask
from comfreyusher.flow._task import Envelope, Task
from comfreyusher.flow._tick_monitor import TickMonitor, record_tick
from comfreyusher.flow._timers import Subscribe, Tick, TimerService, Unsubscribe
from comfreyusher.listener import bind_listener

__all__ = [
    "Accepted",
    "Closed",
    "Connected",
    "DatagramTask",
    "Drained",
    "Envelope",
    "Poller",
    "Received",
    "Root",
    "Step",
    "StreamTask",
    "Subscribe",
    "Task",
    "Tick",
    "TickMonitor",
    "TimerService",
    "Unsubscribe",
    "bind_listener",
    "continue_pipe",
    "drop_before",
    "end_pipe",
    "pipe",
    "record_tick",
    "replace",
]
