"""Client of a daemon's admin interface."""

from typing import Any

import aiohttp

from savoryhold.core.decoding import UNREADABLE
from savoryhold.core.errors import SavoryholdError

__all__ = ['AdminClient', 'AdminError']

CALL_LIMIT_S = 5.0
_FAILED_CALLS = (aiohttp.ClientError, TimeoutError, *UNREADABLE)


class AdminError(SavoryholdError):
    """The daemon is unreachable or returned an error."""


class AdminClient:
    """Calls ``/admin`` of one daemon.

    Parameters
    ----------
    url : str
        Base URL of the admin listener.
    token : str
        Bearer token, empty for none.
    session : aiohttp.ClientSession
        Session that sends the requests.
    """

    def __init__(
        self, url: str, token: str, session: aiohttp.ClientSession
    ) -> None:
        self._url = url.rstrip('/')
        self._session = session
        self._headers = {'Authorization': f'Bearer {token}'} if token else {}

    async def get(self, path: str, **query: str) -> Any:
        """Send a GET request and return the JSON of the answer."""
        return await self._call('GET', path, params=query)

    async def post(self, path: str, **fields: Any) -> Any:
        """Send a POST request with JSON fields and return the answer."""
        return await self._call('POST', path, json=fields)

    async def _call(self, method: str, path: str, **options: Any) -> Any:
        url = f'{self._url}/admin/{path}'
        timeout = aiohttp.ClientTimeout(total=CALL_LIMIT_S)
        try:
            async with self._session.request(
                method, url, headers=self._headers, timeout=timeout, **options
            ) as answer:
                fields = await answer.json()
                _check_answer(url, answer.ok, fields)
                return fields
        except _FAILED_CALLS as exc:
            raise AdminError(f'{url}: {exc!r}') from exc


def _check_answer(url: str, is_ok: bool, fields: Any) -> None:
    if not is_ok:
        raise AdminError(f'{url}: {fields.get("error", "no reason given")}')
