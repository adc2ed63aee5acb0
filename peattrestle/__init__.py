"""A call router that routes and admits calls in a network of exchanges."""

__version__ = "0.2.0"
