"""A node: its tasks, and the plans it derives from configuration and list."""

from comfreyusher.node._assemble import Node, assemble
from comfreyusher.node._plans import derive_groups, derive_plans, derive_roles

__all__ = ["Node", "assemble", "derive_groups", "derive_plans", "derive_roles"]
