"""A router that sends each request to the one server that owns its key."""

__all__ = ['__version__']

__version__ = '0.1.0'
