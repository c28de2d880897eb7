"""Standing of callers' requests at their ingress, where fairness is enabled."""

import dataclasses
import random

from savoryhold.core.errors import RequestError
from savoryhold.core.ids import NodeId
from savoryhold.core.verdict import Verdict
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.requests import (
    NO_KEY,
    EarlyReturnError,
    NoRoomError,
    RelayedAnswer,
    RelayedRequest,
)
from savoryhold.traffic import (
    DUPLICATE_PENALTY,
    Arrival,
    EntryControl,
    Feature,
    ReturnTracker,
    Standing,
)

__all__ = ['AdmissionTask']

STATUS_AGE_MS = 2000  # an older status says nothing of the present load
RUN_SMOOTHING = 0.1  # weight of a new run time in the average of a route


class AdmissionTask:
    """Decides the standing of requests, and sheds them before they are relayed.

    Parameters
    ----------
    context : NodeContext
        Dependencies of the node's tasks.

    Notes
    -----
    It is used only if the configuration in force has
    `Feature.FAIR_ADMISSION`.
    """

    def __init__(self, context: NodeContext) -> None:
        self.returns = ReturnTracker()
        self.entry = EntryControl(random.Random())
        self._context = context
        self._clock = context.clock
        self._node = context.settings.node
        self._run_ms: dict[str, float] = {}
        context.owner.queue.shares.zone_of = self._zone_of

    def is_enabled(self) -> bool:
        """Return whether the configuration in force asks for fairness."""
        routes = self._context.configs.routes
        return (
            routes is not None and Feature.FAIR_ADMISSION in routes.cfg.features
        )

    def begin(
        self, req: RelayedRequest, run_priority: int | None
    ) -> RelayedRequest:
        """Return the request with its standing; `end` must follow.

        Parameters
        ----------
        req : RelayedRequest
            The request as read.
        run_priority : int or None
            Priority of the run that makes it, None if it is no nested call.

        Raises
        ------
        EarlyReturnError
            If its caller was told to wait for longer; `end` must not follow.
        """
        if run_priority is not None:
            return dataclasses.replace(
                req, nested=True, origin=self._node, priority=run_priority
            )
        now = self._clock.now()
        standing = self.returns.begin(req.fingerprint, now)
        if standing is Standing.EARLY:
            wait_ms = self.returns.wait_left_ms(req.fingerprint, now)
            raise EarlyReturnError('the caller has not waited as told', wait_ms)
        penalty = DUPLICATE_PENALTY if standing is Standing.DUPLICATE else 0
        return dataclasses.replace(
            req,
            returning=standing is Standing.RETURNING,
            origin=self._node,
            priority=req.priority + penalty,
        )

    def check_entry(self, req: RelayedRequest, node: NodeId) -> None:
        """Check that a node is expected to have room for a request.

        Raises
        ------
        NoRoomError
            If it has none; nested calls are left to the owner.
        """
        if not self._may_shed(req, node):
            return
        now = self._clock.now()
        arrival = Arrival(
            _place(req, node),
            _level(req),
            req.aim_at - now,
            req.deadline - now,
            req.expected_ms or self._run_ms.get(req.route, 0.0),
            self._backlog_ms(node, now),
            one_owner=req.key != NO_KEY,
        )
        refusal = self.entry.enter(arrival, now)
        if refusal is not None:
            raise NoRoomError(
                f'entry: {arrival.place} has no room for a share of'
                f' {refusal.share:.2f} of priority {req.priority}',
                refusal.retry_ms,
            )

    def record_answer(
        self, req: RelayedRequest, node: NodeId, answer: RelayedAnswer
    ) -> None:
        """Record a relayed answer, and the wait that its owner expects."""
        if answer.ran_ms:
            known = self._run_ms.get(req.route, answer.ran_ms)
            change = RUN_SMOOTHING * (answer.ran_ms - known)
            self._run_ms[req.route] = known + change
        if self._may_shed(req, node):
            place, level = _place(req, node), _level(req)
            now = self._clock.now()
            self.entry.record_answer(place, level, now, answer.room_ms)

    def record_refusal(
        self, req: RelayedRequest, node: NodeId, exc: RequestError
    ) -> None:
        """Record that an owner refused a request, if for want of room."""
        if exc.room_ms and self._may_shed(req, node):
            place, level = _place(req, node), _level(req)
            now = self._clock.now()
            self.entry.record_refusal(place, level, now, exc.room_ms)

    def end(
        self,
        req: RelayedRequest,
        exc: RequestError | None = None,
        *,
        answered: bool = False,
    ) -> None:
        """Record that a request was answered, refused or given up."""
        if not req.origin or req.nested:
            return
        self.returns.end(req.fingerprint)
        if answered and req.priority < DUPLICATE_PENALTY:
            self.returns.record_answer(req.fingerprint, self._clock.now())
        if exc is not None and exc.verdict is Verdict.NOT_RUN:
            self.returns.record_refusal(
                req.fingerprint,
                self._clock.now(),
                exc.retry_after_ms,
                # Others say nothing of room, which may be there sooner.
                enforced=exc.room_ms > 0 or isinstance(exc, NoRoomError),
            )

    def _may_shed(self, req: RelayedRequest, node: NodeId) -> bool:
        """Return whether a request to a node is subject to control here."""
        return not req.nested and node != self._node

    def _zone_of(self, node: str) -> str:
        """Return the zone of an ingress node, empty if it is not known."""
        if node == self._node:
            return self._context.settings.zone
        member = self._context.members.members.get(NodeId(node))
        return '' if member is None else member.status.zone

    def _backlog_ms(self, node: NodeId, now: int) -> float | None:
        """Return the wait of a node's last status, if that is recent."""
        member = self._context.members.members.get(node)
        if member is None or now - member.received_at > STATUS_AGE_MS:
            return None
        return member.status.wait_ms


def _place(req: RelayedRequest, node: NodeId) -> str:
    return req.service if req.key == NO_KEY else node


def _level(req: RelayedRequest) -> tuple[int, bool]:
    return req.priority, not req.returning
