"""Settings of HTTP sessions that all clients of the project share."""

import aiohttp

__all__ = ['send_once']


def send_once(session: aiohttp.ClientSession) -> aiohttp.ClientSession:
    """Have a session send each request once, and return it.

    Notes
    -----
    `aiohttp` sends a PUT or DELETE again by itself when a kept connection
    closes without an answer.  It may have run by then, so that whether to
    send it again is for our own retry rules.
    """
    session._retry_connection = False  # noqa: WPS437
    return session
