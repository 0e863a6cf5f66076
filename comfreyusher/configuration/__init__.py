"""Distribution of the configuration: log, peers, publications, restating."""

from comfreyusher.configuration._publications import Publication, PublicationState
from comfreyusher.configuration._task import (
    CatalogueChanged,
    ConfigurationTask,
    PublicationsSeen,
    Publish,
    RolesChanged,
)

__all__ = [
    "CatalogueChanged",
    "ConfigurationTask",
    "Publication",
    "PublicationState",
    "PublicationsSeen",
    "Publish",
    "RolesChanged",
]
