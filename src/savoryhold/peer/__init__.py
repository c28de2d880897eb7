"""Links between daemons: frames, messages and connections."""

from savoryhold.peer.frames import Frame, FrameReader, pack_frame
from savoryhold.peer.link import Endpoint, Link, LinkStream
from savoryhold.peer.pool import PeerPool
from savoryhold.peer.stream import Carrier

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
