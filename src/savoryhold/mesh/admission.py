"""Standing of callers' requests at their ingress, where fairness is enabled."""

import dataclasses

from savoryhold.core.errors import RequestError
from savoryhold.core.verdict import Verdict
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.requests import (
    BusyError,
    EarlyReturnError,
    RelayedRequest,
)
from savoryhold.traffic import Feature, ReturnTracker, Standing

__all__ = ['AdmissionTask']

# Added to the priority of a duplicate, which thereby ranks behind all kinds.
DUPLICATE_PENALTY = 100
# Other refusals say nothing of room, which may be there before the time told.
OVERLOAD_CODES = frozenset({BusyError.code})


class AdmissionTask:
    """Decides the standing of requests before they are relayed.

    Parameters
    ----------
    context : NodeContext
        Dependencies of the node's tasks.

    Notes
    -----
    All methods leave requests unchanged unless the configuration in force
    has `Feature.FAIR_ADMISSION`.
    """

    def __init__(self, context: NodeContext) -> None:
        self.returns = ReturnTracker()
        self._context = context
        self._clock = context.clock

    def is_enabled(self) -> bool:
        """Return whether the configuration in force asks for fairness."""
        routes = self._context.configs.routes
        return (
            routes is not None and Feature.FAIR_ADMISSION in routes.cfg.features
        )

    def begin(self, req: RelayedRequest, *, nested: bool) -> RelayedRequest:
        """Return the request with its standing; `end` must follow.

        Raises
        ------
        EarlyReturnError
            If its caller was told to wait for longer; `end` must not follow.
        """
        origin = self._context.settings.node
        if nested:
            return dataclasses.replace(req, nested=True, origin=origin)
        now = self._clock.now()
        standing = self.returns.begin(req.fingerprint, now)
        if standing is Standing.EARLY:
            wait_ms = self.returns.wait_left_ms(req.fingerprint, now)
            raise EarlyReturnError('the caller has not waited as told', wait_ms)
        penalty = DUPLICATE_PENALTY if standing is Standing.DUPLICATE else 0
        return dataclasses.replace(
            req,
            returning=standing is Standing.RETURNING,
            origin=origin,
            priority=req.priority + penalty,
        )

    def end(self, req: RelayedRequest, exc: RequestError | None = None) -> None:
        """Record that a request was answered, refused or given up."""
        if not req.origin or req.nested:
            return
        self.returns.end(req.fingerprint)
        if exc is not None and exc.verdict is Verdict.NOT_RUN:
            self.returns.record_refusal(
                req.fingerprint,
                self._clock.now(),
                exc.retry_after_ms,
                enforced=exc.code in OVERLOAD_CODES,
            )
