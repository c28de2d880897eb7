"""Header names: the product's own, and those that are not forwarded."""

import dataclasses
from collections.abc import Container, Iterable

__all__ = ['HOP_BY_HOP', 'NOT_FORWARDED', 'HeaderNames', 'encode_headers']

# RFC 9110, section 7.6.1: headers that apply to one connection only.
HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    }
)

# A forwarded message gets its own connection headers and body length.
NOT_FORWARDED = HOP_BY_HOP | {b'content-length'}


def encode_headers(
    headers: Iterable[tuple[bytes, bytes]], dropped: Container[bytes]
) -> bytes:
    """Encode headers, except those with the given lower-case names."""
    return b''.join(
        b'%s: %s\r\n' % (name, text)
        for name, text in headers
        if name.lower() not in dropped
    )


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names as they are sent; an empty name disables the header.

    Parameters
    ----------
    request_id : bytes
        Id of a caller's request; the target echoes it.
    deadline : bytes
        Time in ms for which the caller waits.
    target : bytes
        The target incarnation that alone may run the request.
    not_run : bytes
        Marks a target's answer to a request that it did not run.
    caller : bytes
        The service from whose host the request came.
    key : bytes
        The key of a request to a keyed service.
    answer_signature : bytes
        Present on every complete answer of a target; an answer without it is
        treated as incomplete.
    load : bytes
        Load that a target reports with its answers:
        ``running,waiting,slots[,pace]``.
    call_id_separator : str
        Separates, in the id of a nested call, the id of the request whose run
        makes the call from the rest; empty if ids do not contain it.
    """

    request_id: bytes = b'Idempotency-Key'
    deadline: bytes = b'X-Savoryhold-Timeout-Ms'
    target: bytes = b'X-Savoryhold-Target'
    not_run: bytes = b'X-Savoryhold-Not-Run'
    caller: bytes = b'X-Savoryhold-Caller'
    key: bytes = b'X-Savoryhold-Key'
    answer_signature: bytes = b''
    call_id_separator: str = ''
    load: bytes = b''
