"""Processes, clients and servers that the scripts of the third review share."""
