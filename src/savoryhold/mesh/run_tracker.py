"""The runs at the local target, and the calls that they make."""

import dataclasses
from collections.abc import Callable

from savoryhold.core.ids import RequestId, ServiceName
from savoryhold.mesh.requests import RelayedRequest

__all__ = ['RunBook']


def _always(service: ServiceName) -> bool:
    """Let runs be repeated whatever they call."""
    return True


class RunBook:
    """Knows what runs, which of it is a repeat, and what routes call.

    Notes
    -----
    A run that is a repeat makes its calls again, and these are repeats, too.
    They cannot be refused without failing their run, so that the run is not
    begun where the services that its route calls have no retries left.
    """

    def __init__(self) -> None:
        self.stopped = 0
        self.ends_at: int | None = None  # of the process
        self.may_repeat_calls: Callable[[ServiceName], bool] = _always
        self._running: dict[RequestId, RelayedRequest] = {}
        self._called: dict[str, set[ServiceName]] = {}

    def within(self, req: RelayedRequest) -> RelayedRequest:
        """Return a request that ends with the process at the latest."""
        if self.ends_at is None or req.deadline <= self.ends_at:
            return req
        return dataclasses.replace(req, deadline=self.ends_at)

    def begin(self, req: RelayedRequest) -> None:
        """Note that a request runs."""
        self._running[req.request] = req

    def end(self, req: RelayedRequest) -> None:
        """Forget a run."""
        self._running.pop(req.request, None)

    def is_at_work(self, run: RequestId) -> bool:
        """Return whether a request runs."""
        return run in self._running

    def take_call(self, run: RequestId, service: ServiceName) -> bool:
        """Note a call of a run; return whether the run is a repeat."""
        req = self._running.get(run)
        if req is None:
            return False
        self._called.setdefault(req.route, set()).add(service)
        return req.repeat

    def may_run(self, req: RelayedRequest) -> bool:
        """Return whether the calls of a request may be made."""
        if not req.repeat:
            return True
        return all(map(self.may_repeat_calls, self._called.get(req.route, ())))
