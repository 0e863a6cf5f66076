"""Benchmarks: decisions on a fake workload, and whole paths on processes."""
