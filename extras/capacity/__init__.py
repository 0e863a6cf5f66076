"""Capacity: measured slopes, and the page that is computed from them."""
