"""Structured logs: one line of key=value pairs for each event."""

import logging
import sys

import structlog

__all__ = ['Log', 'get_log', 'set_up_logs']

Log = structlog.typing.FilteringBoundLogger


def set_up_logs(level: int = logging.INFO) -> None:
    """Write log lines of this level and above to standard error."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.add_log_level,
            structlog.processors.LogfmtRenderer(
                key_order=['timestamp', 'level', 'event'],
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def get_log(**fields: str) -> Log:
    """Return a logger that adds these fields to each line."""
    log: Log = structlog.get_logger(**fields)
    return log
