"""Answers that are still arriving, and what waits for their end."""

from collections.abc import AsyncIterator, Callable

__all__ = ['HeldStream', 'close_stream']


class HeldStream:
    """An iterator over chunks that reports once when it ends.

    Parameters
    ----------
    source : async iterator of bytes
        Where the chunks come from.
    on_end : callable
        Called once, however the iteration ends.
    """

    def __init__(
        self, source: AsyncIterator[bytes], on_end: Callable[[], None]
    ) -> None:
        self._source = source
        self._on_end = on_end
        self._ended = False

    def __aiter__(self) -> 'HeldStream':
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
        """End the iteration early."""
        self._end()
        await close_stream(self._source)

    def _end(self) -> None:
        if not self._ended:
            self._ended = True
            self._on_end()


async def close_stream(stream: AsyncIterator[bytes] | None) -> None:
    """Close a stream that may not have been read to its end."""
    closer = getattr(stream, 'aclose', None)
    if closer is not None:
        await closer()
