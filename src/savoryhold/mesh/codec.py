"""Typed values to messages between nodes, and back."""

import json
from typing import Any

from savoryhold.core.errors import (
    MalformedMessageError,
    OverloadError,
    RequestError,
    UncertainError,
)
from savoryhold.core.ids import (
    NodeId,
    Region,
    RequestId,
    ServiceName,
    Version,
    Zone,
)
from savoryhold.core.poison import fingerprint_of
from savoryhold.core.verdict import Verdict
from savoryhold.mesh.members import NodeStatus
from savoryhold.mesh.requests import (
    MovedError,
    RelayedAnswer,
    RelayedRequest,
)
from savoryhold.peer import messages
from savoryhold.peer.packing import pack, unpack
from savoryhold.ranges import (
    ReleaseConfirmation,
    RangeTable,
    rows_from_fields,
    rows_to_fields,
)

__all__ = [
    'answer_of',
    'error_message',
    'relay_message',
    'request_of',
    'status_of',
    'table_change',
    'table_news',
    'table_of_news',
    'word_message',
]


def status_of(message: messages.Message) -> NodeStatus:
    """Return the status that a message holds."""
    return NodeStatus(
        NodeId(message.node),
        message.address,
        ServiceName(message.service_name),
        Zone(message.zone),
        Region(message.region),
        message.slots or 0,
        message.wait_ms or 0.0,
        message.demand or 0.0,
        message.keys or 0,
        bool(message.ready),
        bool(message.leaving),
        message.life or 0,
        frozenset(NodeId(name) for name in message.silent or ()),
        bool(message.store_lost),
    )


def table_news(table: RangeTable) -> messages.Message:
    """Return the message that brings a whole table."""
    body, packed = pack(_json(rows_to_fields(table.rows)))
    return messages.TableUpdate(
        service_name=table.service,
        version=table.version,
        rows=body,
        packed=packed,
        lives=sorted(table.lives),
    )


def table_change(table: RangeTable, older: RangeTable) -> messages.Message:
    """Return the message that brings what differs from an older version."""
    return messages.TableUpdate(
        service_name=table.service,
        version=table.version,
        rows=_json(rows_to_fields(table.rows_changed_since(older))),
        base=older.version,
    )


def table_of_news(
    message: messages.Message, known: RangeTable | None
) -> RangeTable | None:
    """Return the table that a message brings.

    Parameters
    ----------
    message : Message
        A whole table, or a change of one.
    known : RangeTable or None
        This node's copy.

    Returns
    -------
    RangeTable or None
        None if there is none, or if it changes another version.
    """
    if not isinstance(message, messages.TableUpdate) or not message.rows:
        return None
    try:
        return _read_news(message, known)
    except (ValueError, MalformedMessageError):
        # The store holds the table, too; this copy is only faster.
        return None


def _read_news(
    message: messages.Message, known: RangeTable | None
) -> RangeTable | None:
    service = ServiceName(message.service_name)
    version = Version(message.version)
    fields = json.loads(unpack(_raw(message.rows), packed=bool(message.packed)))
    if not message.base:
        return RangeTable.from_fields(service, version, fields, message.lives)
    if known is None or known.version != message.base:
        return None
    return known.with_rows(version, rows_from_fields(fields))


def _json(fields: Any) -> bytes:
    return json.dumps(fields, separators=(',', ':')).encode()


def relay_message(req: RelayedRequest, now: int) -> messages.Message:
    """Return the message that carries a request."""
    return messages.Relay(
        request_id=req.request,
        service_name=req.service,
        key=req.key,
        route=req.route,
        method=req.method,
        path=req.path,
        head=req.head,
        body=req.body,
        left_ms=req.deadline - now,
        aim_ms=req.aim_at - now,
        priority=req.priority,
        repeatable=req.repeatable,
        sent_at=now,
        repeat=req.repeat,
    )


def request_of(message: messages.Message, sent_at: int) -> RelayedRequest:
    """Return the request that a message carries.

    Parameters
    ----------
    message : Message
        As it was received.
    sent_at : int
        When it was sent, in ms of this host's clock.
    """
    return RelayedRequest(
        RequestId(message.request_id),
        ServiceName(message.service_name),
        message.key,
        message.route,
        _raw(message.method),
        _raw(message.path),
        _raw(message.head),
        _raw(message.body),
        sent_at + message.left_ms,
        sent_at + message.aim_ms,
        message.priority,
        bool(message.repeatable),
        fingerprint_of(
            message.service_name,
            _raw(message.method).decode('latin-1'),
            _raw(message.path).decode('latin-1'),
            _raw(message.body),
            message.key,
        ),
        bool(message.repeat),
    )


def answer_of(message: messages.Message) -> RelayedAnswer:
    """Return the answer that a message carries.

    Raises
    ------
    RequestError
        If it carries an error.
    """
    if not isinstance(message, messages.RelayAnswer):
        raise UncertainError(f'unexpected {type(message).__name__}')
    if message.failed:
        raise _error_of(message)
    return RelayedAnswer(message.status, _raw(message.head), _raw(message.body))


def error_message(exc: RequestError) -> messages.Message:
    """Return the message that carries an error with its verdict."""
    return messages.RelayAnswer(
        status=exc.status,
        failed=True,
        verdict=exc.verdict.value,
        code=exc.code,
        text=str(exc),
        retry_after_ms=exc.retry_after_ms,
        owner=exc.owner if isinstance(exc, MovedError) else '',
    )


def word_message(word: ReleaseConfirmation | None) -> messages.Message:
    """Return the message that carries a former owner's word."""
    if word is None:
        return messages.ReleaseReply(known=False)
    return messages.ReleaseReply(
        known=True,
        releases=[
            messages.ReleaseRow(
                first=release.span.first,
                last=release.span.last,
                token=release.token,
            )
            for release in word.releases
        ],
    )


def _error_of(message: messages.Message) -> RequestError:
    exc: RequestError
    if message.owner:
        return MovedError(message.text, NodeId(message.owner))
    if message.verdict == Verdict.NOT_RUN.value:
        exc = OverloadError(message.text, message.retry_after_ms or 0)
    else:
        exc = UncertainError(message.text)
    exc.status = message.status
    exc.code = message.code
    return exc


def _raw(field: Any) -> bytes:
    # An empty binary field comes back as text or None.
    if isinstance(field, bytes):
        return field
    return (field or '').encode('latin-1')
