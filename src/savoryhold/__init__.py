"""A router for servers that own their keys outright."""

__all__ = ['__version__']

__version__ = '0.1.0'
