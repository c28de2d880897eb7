"""The handshake of a link, in which both ends prove that they know a secret."""

import hmac
import secrets

from savoryhold.core.errors import MalformedMessageError
from savoryhold.peer import messages
from savoryhold.peer.endpoint import Endpoint
from savoryhold.peer.frames import Frame

__all__ = ['MAX_HANDSHAKE_BYTES', 'Handshake']

NONCE_BYTES = 16
MAX_HANDSHAKE_BYTES = 1024


class Handshake:
    """One end of a handshake.

    Parameters
    ----------
    endpoint : Endpoint
        Ids and secret of this process.
    dialled : bool
        Whether this end opened the connection.

    Notes
    -----
    Each end proves that it knows the secret by an HMAC-SHA256 over the other
    end's nonce.
    """

    def __init__(self, endpoint: Endpoint, *, dialled: bool) -> None:
        self._endpoint = endpoint
        self._dialled = dialled
        self._nonce = secrets.token_hex(NONCE_BYTES)

    def challenge(self) -> messages.Message:
        """Return the first message, which the accepting end sends."""
        return messages.Challenge(nonce=self._nonce)

    def check_frame(self, frame: Frame) -> None:
        """Raise `MalformedMessageError` if a frame is not of a handshake."""
        small = len(frame.payload) <= MAX_HANDSHAKE_BYTES
        if not small or not messages.is_handshake(frame.code):
            raise MalformedMessageError('link does not start with a handshake')

    def reply_to(self, message: messages.Message) -> messages.Message | None:
        """Return the next message to send, if there is one.

        Raises
        ------
        MalformedMessageError
            If the message is out of order or does not prove the secret.
        """
        node, life = self._endpoint.node, self._endpoint.life
        if isinstance(message, messages.Challenge) and self._dialled:
            mac = self._mac(message.nonce, node)
            return messages.Hello(
                node=node, nonce=self._nonce, mac=mac, life=life
            )
        if isinstance(message, messages.Hello) and not self._dialled:
            self._authenticate(message)
            mac = self._mac(message.nonce, node)
            return messages.Welcome(node=node, mac=mac, life=life)
        if isinstance(message, messages.Welcome) and self._dialled:
            self._authenticate(message)
            return None
        name = type(message).__name__
        raise MalformedMessageError(f'{name} is out of order in the handshake')

    def _authenticate(self, message: messages.Message) -> None:
        node = message.node
        expected = self._mac(self._nonce, node)
        if not hmac.compare_digest(
            str(message.mac).encode(), expected.encode()
        ):
            raise MalformedMessageError(
                f'handshake of {node!r} does not prove the shared secret'
            )

    def _mac(self, nonce: str, node: str) -> str:
        text = f'{nonce}|{node}'.encode()
        return hmac.new(self._endpoint.secret, text, 'sha256').hexdigest()
