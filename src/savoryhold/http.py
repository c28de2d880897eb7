"""Settings for the `aiohttp` sessions of this project."""

import aiohttp

__all__ = ['disable_retries']


def disable_retries(session: aiohttp.ClientSession) -> aiohttp.ClientSession:
    """Disable the automatic retries of a session, and return it.

    Notes
    -----
    `aiohttp` repeats idempotent methods such as PUT and DELETE if a kept
    connection closes without an answer.  The request may have run by then, so
    only this project's own retry rules may decide to send it again.
    """
    session._retry_connection = False  # noqa: WPS437
    return session
