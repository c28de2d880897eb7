"""Structured logs: one line of key=value pairs for each event.

Writing a line neither blocks nor raises, whatever its values hold.
"""

import logging
import os
import traceback
from collections import deque
from functools import partial
from typing import TextIO, cast

import structlog

__all__ = ['LineBuffer', 'Log', 'format_frames', 'get_log', 'set_up_logs']

Log = structlog.typing.FilteringBoundLogger

MAX_LINES = 2000  # buffered lines; further ones are dropped and counted
MAX_VALUE_CHARS = 2000  # of one value; the rest is cut off
TRACE_FRAMES = 4
PLAIN_TYPES = (bool, int, float, type(None))


class LineBuffer:
    """Buffer of log lines, written to a file without blocking.

    Parameters
    ----------
    fileno : int
        Open file; it is made non-blocking.
    """

    def __init__(self, fileno: int) -> None:
        self.lost_count = 0
        self._fileno = fileno
        self._lines: deque[bytes] = deque()
        os.set_blocking(fileno, False)

    def write(self, line: str) -> None:
        """Buffer a line, or drop and count it if the buffer is full."""
        if len(self._lines) >= MAX_LINES:
            self.lost_count += 1
        else:
            self._lines.append(line.encode(errors='backslashreplace'))

    def flush(self) -> None:
        """Write as much as the file accepts without blocking."""
        if not self._lines:
            return
        packed = b''.join(self._lines)
        try:
            written = os.write(self._fileno, packed)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the log.
            self.lost_count += len(self._lines)
            self._lines.clear()
            return
        self._lines.clear()
        if written < len(packed):
            self._lines.append(packed[written:])


def set_up_logs(fileno: int, level: int = logging.NOTSET) -> LineBuffer:
    """Configure logging of a level and above to a buffer.

    Parameters
    ----------
    fileno : int
        Open file to which the buffer is flushed.
    level : int
        Lowest level that is logged.

    Returns
    -------
    LineBuffer
        The buffer, which the caller flushes at the end.
    """
    lines = LineBuffer(fileno)
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.add_log_level,
            _make_printable,
            structlog.processors.LogfmtRenderer(
                key_order=['timestamp', 'level', 'event'],
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=partial(_make_logger, lines),
        cache_logger_on_first_use=True,
    )
    return lines


def get_log(**fields: str) -> Log:
    """Return a logger that adds these fields to each line."""
    log: Log = structlog.get_logger(**fields)
    return log


def format_frames(exc: BaseException | None) -> str:
    """Return file and line of an exception's last frames, innermost last."""
    if exc is None:
        return ''
    frames = traceback.extract_tb(exc.__traceback__)
    return ' '.join(
        f'{frame.filename.rpartition("/")[2]}:{frame.lineno}'
        for frame in frames[-TRACE_FRAMES:]
    )


def _make_logger(lines: LineBuffer, *names: str) -> structlog.WriteLogger:
    return structlog.WriteLogger(cast(TextIO, lines))


def _make_printable(
    logger: object, method: str, fields: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    """Replace values that would break a line, or that cannot be written."""
    return {name: _printable(found) for name, found in fields.items()}


def _printable(found: object) -> object:
    if isinstance(found, PLAIN_TYPES):
        return found
    try:
        text = str(found)
    except Exception:  # noqa: BLE001
        # A value that cannot be shown must not end whoever logs it.
        text = f'<{type(found).__name__}>'
    if len(text) > MAX_VALUE_CHARS:
        text = f'{text[:MAX_VALUE_CHARS]}... {len(text)} characters'
    if text.isprintable():
        return text
    return ''.join(
        char if char.isprintable() else ascii(char)[1:-1] for char in text
    )
