"""Benchmarks of the decisions on simulated load, and of whole fleets of processes."""
