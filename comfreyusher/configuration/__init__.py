"""Distribution of the configuration: log, peers, publications, restating."""

from comfreyusher.configuration._task import (
    CatalogueChanged,
    ConfigurationTask,
    PublicationsSeen,
    Publish,
    RolesChanged,
)
from comfreyusher.configuration._publications import Publication, PublicationState

__all__ = [
    "CatalogueChanged",
    "ConfigurationTask",
    "Publication",
    "PublicationState",
    "PublicationsSeen",
    "Publish",
    "RolesChanged",
]
