"""Typed messages between nodes, and their codes on the wire.

`thriftpy2` reads the structs from ``messages.thrift`` when this module is
imported, so there is no generated code.
"""

import pathlib
import struct
from typing import Any

import thriftpy2
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from savoryhold.core.errors import MalformedMessageError
from savoryhold.peer.bodies import append_body, cut_body
from savoryhold.peer.frames import LARGE_BYTES

__all__ = [
    'Ack',
    'Answer',
    'CallEnded',
    'Cancel',
    'Challenge',
    'Chunk',
    'ConfigUpdate',
    'Credit',
    'DigestSwap',
    'Forward',
    'HandoverOrder',
    'Header',
    'Heartbeat',
    'Hello',
    'LedgerAppend',
    'LedgerHandover',
    'LedgerId',
    'LedgerItem',
    'LinkTakeover',
    'LoadQuery',
    'MemberDigest',
    'MembersQuery',
    'MeshPull',
    'MeshStatus',
    'Message',
    'NodeLoad',
    'ObjectUpdate',
    'ObjectUpdateBatch',
    'OperatorCommand',
    'Probe',
    'Promise',
    'Proof',
    'ProofQuery',
    'Pull',
    'PullAnswer',
    'Relay',
    'RelayAnswer',
    'ReleaseQuery',
    'ReleaseReply',
    'ReleaseRow',
    'ShareRequest',
    'StrikeNotice',
    'TableRequest',
    'TableUpdate',
    'TableVersion',
    'TableWritten',
    'VersionEntry',
    'Welcome',
    'ZoneBroadcast',
    'code_of',
    'decode',
    'encode',
    'encode_parts',
    'is_handshake',
]

Message = Any

_structs = thriftpy2.load(
    str(pathlib.Path(__file__).with_name('messages.thrift')),
    module_name='savoryhold_messages_thrift',
)

Ack = _structs.Ack
Answer = _structs.Answer
Cancel = _structs.Cancel
Challenge = _structs.Challenge
Chunk = _structs.Chunk
Credit = _structs.Credit
DigestSwap = _structs.DigestSwap
Forward = _structs.Forward
Header = _structs.Header
Heartbeat = _structs.Heartbeat
Hello = _structs.Hello
LedgerAppend = _structs.LedgerAppend
LedgerHandover = _structs.LedgerHandover
LedgerId = _structs.LedgerId
LedgerItem = _structs.LedgerItem
LoadQuery = _structs.LoadQuery
ShareRequest = _structs.ShareRequest
ObjectUpdate = _structs.ObjectUpdate
ObjectUpdateBatch = _structs.ObjectUpdateBatch
NodeLoad = _structs.NodeLoad
OperatorCommand = _structs.OperatorCommand
Probe = _structs.Probe
Promise = _structs.Promise
Pull = _structs.Pull
PullAnswer = _structs.PullAnswer
StrikeNotice = _structs.StrikeNotice
VersionEntry = _structs.VersionEntry
Welcome = _structs.Welcome
Relay = _structs.Relay
RelayAnswer = _structs.RelayAnswer
TableVersion = _structs.TableVersion
MeshStatus = _structs.MeshStatus
TableUpdate = _structs.TableUpdate
ConfigUpdate = _structs.ConfigUpdate
MeshPull = _structs.MeshPull
ProofQuery = _structs.ProofQuery
Proof = _structs.Proof
ReleaseQuery = _structs.ReleaseQuery
ReleaseRow = _structs.ReleaseRow
ReleaseReply = _structs.ReleaseReply
HandoverOrder = _structs.HandoverOrder
LinkTakeover = _structs.LinkTakeover
CallEnded = _structs.CallEnded
MemberDigest = _structs.MemberDigest
MembersQuery = _structs.MembersQuery
ZoneBroadcast = _structs.ZoneBroadcast
TableRequest = _structs.TableRequest
TableWritten = _structs.TableWritten

_BY_CODE = dict(
    enumerate(
        (
            Challenge,
            Hello,
            Welcome,
            Ack,
            Probe,
            Cancel,
            Credit,
            Forward,
            Answer,
            Chunk,
            Heartbeat,
            Promise,
            ObjectUpdateBatch,
            DigestSwap,
            Pull,
            PullAnswer,
            LedgerAppend,
            LedgerHandover,
            StrikeNotice,
            ShareRequest,
            OperatorCommand,
            LoadQuery,
            NodeLoad,
            Relay,
            RelayAnswer,
            MeshStatus,
            TableUpdate,
            ConfigUpdate,
            MeshPull,
            ProofQuery,
            Proof,
            ReleaseQuery,
            ReleaseReply,
            HandoverOrder,
            LinkTakeover,
            CallEnded,
            MemberDigest,
            MembersQuery,
            ZoneBroadcast,
            TableRequest,
            TableWritten,
        ),
        start=1,
    )
)
_CODES = {kind: code for code, kind in _BY_CODE.items()}
_HANDSHAKE = frozenset({Challenge, Hello, Welcome})
_BODY_FIELDS = {Relay: 8, RelayAnswer: 3}
_ENCODER = TCyBinaryProtocolFactory()  # type: ignore[no-untyped-call]
_STRING_FIELD = struct.Struct('!BHI')
_STRING_TYPE = 11


def code_of(message: Message) -> int:
    """Return the wire code of a message's type."""
    return _CODES[type(message)]


def is_handshake(code: int) -> bool:
    """Return whether a code belongs to a message of the handshake."""
    return _BY_CODE.get(code) in _HANDSHAKE


def encode(message: Message) -> bytes:
    """Serialize a message."""
    encoded: bytes = serialize(message, _ENCODER)
    return encoded


def encode_parts(message: Message) -> tuple[bytes, ...]:
    """Serialize a message into parts, of which one is a large body."""
    field = _BODY_FIELDS.get(type(message))
    body = getattr(message, 'body', None)
    if field is None or not body or len(body) < LARGE_BYTES:
        return (encode(message),)
    message.body = None
    try:
        return append_body(encode(message), field, body)
    finally:
        message.body = body


def decode(code: int, payload: bytes) -> Message:
    """Deserialize a message; a large payload is used up.

    Raises
    ------
    MalformedMessageError
        If the code is unknown or the payload does not decode.
    """
    kind = _BY_CODE.get(code)
    if kind is None:
        raise MalformedMessageError(f'message code {code} is unknown')
    if is_handshake(code):
        _check_strings(payload)
    body = None
    field = _BODY_FIELDS.get(kind)
    if field is not None and isinstance(payload, bytearray):
        payload, body = cut_body(payload, field)
    message = _deserialize(kind, bytes(payload))
    if body is not None:
        message.body = body
    return message


def _deserialize(kind: type, payload: bytes) -> Message:
    try:
        return deserialize(kind(), payload, _ENCODER)
    except Exception as exc:
        raise MalformedMessageError(f'{kind.__name__}: {exc!r}') from exc


def _check_strings(payload: bytes) -> None:
    # The decoder loops forever on some malformed input.  A payload from a
    # peer that is not authenticated yet must therefore consist of complete
    # string fields only.
    place = 0
    while len(payload) - place >= _STRING_FIELD.size:
        kind, _, size = _STRING_FIELD.unpack_from(payload, place)
        if kind != _STRING_TYPE:
            break
        place += _STRING_FIELD.size + size
    if payload[place:] != b'\0':
        raise MalformedMessageError(
            'handshake message does not consist of complete string fields'
        )
