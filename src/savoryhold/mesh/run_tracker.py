"""Requests that run at the local target, and their nested calls.

A run is one execution of a request at a target.  The requests that the target
sends to other services meanwhile are its nested calls.
"""

import dataclasses
from collections.abc import Callable

from savoryhold.core.ids import RequestId, ServiceName
from savoryhold.mesh.requests import RelayedRequest

__all__ = ['RunTracker']


def _allow_all(service: ServiceName) -> bool:
    """Allow the nested calls of every repeat."""
    return True


class RunTracker:
    """Tracks the running requests and the services that each route calls.

    Notes
    -----
    A run that is a repeat sends its nested calls again, so that these are
    repeats, too.  Refusing a nested call fails its run.  A repeat is therefore
    not started if a service that its route calls has no retry budget left.
    """

    def __init__(self) -> None:
        self.stopped_count = 0
        self.process_ends_at: int | None = None
        self.may_repeat_calls: Callable[[ServiceName], bool] = _allow_all
        self._running: dict[RequestId, RelayedRequest] = {}
        self._called_services: dict[str, set[ServiceName]] = {}

    def cap_deadline(self, req: RelayedRequest) -> RelayedRequest:
        """Return the request, due at the end of this process at the latest."""
        if self.process_ends_at is None or req.deadline <= self.process_ends_at:
            return req
        return dataclasses.replace(req, deadline=self.process_ends_at)

    def begin(self, req: RelayedRequest) -> None:
        """Record that a request has started to run."""
        self._running[req.request] = req

    def end(self, req: RelayedRequest) -> None:
        """Record that a run has ended."""
        self._running.pop(req.request, None)

    def is_running(self, run: RequestId) -> bool:
        """Return whether a request runs."""
        return run in self._running

    def priority_of(self, run: RequestId) -> int | None:
        """Return the priority of a request, None unless it runs."""
        req = self._running.get(run)
        return None if req is None else req.priority

    def record_call(self, run: RequestId, service: ServiceName) -> bool:
        """Record a nested call; return whether its run is a repeat."""
        req = self._running.get(run)
        if req is None:
            return False
        self._called_services.setdefault(req.route, set()).add(service)
        return req.repeat

    def may_start(self, req: RelayedRequest) -> bool:
        """Return whether a request's nested calls fit the retry budgets."""
        if not req.repeat:
            return True
        return all(
            map(self.may_repeat_calls, self._called_services.get(req.route, ()))
        )
