"""A node: its tasks, and the plans it derives from configuration and list."""

from comfreyusher.node._assemble import Node, assemble
from comfreyusher.node._plans import (
    PlanBook,
    derive_groups,
    derive_plans,
    derive_roles,
    update_members,
)

__all__ = [
    "Node",
    "PlanBook",
    "assemble",
    "derive_groups",
    "derive_plans",
    "derive_roles",
    "update_members",
]
