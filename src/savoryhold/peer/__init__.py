"""Multiplexed connections between nodes, their frames and messages."""

from savoryhold.peer.endpoint import Endpoint
from savoryhold.peer.frames import Frame, FrameReader, pack_frame
from savoryhold.peer.link import Link
from savoryhold.peer.pool import PeerPool
from savoryhold.peer.stream import Carrier, LinkStream

__all__ = [
    'Carrier',
    'Endpoint',
    'Frame',
    'FrameReader',
    'Link',
    'LinkStream',
    'PeerPool',
    'pack_frame',
]
