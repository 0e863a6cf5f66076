"""A proxy fleet for upstreams that fail grayly."""

__version__ = "0.1.0"
