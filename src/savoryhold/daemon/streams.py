"""Bodies of answers that are still arriving."""

from collections.abc import AsyncIterator, Callable

__all__ = ['TrackedStream', 'close_stream']


class TrackedStream:
    """An iterator over chunks with a callback for its end.

    Parameters
    ----------
    source : async iterator of bytes
        The chunks.
    on_end : callable
        Called once, when the iteration is exhausted, fails or is closed.
    """

    def __init__(
        self, source: AsyncIterator[bytes], on_end: Callable[[], None]
    ) -> None:
        self._source = source
        self._on_end = on_end
        self._ended = False

    def __aiter__(self) -> 'TrackedStream':
        """Return the iterator itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk."""
        try:
            return await anext(self._source)
        except BaseException:
            self._end()
            raise

    async def aclose(self) -> None:
        """Stop the iteration and close the source."""
        self._end()
        await close_stream(self._source)

    def _end(self) -> None:
        if not self._ended:
            self._ended = True
            self._on_end()


async def close_stream(stream: AsyncIterator[bytes] | None) -> None:
    """Close a stream of chunks, also one that was not read to its end."""
    closer = getattr(stream, 'aclose', None)
    if closer is not None:
        await closer()
