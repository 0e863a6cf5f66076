"""The parts of circuits that tasks use.

circuits imports ``pkg_resources`` if it can, only to declare a namespace package.
That takes 0.12 s of a core at each start, so the import is blocked meanwhile and
circuits takes its other way.
"""

import sys

PACKAGE = "pkg_resources"

_is_blocked = PACKAGE not in sys.modules
if _is_blocked:
    sys.modules[PACKAGE] = None
try:
    from circuits import BaseComponent, Event, handler
    from circuits.core.pollers import EPoll, _disconnect, _read, _write
finally:
    if _is_blocked:
        del sys.modules[PACKAGE]

__all__ = [
    "BaseComponent",
    "EPoll",
    "Event",
    "_disconnect",
    "_read",
    "_write",
    "handler",
]
