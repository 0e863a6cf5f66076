"""Addresses of nodes in the store, for a node whose seeds do not respond."""

from comfreyusher.directory._task import DirectoryTask, FindNodes, NodesFound

__all__ = ["DirectoryTask", "FindNodes", "NodesFound"]
