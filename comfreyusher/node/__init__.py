"""A node: its tasks, and the plans derived from configuration and upstreams."""

from comfreyusher.node._assemble import Node, assemble
from comfreyusher.node._plans import (
    PlanState,
    choose_replica_node,
    derive_groups,
    derive_plans,
    update_upstream_specs,
)

__all__ = [
    "Node",
    "PlanState",
    "assemble",
    "choose_replica_node",
    "derive_groups",
    "derive_plans",
    "update_upstream_specs",
]
