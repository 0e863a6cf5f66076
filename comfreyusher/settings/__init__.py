"""Settings of a node, read from JSON with comments and validated as a whole."""

from comfreyusher.settings._example import EXAMPLE
from comfreyusher.settings._load import load_settings
from comfreyusher.settings._model import (
    CallerSettings,
    CustomerKeyMode,
    FleetSettings,
    HalfCloseMode,
    NodeSettings,
    OperatorSettings,
    PageSettings,
    PeerSettings,
    PlatformSettings,
    SecretRef,
    Settings,
    ShutdownSettings,
    Switch,
    TelemetrySettings,
    TlsMode,
    TlsSettings,
    parse_duration_ms,
)
from comfreyusher.settings._secrets import SecretError, SecretKeys, read_secret

__all__ = [
    "EXAMPLE",
    "CallerSettings",
    "CustomerKeyMode",
    "FleetSettings",
    "HalfCloseMode",
    "NodeSettings",
    "OperatorSettings",
    "PageSettings",
    "PeerSettings",
    "PlatformSettings",
    "SecretError",
    "SecretKeys",
    "SecretRef",
    "Settings",
    "ShutdownSettings",
    "Switch",
    "TelemetrySettings",
    "TlsMode",
    "TlsSettings",
    "load_settings",
    "parse_duration_ms",
    "read_secret",
]
