"""Conversions between typed values and the messages of peer links."""

from savoryhold.core.clock import Clock
from savoryhold.core.configuration import ServiceClass
from savoryhold.core.errors import RequestError
from savoryhold.core.routed_request import Headers, RoutedAnswer, RoutedRequest
from savoryhold.core.gossip import ObjectUpdate
from savoryhold.core.ids import (
    ObjectName,
    Region,
    RequestId,
    ServiceName,
    ShardId,
    ShardKey,
    Version,
)
from savoryhold.core.ledger import StoredAnswer, LedgerEntry, LedgerState
from savoryhold.core.poison import Fingerprint
from savoryhold.core.verdict import Verdict
from savoryhold.peer import messages

__all__ = [
    'answer_headers',
    'from_forward',
    'from_ledger_item',
    'ledger_id',
    'update_from_message',
    'update_to_message',
    'to_answer',
    'to_error_answer',
    'to_forward',
    'to_ledger_item',
]

NO_SHARD = -1


def update_from_message(entry: messages.Message) -> ObjectUpdate:
    """Return the version of an object that a message entry holds."""
    text = None if entry.deleted else entry.text
    return ObjectUpdate(ObjectName(entry.name), Version(entry.version), text)


def update_to_message(item: ObjectUpdate) -> messages.Message:
    """Return the message entry of a version of an object."""
    return messages.ObjectUpdate(
        name=item.name,
        version=item.version,
        deleted=item.text is None,
        text=item.text or '',
    )


def to_forward(req: RoutedRequest, now: int) -> messages.Message:
    """Return the message that forwards a request."""
    return messages.Forward(
        request_id=req.request,
        service_name=req.service,
        shard=NO_SHARD if req.shard is None else req.shard.shard,
        key=req.key,
        method=req.method,
        path=req.path,
        headers=_headers_out(req.headers),
        body=req.body,
        timeout_ms=max(req.deadline - now, 0),
        idempotent=req.idempotent,
        service_class=req.service_class.value,
        fingerprint=req.fingerprint,
        region=req.region,
    )


def from_forward(message: messages.Message, clock: Clock) -> RoutedRequest:
    """Return the request that a peer forwarded."""
    service = ServiceName(message.service_name)
    shard = None
    if message.shard != NO_SHARD:
        shard = ShardKey(service, ShardId(message.shard))
    return RoutedRequest(
        RequestId(message.request_id),
        service,
        shard,
        message.key,
        message.method,
        message.path,
        _headers_in(message.headers),
        message.body or b'',
        clock.now() + message.timeout_ms,
        message.idempotent,
        ServiceClass(message.service_class),
        Fingerprint(message.fingerprint),
        Region(message.region),
    )


def to_answer(answer: RoutedAnswer) -> messages.Message:
    """Return the first message of an answer; chunks may follow it."""
    return messages.Answer(
        status=answer.status,
        headers=_headers_out(answer.headers),
        body=answer.body,
        more=answer.rest is not None,
        verdict=Verdict.DONE.value,
    )


def to_error_answer(exc: RequestError) -> messages.Message:
    """Return the answer message that reports an error."""
    return messages.Answer(
        status=exc.status,
        headers=[],
        body=b'',
        more=False,
        verdict=exc.verdict.value,
        code=exc.code,
        text=str(exc),
        retry_after_ms=exc.retry_after_ms,
    )


def answer_headers(message: messages.Message) -> Headers:
    """Return the headers that an answer message holds."""
    return _headers_in(message.headers)


def ledger_id(key: ShardKey, request: RequestId) -> messages.Message:
    """Return the message entry of a request id in a shard's ledger."""
    return messages.LedgerId(
        service_name=key.service, shard=key.shard, request_id=request
    )


def to_ledger_item(entry: LedgerEntry, now: int) -> messages.Message:
    """Return the message entry of a ledger entry."""
    item = messages.LedgerItem(
        id=ledger_id(entry.key, entry.request),
        age_ms=max(now - entry.at, 0),
        done=entry.answer is not None,
    )
    if entry.answer is not None:
        item.status = entry.answer.status
        item.headers = _headers_out(entry.answer.headers)
        item.body = entry.answer.body
    return item


def from_ledger_item(item: messages.Message, now: int) -> LedgerEntry:
    """Return the ledger entry that a message entry holds."""
    key = ShardKey(ServiceName(item.id.service_name), ShardId(item.id.shard))
    answer = None
    if item.done:
        answer = StoredAnswer(
            item.status, _headers_in(item.headers), item.body or b''
        )
    state = LedgerState.DONE if item.done else LedgerState.UNKNOWN
    return LedgerEntry(
        key, RequestId(item.id.request_id), state, now - item.age_ms, answer
    )


def _headers_out(headers: Headers) -> list[messages.Message]:
    return [messages.Header(name=name, content=text) for name, text in headers]


def _headers_in(headers: list[messages.Message] | None) -> Headers:
    return tuple((entry.name, entry.content) for entry in headers or ())
