"""Encoding of digests: the statuses of many nodes in one message."""

import dataclasses
import functools
import json
from collections.abc import Callable, Iterable
from typing import Any

from savoryhold.core.decoding import (
    UNREADABLE,
    host_port,
    parse_json,
    whole_number,
)
from savoryhold.core.ids import ServiceName, Version
from savoryhold.mesh.members import Member, NodeStatus
from savoryhold.peer import messages
from savoryhold.peer.packing import MAX_STATE_BYTES, pack, unpack

__all__ = ['digest_message', 'statuses_from_digest']

FLOAT_DIGITS = 2
OPTIONAL_FIELDS = 5  # the last ones; those with their defaults are left out
MAX_ADDRESSES = 4096  # whose check is remembered, several times a fleet


def digest_message(
    members: Iterable[Member], now: int, *, forwarded: bool
) -> messages.Message:
    """Encode the statuses of some nodes, each with its age.

    Parameters
    ----------
    members : iterable of Member
        The nodes.
    now : int
        Time in ms.
    forwarded : bool
        Whether the receivers are in the zone of the sender, which passes on
        what it was told by other zones.
    """
    entries = [
        _to_fields(member.status, now - member.received_at)
        for member in members
    ]
    text = json.dumps(entries, separators=(',', ':'), default=sorted).encode()
    body, packed = pack(text)
    return messages.MemberDigest(
        entries=body, packed=packed, forwarded=forwarded
    )


def statuses_from_digest(
    digest: messages.Message, received_at: int
) -> list[tuple[NodeStatus, int]]:
    """Decode a digest; leave out entries that cannot be read.

    Parameters
    ----------
    digest : Message
        The message as received.
    received_at : int
        Time of receipt in ms.

    Returns
    -------
    list of (NodeStatus, int)
        Each status, and when a node of its zone received it, in ms.
    """
    found = []
    try:
        body = digest.entries or b''
        text = body if isinstance(body, bytes) else body.encode()
        entries = parse_json(
            unpack(text, packed=bool(digest.packed), most=MAX_STATE_BYTES)
        )
    except UNREADABLE:
        # The next digest replaces this one.
        return []
    for entry in entries if isinstance(entries, list) else ():
        try:
            status, age_ms = _from_fields(entry)
        except UNREADABLE:
            continue
        found.append((status, received_at - age_ms))
    return found


def _to_fields(status: NodeStatus, age_ms: int) -> list[Any]:
    names = list(_DECODERS)
    optional = names[-OPTIONAL_FIELDS:]
    while optional and getattr(status, names[-1]) == _DEFAULTS[optional.pop()]:
        names.pop()
    fields = [_rounded(getattr(status, name)) for name in names]
    return [max(0, age_ms), *fields]


def _rounded(field: Any) -> Any:
    return round(field, FLOAT_DIGITS) if isinstance(field, float) else field


def _from_fields(fields: list[Any]) -> tuple[NodeStatus, int]:
    age_ms, *entries = fields
    if not _FEWEST_FIELDS <= len(entries) <= len(_DECODERS):
        raise ValueError(f'an entry of a digest has {len(entries)} fields')
    decoded = {
        name: decode(entry)
        for (name, decode), entry in zip(
            _DECODERS.items(), entries, strict=False
        )
    }
    return NodeStatus(**decoded), whole_number(age_ms)


def _versions(entries: Any) -> tuple[tuple[ServiceName, Version], ...]:
    return tuple(
        (ServiceName(str(name)), Version(whole_number(version)))
        for name, version in entries
    )


_address = functools.lru_cache(MAX_ADDRESSES)(host_port)
# The fields of an entry, in their order behind its age.
_DECODERS: dict[str, Callable[[Any], Any]] = {
    'node': str,
    'address': _address,
    'service': str,
    'zone': str,
    'region': str,
    'slots': whole_number,
    'wait_ms': float,
    'demand': float,
    'keys': whole_number,
    'ready': bool,
    'leaving': bool,
    'life': whole_number,
    'silent': frozenset,
    'store_lost': bool,
    'silent_zones': frozenset,
    'sent_at': whole_number,
    'config_version': whole_number,
    'tables': _versions,
    'config_at': whole_number,
    'config_age_ms': whole_number,
    'pace': float,
    'acceptance': float,
    'work_ms': float,
    'evacuated': frozenset,
    'evacuated_at': whole_number,
}
_FEWEST_FIELDS = len(_DECODERS) - OPTIONAL_FIELDS
_DEFAULTS = {
    field.name: field.default for field in dataclasses.fields(NodeStatus)
}
