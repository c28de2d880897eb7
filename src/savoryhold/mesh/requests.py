"""A request on its way through the mesh, and its answer."""

import dataclasses

from savoryhold.core.errors import RequestError
from savoryhold.core.ids import NodeId, RequestId, ServiceName
from savoryhold.core.poison import Fingerprint
from savoryhold.core.verdict import Verdict

__all__ = [
    'NO_KEY',
    'BadAnswerError',
    'BusyError',
    'CrashedError',
    'MovedError',
    'PoisonedError',
    'RelayedAnswer',
    'RelayedRequest',
    'ShedError',
    'TargetDownError',
]

NO_KEY = -1


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedRequest:
    """A request with all that its owner needs.

    Parameters
    ----------
    request : RequestId
        Id that the caller gave.
    service : ServiceName
        Service that runs it.
    key : int
        Its key, `NO_KEY` for a service without keys.
    route : str
        Name of its route, by which service times are kept.
    method, path : bytes
        As the caller sent them.
    head : bytes
        Header lines for the target, without those that the owner sets.
    body : bytes
        The whole body.
    deadline : int
        Local time in ms at which the caller or the route gives up.
    aim_at : int
        Local time in ms until which the answer is worth most.
    priority : int
        0 is the most urgent.
    repeatable : bool
        Whether it may run more than once.
    fingerprint : Fingerprint
        What it has in common with requests that ask for the same.
    repeat : bool
        Whether a target may have got it before, or whether a run that was
        a repeat calls for it.
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


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """A target's whole answer; `head` has no framing headers."""

    status: int
    head: bytes
    body: bytes


class MovedError(RequestError):
    """Another node owns the key."""

    code = 'moved'

    def __init__(self, text: str, owner: NodeId) -> None:
        super().__init__(text)
        self.owner = owner


class TargetDownError(RequestError):
    """The target beside the node takes no requests now."""

    code = 'target-down'


class BusyError(RequestError):
    """The queue is longer than the request can wait."""

    code = 'busy'


class ShedError(RequestError):
    """The target turned the request away."""

    code = 'shed'


class PoisonedError(RequestError):
    """The request has crashed the targets that ran it."""

    code = 'poisoned'


class CrashedError(RequestError):
    """The target's connection broke while it ran the request."""

    verdict = Verdict.MAY_HAVE_RUN
    status = 502
    code = 'broken-off'


class BadAnswerError(RequestError):
    """The target's answer is not whole or not its own."""

    verdict = Verdict.MAY_HAVE_RUN
    status = 502
    code = 'bad-answer'
