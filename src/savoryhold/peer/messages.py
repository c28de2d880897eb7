"""Typed messages between daemons, and their codes on the wire.

The structs come from ``messages.thrift``, read by `thriftpy2` when this
module is imported, so that no generated code is needed.
"""

import pathlib
import struct
from typing import Any

import thriftpy2
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from savoryhold.core.errors import MalformedMessageError

__all__ = [
    'Ack',
    'Answer',
    'CallOver',
    'Cancel',
    'Challenge',
    'Chunk',
    'ConfigNews',
    'Credit',
    'DigestSwap',
    'Forward',
    'GiveOrder',
    'Header',
    'Heartbeat',
    'Hello',
    'LedgerAppend',
    'LedgerHandover',
    'LedgerId',
    'LedgerItem',
    'LoadQuery',
    'MeshPull',
    'MeshStatus',
    'Message',
    'MoveOffer',
    'News',
    'NewsBatch',
    'NodeLoad',
    'Order',
    'Probe',
    'Promise',
    'Proof',
    'ProofAsk',
    'Pull',
    'PullAnswer',
    'Relay',
    'RelayAnswer',
    'ReleaseRow',
    'StrikeNews',
    'TableNews',
    'TableVersion',
    'Takeover',
    'VersionEntry',
    'Welcome',
    'Word',
    'WordAsk',
    'code_of',
    'decode',
    'encode',
    'is_greeting',
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
MoveOffer = _structs.MoveOffer
News = _structs.News
NewsBatch = _structs.NewsBatch
NodeLoad = _structs.NodeLoad
Order = _structs.Order
Probe = _structs.Probe
Promise = _structs.Promise
Pull = _structs.Pull
PullAnswer = _structs.PullAnswer
StrikeNews = _structs.StrikeNews
VersionEntry = _structs.VersionEntry
Welcome = _structs.Welcome
Relay = _structs.Relay
RelayAnswer = _structs.RelayAnswer
TableVersion = _structs.TableVersion
MeshStatus = _structs.MeshStatus
TableNews = _structs.TableNews
ConfigNews = _structs.ConfigNews
MeshPull = _structs.MeshPull
ProofAsk = _structs.ProofAsk
Proof = _structs.Proof
WordAsk = _structs.WordAsk
ReleaseRow = _structs.ReleaseRow
Word = _structs.Word
GiveOrder = _structs.GiveOrder
Takeover = _structs.Takeover
CallOver = _structs.CallOver

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
            NewsBatch,
            DigestSwap,
            Pull,
            PullAnswer,
            LedgerAppend,
            LedgerHandover,
            StrikeNews,
            MoveOffer,
            Order,
            LoadQuery,
            NodeLoad,
            Relay,
            RelayAnswer,
            MeshStatus,
            TableNews,
            ConfigNews,
            MeshPull,
            ProofAsk,
            Proof,
            WordAsk,
            Word,
            GiveOrder,
            Takeover,
            CallOver,
        ),
        start=1,
    )
)
_CODES = {kind: code for code, kind in _BY_CODE.items()}
_GREETINGS = frozenset({Challenge, Hello, Welcome})
_ENCODER = TCyBinaryProtocolFactory()  # type: ignore[no-untyped-call]
_STRING_FIELD = struct.Struct('!BHI')
_STRING_TYPE = 11


def code_of(message: Message) -> int:
    """Return the code on the wire of a message's type."""
    return _CODES[type(message)]


def is_greeting(code: int) -> bool:
    """Return whether a code is of a message of the greeting."""
    return _BY_CODE.get(code) in _GREETINGS


def encode(message: Message) -> bytes:
    """Return the binary form of a message."""
    encoded: bytes = serialize(message, _ENCODER)
    return encoded


def decode(code: int, payload: bytes) -> Message:
    """Return the message that a payload holds.

    Raises
    ------
    MalformedMessageError
        If the code is unknown or the payload does not decode.
    """
    kind = _BY_CODE.get(code)
    if kind is None:
        raise MalformedMessageError(f'message code {code} is unknown')
    if is_greeting(code):
        _check_strings(payload)
    try:
        return deserialize(kind(), payload, _ENCODER)
    except Exception as exc:
        raise MalformedMessageError(f'{kind.__name__}: {exc!r}') from exc


def _check_strings(payload: bytes) -> None:
    # The decoder loops on some malformed input, so what comes from a peer
    # that has not proved the secret is checked to hold whole strings only.
    place = 0
    while len(payload) - place >= _STRING_FIELD.size:
        kind, _, size = _STRING_FIELD.unpack_from(payload, place)
        if kind != _STRING_TYPE:
            break
        place += _STRING_FIELD.size + size
    if payload[place:] != b'\0':
        raise MalformedMessageError('greeting is not made of whole strings')
