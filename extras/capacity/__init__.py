"""Capacity: slopes measured here, and the page worked out from them."""
