"""Errors of the project.

Errors of requests state in ``verdict`` whether the request may have run.
"""

from savoryhold.core.verdict import Verdict

__all__ = [
    'BadRequestError',
    'ConfigurationError',
    'DeadlineError',
    'HistoryLostError',
    'LinkError',
    'MalformedMessageError',
    'NotOwnerError',
    'OverloadError',
    'PlatformError',
    'RequestError',
    'SavoryholdError',
    'UncertainError',
    'UnknownServiceError',
    'VersionConflictError',
    'WriteUncertainError',
    'release_frames',
]


class SavoryholdError(Exception):
    """Base of all errors of the project."""


class ConfigurationError(SavoryholdError):
    """A configuration or setting is invalid; the message names the field."""


class MalformedMessageError(SavoryholdError):
    """Bytes from another process do not decode to a known message."""


class LinkError(SavoryholdError):
    """A peer link failed.

    Parameters
    ----------
    text : str
        What happened.
    sent : bool
        Whether the message may have reached the peer.
    """

    def __init__(self, text: str, *, sent: bool) -> None:
        super().__init__(text)
        self.sent = sent


class PlatformError(SavoryholdError):
    """The platform's object API gave no usable answer.

    Unless it is a subclass, no write was sent.
    """


class HistoryLostError(PlatformError):
    """The store no longer keeps the changes that a watch asks for."""


class WriteUncertainError(PlatformError):
    """A write was sent and its reply was lost; it may take effect."""


class VersionConflictError(PlatformError):
    """A conditional write expected a version that is no longer current."""


class RequestError(SavoryholdError):
    """A caller's request ended without a complete answer from its target.

    Parameters
    ----------
    text : str
        Reason, shown to the caller.
    retry_after_ms : int
        Time after which a retry may succeed; 0 if unknown.
    """

    verdict = Verdict.NOT_RUN
    status = 503
    code = 'unavailable'
    room_ms = 0.0  # expected wait at an owner whose queue is full

    def __init__(self, text: str, retry_after_ms: int = 0) -> None:
        super().__init__(text)
        self.retry_after_ms = retry_after_ms


class BadRequestError(RequestError):
    """The request is malformed."""

    status = 400
    code = 'bad-request'


class UnknownServiceError(RequestError):
    """The request names a service without configuration."""

    status = 404
    code = 'unknown-service'


class NotOwnerError(RequestError):
    """This node may not act as the owner of the shard at present."""

    code = 'not-owner'


class OverloadError(RequestError):
    """Admission control refused the request."""

    code = 'overload'


class DeadlineError(RequestError):
    """The deadline passed before the request was sent to its target."""

    code = 'deadline'


class UncertainError(RequestError):
    """The request was sent to a target, which gave no complete answer."""

    verdict = Verdict.MAY_HAVE_RUN
    status = 504
    code = 'uncertain'


def release_frames(exc: BaseException) -> None:
    """Drop the tracebacks of an error and its causes.

    The frames refer to a request's body and to the error itself, so that only
    the garbage collector would free them.
    """
    found: BaseException | None = exc
    while found is not None:
        found.__traceback__ = None
        found = found.__cause__ or found.__context__
