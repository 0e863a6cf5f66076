"""Tools for developers: demo, benchmarks, capacity, packaging."""
