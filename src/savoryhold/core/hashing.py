"""The hash of text that the whole project uses."""

import xxhash

__all__ = ['hash64']


def hash64(text: str) -> int:
    """Return an unsigned 64-bit hash (XXH3) of a text."""
    return xxhash.xxh3_64_intdigest(text.encode())
