"""Callers that try to exhaust a node, and what the node must keep up meanwhile."""
