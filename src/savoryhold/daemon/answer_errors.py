"""Errors that a peer reports as the answer to a forwarded request."""

from savoryhold.core import errors
from savoryhold.core.verdict import Verdict
from savoryhold.peer import messages

__all__ = ['error_of']

_BY_CODE: dict[str, type[errors.RequestError]] = {
    kind.code: kind
    for kind in (
        errors.BadRequestError,
        errors.UnknownServiceError,
        errors.NotOwnerError,
        errors.OverloadError,
        errors.DeadlineError,
        errors.UncertainError,
    )
}


def error_of(answer: messages.Message) -> errors.RequestError | None:
    """Return the error that a peer's answer holds, None if it holds none."""
    verdict = Verdict(answer.verdict)
    if verdict is Verdict.DONE:
        return None
    fallback = errors.NotOwnerError
    if verdict is Verdict.MAY_HAVE_RUN:
        fallback = errors.UncertainError  # type: ignore[assignment]
    kind = _BY_CODE.get(answer.code, fallback)
    return kind(answer.text, answer.retry_after_ms)
