"""Calls of the local target: one request and its answer."""

from collections.abc import Callable
from functools import partial
from http import HTTPStatus

from savoryhold.core.clock import Clock
from savoryhold.core.errors import LinkError, RequestError, UncertainError
from savoryhold.mesh.local_target import LocalTarget
from savoryhold.mesh.requests import (
    BadAnswerError,
    CrashedError,
    RelayedAnswer,
    RelayedRequest,
    ShedError,
    TargetDownError,
    UnprovenRefusalError,
)
from savoryhold.ranges import TargetLife
from savoryhold.wire import (
    NOT_FORWARDED,
    ClientAnswer,
    ClientPool,
    HeaderNames,
    encode_headers,
)

__all__ = ['TargetCalls']

STATUS_OK = range(HTTPStatus.OK, HTTPStatus.MULTIPLE_CHOICES)
# To callers, these mean that the request has not run and never will.
NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
DOWN_RETRY_MS = 400
SHED_RETRY_MS = 25
SHED_SMOOTHING = 0.05
COPIED_BYTES = 65_536  # smaller bodies are joined with their head
FOREIGN_HEADER = b'content-encoding'  # not written by targets


class TargetCalls:
    """Sends requests to the local target and checks its answers.

    Parameters
    ----------
    target : LocalTarget
        State and connections of the target.
    names : HeaderNames
        Names of the product's headers.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, target: LocalTarget, names: HeaderNames, clock: Clock
    ) -> None:
        # Smoothed share of the requests that the target did not shed.
        self.acceptance = 1.0
        self.on_load: Callable[[bytes], None] = lambda text: None
        # Returns whether a target that broke a connection may be full.
        self.on_reset: Callable[[int], bool] = lambda ran_ms: False
        self._target = target
        self._names = names
        self._clock = clock

    async def send(
        self, req: RelayedRequest, now: int, on_sent: Callable[[], None]
    ) -> ClientAnswer:
        """Send a request; return the target's complete answer.

        Raises
        ------
        RequestError
            If there is none; its verdict says whether the request may have run.
        """
        pool, life = self._target.pool, self._target.life()
        if pool is None or life is None:
            raise TargetDownError('no target has reported', DOWN_RETRY_MS)
        left = req.deadline - now
        head = self._head_bytes(req, left, life)
        try:
            answer = await self._ask(pool, head, req, left, on_sent)
        except LinkError as exc:
            full = exc.sent and self.on_reset(self._clock.now() - now)
            raise self.link_error(req, exc, full=full) from exc
        except TimeoutError as exc:
            raise UncertainError('the target did not answer in time') from exc
        self._target.record_answer()
        if self._names.load:
            self.on_load(answer.header(self._names.load.lower()))
        return answer

    async def _ask(
        self,
        pool: ClientPool,
        head: bytes,
        req: RelayedRequest,
        left: int,
        on_sent: Callable[[], None],
    ) -> ClientAnswer:
        request_id = req.request.encode()
        answer_matches = partial(
            _has_request_id, self._names.request_id.lower(), request_id
        )
        if len(req.body) < COPIED_BYTES:
            return await pool.ask(
                head + req.body, left, answer_matches, on_sent, request_id
            )
        return await pool.ask(
            head, left, answer_matches, on_sent, request_id, req.body
        )

    def link_error(
        self, req: RelayedRequest, exc: LinkError, *, full: bool = False
    ) -> RequestError:
        """Return the error of a request whose connection failed.

        Parameters
        ----------
        req : RelayedRequest
            The request.
        exc : LinkError
            How its connection failed.
        full : bool
            Whether the target may have reset it because it is full.
        """
        if not exc.sent:
            self._target.declare_dead_if_silent()
            return TargetDownError(str(exc), DOWN_RETRY_MS)
        self._target.record_interrupted(req, full=full)
        return CrashedError(str(exc))

    def check(
        self, req: RelayedRequest, answer: ClientAnswer, ran_ms: int
    ) -> RelayedAnswer:
        """Return an answer for the caller, with the time that it took.

        Raises
        ------
        RequestError
            If the target refused the request, or did not write the answer, or
            if the answer only seems to be a refusal.
        """
        shed = self._is_refused(req, answer)
        self.acceptance += SHED_SMOOTHING * ((not shed) - self.acceptance)
        if shed:
            raise ShedError(
                f'the target refused the request with status {answer.status}',
                SHED_RETRY_MS,
            )
        if answer.status in NOT_RUN_STATUSES and not req.repeatable:
            raise UnprovenRefusalError(
                f'status {answer.status}, but the request may have run'
            )
        succeeded = answer.status in STATUS_OK
        if succeeded and (
            not self.has_run(answer) or FOREIGN_HEADER in answer.fields
        ):
            raise BadAnswerError(
                'the answer was not written by the target itself'
            )
        head = encode_headers(answer.headers, NOT_FORWARDED)
        return RelayedAnswer(answer.status, head, answer.body, ran_ms)

    def has_run(self, answer: ClientAnswer) -> bool:
        """Return whether the target itself wrote the answer, after a run."""
        return not self._names.answer_signature or self._is_signed(answer)

    def _is_refused(self, req: RelayedRequest, answer: ClientAnswer) -> bool:
        """Return whether the target has not run the request.

        Notes
        -----
        Where another target is meant, 421 may come without the mark.  One with
        a signature is the result of a run.
        """
        if self._names.not_run.lower() in answer.fields:
            return True
        if answer.status != HTTPStatus.MISDIRECTED_REQUEST:
            return False
        return req.repeatable or not self._is_signed(answer)

    def _is_signed(self, answer: ClientAnswer) -> bool:
        name = self._names.answer_signature.lower()
        return bool(name) and name in answer.fields

    def _head_bytes(
        self, req: RelayedRequest, left: int, life: TargetLife
    ) -> bytes:
        names = self._names
        lines = [
            b'%s %s HTTP/1.1\r\n' % (req.method, req.path),
            req.head,
            b'%s: %d\r\n' % (names.deadline, left),
            b'%s: %s\r\n' % (names.target, life.target.encode()),
        ]
        if req.body or req.method not in {b'GET', b'HEAD'}:
            lines.append(b'content-length: %d\r\n' % len(req.body))
        lines.append(b'\r\n')
        return b''.join(lines)


def _has_request_id(
    name: bytes, request: bytes, fields: dict[bytes, bytes]
) -> bool:
    return fields.get(name) == request
