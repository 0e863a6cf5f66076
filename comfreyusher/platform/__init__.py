"""Clients of the platform's service: its log and its list of VMs."""

from comfreyusher.platform._calls import (
    Append,
    Appended,
    AppendFailed,
    ListRead,
    LogRecord,
    Read,
    ReadFailed,
    RecordsRead,
    Vm,
)
from comfreyusher.platform._task import PlatformTask

__all__ = [
    "Append",
    "AppendFailed",
    "Appended",
    "ListRead",
    "LogRecord",
    "PlatformTask",
    "Read",
    "ReadFailed",
    "RecordsRead",
    "Vm",
]
