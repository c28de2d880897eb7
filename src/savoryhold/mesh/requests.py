"""Relayed requests, their answers and the errors that end them."""

import dataclasses

from savoryhold.core.errors import RequestError
from savoryhold.core.ids import NodeId, Region, RequestId, ServiceName
from savoryhold.core.poison import Fingerprint, fingerprint_with_key
from savoryhold.core.verdict import Verdict

__all__ = [
    'NO_KEY',
    'BadAnswerError',
    'BusyError',
    'CrashedError',
    'EarlyReturnError',
    'MovedError',
    'NoPlaceError',
    'NoRoomError',
    'PoisonedError',
    'RelayedAnswer',
    'RelayedRequest',
    'RouteRefusedError',
    'ShedError',
    'TargetDownError',
    'UnprovenRefusalError',
    'WrongPlaceError',
]

NO_KEY = -1


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedRequest:
    """A request with everything that its owner needs to run it.

    Parameters
    ----------
    request : RequestId
        Id given by the caller.
    service : ServiceName
        Service that is to run it.
    key : int
        Key, or `NO_KEY` for a service without keys.
    route : str
        Name of its route; service times are averaged per route.
    method, path : bytes
        Method and target as the caller sent them.
    head : bytes
        Header lines for the target, except those that the owner adds.
    body : bytes
        Complete body.
    deadline : int
        Local time in ms by which the answer must arrive, as given by the
        caller or the route.
    aim_at : int
        Local time in ms by which the answer should arrive: the latency
        objective of the route, after which an answer counts as late.
    priority : int
        Priority of its route; 0 is the most urgent.
    repeatable : bool
        Whether it may run more than once (it is idempotent).
    fingerprint : Fingerprint
        Hash that is equal for requests with the same content from the same
        calling service; it leaves the key out.
    repeat : bool
        Whether a target may have received it before, or whether it is a
        nested call of a run that is itself a repeat.
    regions : frozenset of Region
        The only regions whose targets may run it; if empty, all may.
    nested : bool
        Whether a target's run makes the request.
    returning : bool
        Whether its caller was refused before and has waited as told.
    origin : NodeId
        The node at which it entered.
    expected_ms : float
        Forecast of its run time at a target of usual pace, 0 if there is none.
    """

    request: RequestId
    service: ServiceName
    key: int
    route: str
    method: bytes
    path: bytes
    head: bytes
    body: bytes
    deadline: int
    aim_at: int
    priority: int
    repeatable: bool
    fingerprint: Fingerprint
    repeat: bool = False
    regions: frozenset[Region] = frozenset()
    nested: bool = False
    returning: bool = False
    origin: NodeId = NodeId('')
    expected_ms: float = 0.0

    @property
    def fingerprints(self) -> tuple[Fingerprint, ...]:
        """Return what strikes and completions of the request count for.

        Notes
        -----
        Requests that differ in their keys alone may crash their targets all, or
        one of them only.
        """
        if self.key == NO_KEY:
            return (self.fingerprint,)
        with_key = fingerprint_with_key(self.fingerprint, self.key)
        return (self.fingerprint, with_key)


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """A target's complete answer; `head` has no framing headers.

    ``ran_ms`` is the time that the target took, and ``room_ms`` the expected
    wait of the next request there.
    """

    status: int
    head: bytes
    body: bytes
    ran_ms: int = 0
    room_ms: float = 0.0


class MovedError(RequestError):
    """Another node owns the request's key."""

    code = 'moved'

    def __init__(self, text: str, owner: NodeId) -> None:
        super().__init__(text)
        self.owner = owner


class TargetDownError(RequestError):
    """No target is available for the request at present."""

    code = 'target-down'


class WrongPlaceError(RequestError):
    """The node's target must not run the request where it is.

    Another node may: the ingress chooses again.
    """

    code = 'wrong-place'


class NoPlaceError(RequestError):
    """No target is available where the request may run."""

    code = 'no-place'


class RouteRefusedError(RequestError):
    """The configuration of the request's route is invalid."""

    code = 'route-refused'


class BusyError(RequestError):
    """The request cannot wait long enough for a slot or for its key."""

    code = 'busy'


class EarlyReturnError(RequestError):
    """The caller was refused before and returns before the time told."""

    code = 'early-return'


class NoRoomError(RequestError):
    """The request is not relayed, since its owner is expected to refuse it."""

    code = 'no-room'


class ShedError(RequestError):
    """The target refused the request without running it."""

    code = 'shed'


class PoisonedError(RequestError):
    """The request is quarantined: it has crashed targets that ran it."""

    code = 'poisoned'


class CrashedError(RequestError):
    """The connection to the target broke while it ran the request."""

    verdict = Verdict.MAY_HAVE_RUN
    status = 502
    code = 'broken-off'


class BadAnswerError(RequestError):
    """The answer is incomplete or was not written by the target."""

    verdict = Verdict.MAY_HAVE_RUN
    status = 502
    code = 'bad-answer'


class UnprovenRefusalError(RequestError):
    """The target's status reads as "not run", which the target does not state.

    Callers repeat any request after such a status.
    """

    verdict = Verdict.MAY_HAVE_RUN
    status = 502
    code = 'unproven-refusal'
