"""Names of the headers that carry the product's own fields."""

import dataclasses
from collections.abc import Container, Iterable

__all__ = ['HOP_BY_HOP', 'NOT_FORWARDED', 'HeaderNames', 'encode_headers']

# RFC 9110, section 7.6.1: these concern one connection only.
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

# What concerns neither the next connection nor the length of a body.
NOT_FORWARDED = HOP_BY_HOP | {b'content-length'}


def encode_headers(
    headers: Iterable[tuple[bytes, bytes]], dropped: Container[bytes]
) -> bytes:
    """Return header lines without some names, which are in lower case."""
    return b''.join(
        b'%s: %s\r\n' % (name, text)
        for name, text in headers
        if name.lower() not in dropped
    )


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names as they are sent; an empty name is not used.

    Parameters
    ----------
    request_id : bytes
        Id of a caller's request, echoed by the target.
    deadline : bytes
        How many ms the caller waits.
    target : bytes
        The life of the target that alone may run the request.
    not_run : bytes
        Present on a target's answer to a request that it did not run.
    caller : bytes
        The service beside which the request began.
    key : bytes
        The key of a request to a keyed service.
    answer_signature : bytes
        What a target's whole answer carries; an answer without is not one.
    call_id_separator : str
        Stands in the id of a call between the id of the run that makes it
        and the rest; empty if ids of calls do not name their runs.
    """

    request_id: bytes = b'Idempotency-Key'
    deadline: bytes = b'X-Savoryhold-Timeout-Ms'
    target: bytes = b'X-Savoryhold-Target'
    not_run: bytes = b'X-Savoryhold-Not-Run'
    caller: bytes = b'X-Savoryhold-Caller'
    key: bytes = b'X-Savoryhold-Key'
    answer_signature: bytes = b''
    call_id_separator: str = ''
