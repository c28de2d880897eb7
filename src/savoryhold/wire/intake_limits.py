"""Limits on callers other than the bytes of a request and its timeouts."""

import dataclasses

__all__ = ['IntakeLimits']

FD_SHARE = 0.6  # of the descriptors; targets, links and the store need others
MAX_CONNECTIONS = 10_000
CONTROL_SHARE = 0.1  # of the connections of callers
MAX_CONTROL_CONNECTIONS = 64  # of a port that callers do not use


@dataclasses.dataclass(frozen=True, slots=True)
class IntakeLimits:
    """Limits that no caller within the configured sizes and timeouts reaches.

    Parameters
    ----------
    max_header_lines : int
        Lines of a head; 16,384 bytes hold at most 4,096 lines.
    max_trailer_lines, max_trailer_bytes : int
        Lines and bytes of a trailer section.
    max_chunk_overhead : int
        Bytes of framing for each byte of a body; a chunk of one byte has 5.
    min_body_rate : int
        Bytes/s that a body must have brought on average, once it has taken
        longer than ``idle_timeout_ms``.
    max_connections : int
        Open connections of callers; 0: 0.6 of ``max_fds``, or 10,000.
    max_connections_per_address : int
        The same for each address.
    max_unfinished, max_unfinished_per_address : int
        Requests whose end has not been read yet.
    max_unread_ms : int
        Time for which a caller may leave an answer unread.
    """

    max_header_lines: int = 4096
    max_trailer_lines: int = 4096
    max_trailer_bytes: int = 16_384
    max_chunk_overhead: int = 8
    min_body_rate: int = 256
    max_connections: int = 0
    max_connections_per_address: int = 4096
    max_unfinished: int = 4096
    max_unfinished_per_address: int = 2048
    max_unread_ms: int = 15_000

    def with_fds(self, max_fds: int) -> 'IntakeLimits':
        """Return these limits with a number of connections."""
        if self.max_connections:
            return self
        count = round(max_fds * FD_SHARE) or MAX_CONNECTIONS
        return dataclasses.replace(self, max_connections=count)

    def for_control_port(self) -> 'IntakeLimits':
        """Return these limits for a port that callers do not use."""
        share = round(self.max_connections * CONTROL_SHARE)
        most = min(MAX_CONTROL_CONNECTIONS, share or MAX_CONTROL_CONNECTIONS)
        return dataclasses.replace(self, max_connections=most)
