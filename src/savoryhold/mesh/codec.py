"""Conversion between typed values and messages between nodes."""

import json
from typing import Any, cast

from savoryhold.core.decoding import UNREADABLE, parse_json
from savoryhold.core.errors import (
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
from savoryhold.core.poison import Fingerprint, fingerprint_of
from savoryhold.core.verdict import Verdict
from savoryhold.mesh.members import NodeStatus
from savoryhold.mesh.requests import (
    MovedError,
    RelayedAnswer,
    RelayedRequest,
)
from savoryhold.peer import messages
from savoryhold.peer.packing import MAX_STATE_BYTES, pack, unpack
from savoryhold.ranges import (
    RangeTable,
    ReleaseConfirmation,
    rows_from_fields,
    rows_to_fields,
)

__all__ = [
    'answer_from_message',
    'as_bytes',
    'confirmation_message',
    'error_message',
    'relay_message',
    'request_from_message',
    'status_from_message',
    'table_delta_message',
    'table_from_message',
    'table_message',
]


def status_from_message(message: messages.Message) -> NodeStatus:
    """Decode a status."""
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
        _zones(message.silent_zones),
        message.sent_at or 0,
        message.config_version or 0,
        tuple(
            (ServiceName(entry.service_name), Version(entry.version))
            for entry in message.tables or ()
        ),
        message.config_at or 0,
        message.config_age_ms or 0,
        message.pace or 1.0,
        1.0 if message.acceptance is None else message.acceptance,
        message.work_ms or 0.0,
        _zones(message.evacuated),
        message.evacuated_at or 0,
    )


def _zones(names: list[str] | None) -> frozenset[Zone]:
    return frozenset(Zone(name) for name in names or ())


def table_message(table: RangeTable) -> messages.Message:
    """Encode a whole table."""
    body, packed = pack(_to_json(rows_to_fields(table.rows)))
    return messages.TableUpdate(
        service_name=table.service,
        version=table.version,
        rows=body,
        packed=packed,
        lives=sorted(table.lives),
    )


def table_delta_message(
    table: RangeTable, older: RangeTable
) -> messages.Message:
    """Encode the rows of a table that an older version lacks."""
    return messages.TableUpdate(
        service_name=table.service,
        version=table.version,
        rows=_to_json(rows_to_fields(table.rows_changed_since(older))),
        base=older.version,
    )


def table_from_message(
    message: messages.Message, local_copy: RangeTable | None
) -> RangeTable | None:
    """Decode a table.

    Parameters
    ----------
    message : Message
        A whole table, or its difference from an older version.
    local_copy : RangeTable or None
        This node's copy, to which a difference is applied.

    Returns
    -------
    RangeTable or None
        None if the message holds no readable table, or a difference from
        another version than `local_copy`.
    """
    if not isinstance(message, messages.TableUpdate) or not message.rows:
        return None
    try:
        return _decode_table(message, local_copy)
    except UNREADABLE:
        # The table can still be read from the store.
        return None


def _decode_table(
    message: messages.Message, local_copy: RangeTable | None
) -> RangeTable | None:
    service = ServiceName(message.service_name)
    version = Version(message.version)
    text = unpack(
        as_bytes(message.rows),
        packed=bool(message.packed),
        most=MAX_STATE_BYTES,
    )
    fields = parse_json(text)
    if not message.base:
        return RangeTable.from_fields(service, version, fields, message.lives)
    if local_copy is None or local_copy.version != message.base:
        return None
    return local_copy.with_rows(version, rows_from_fields(fields))


def _to_json(fields: Any) -> bytes:
    return json.dumps(fields, separators=(',', ':')).encode()


def relay_message(req: RelayedRequest, now: int) -> messages.Message:
    """Encode a request, with its times relative to now."""
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
        regions=sorted(req.regions),
        nested=req.nested,
        returning=req.returning,
        origin=req.origin,
        expected_ms=req.expected_ms,
        fingerprint=req.fingerprint,
    )


def request_from_message(
    message: messages.Message, sent_at: int
) -> RelayedRequest:
    """Decode a request.

    Parameters
    ----------
    message : Message
        The message as received.
    sent_at : int
        Estimated time of sending, in ms of this host's clock.
    """
    return RelayedRequest(
        RequestId(message.request_id),
        ServiceName(message.service_name),
        message.key,
        message.route,
        as_bytes(message.method),
        as_bytes(message.path),
        as_bytes(message.head),
        as_bytes(message.body),
        sent_at + message.left_ms,
        sent_at + message.aim_ms,
        message.priority,
        bool(message.repeatable),
        _fingerprint(message),
        bool(message.repeat),
        frozenset(Region(name) for name in message.regions or ()),
        bool(message.nested),
        bool(message.returning),
        NodeId(message.origin or ''),
        message.expected_ms or 0.0,
    )


def _fingerprint(message: messages.Message) -> Fingerprint:
    """Return the fingerprint of a request, which older versions do not send."""
    if message.fingerprint:
        return Fingerprint(message.fingerprint)
    return fingerprint_of(
        message.service_name,
        as_bytes(message.method).decode('latin-1'),
        as_bytes(message.path).decode('latin-1'),
        as_bytes(message.body),
    )


def answer_from_message(message: messages.Message) -> RelayedAnswer:
    """Decode an answer.

    Raises
    ------
    RequestError
        If the message holds an error.
    """
    if not isinstance(message, messages.RelayAnswer):
        raise UncertainError(
            f'expected RelayAnswer, got {type(message).__name__}'
        )
    if message.failed:
        raise _decode_error(message)
    return RelayedAnswer(
        message.status,
        as_bytes(message.head),
        as_bytes(message.body),
        message.ran_ms or 0,
        message.room_ms or 0.0,
    )


def error_message(exc: RequestError) -> messages.Message:
    """Encode an error and its verdict."""
    return messages.RelayAnswer(
        status=exc.status,
        failed=True,
        verdict=exc.verdict.value,
        code=exc.code,
        text=str(exc),
        retry_after_ms=exc.retry_after_ms,
        owner=exc.owner if isinstance(exc, MovedError) else '',
        room_ms=exc.room_ms,
    )


def confirmation_message(
    confirmation: ReleaseConfirmation | None,
) -> messages.Message:
    """Encode the reply to a `ReleaseQuery`."""
    if confirmation is None:
        return messages.ReleaseReply(known=False)
    return messages.ReleaseReply(
        known=True,
        releases=[
            messages.ReleaseRow(
                first=release.span.first,
                last=release.span.last,
                token=release.token,
            )
            for release in confirmation.releases
        ],
    )


def _decode_error(message: messages.Message) -> RequestError:
    exc: RequestError
    if message.owner:
        return MovedError(message.text, NodeId(message.owner))
    if message.verdict == Verdict.NOT_RUN.value:
        exc = OverloadError(message.text, message.retry_after_ms or 0)
    else:
        exc = UncertainError(message.text)
    exc.status = message.status
    exc.code = message.code
    exc.room_ms = message.room_ms or 0.0
    return exc


def as_bytes(field: Any) -> bytes:
    """Return a binary field of a message."""
    # The thrift decoder returns text or None for an empty binary field.
    if isinstance(field, (bytes, bytearray)):
        # An array that nobody changes any more serves as bytes.
        return cast(bytes, field)
    return (field or '').encode('latin-1')
