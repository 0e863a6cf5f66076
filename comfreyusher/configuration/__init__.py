"""Publication of operators' declarations and the state in force on this node."""

from comfreyusher.configuration._publications import Publication, PublicationState
from comfreyusher.configuration._task import (
    ConfigurationTask,
    DeclarationsChanged,
    LiveNodesChanged,
    PublicationsChanged,
    Publish,
)

__all__ = [
    "ConfigurationTask",
    "DeclarationsChanged",
    "LiveNodesChanged",
    "Publication",
    "PublicationState",
    "PublicationsChanged",
    "Publish",
]
