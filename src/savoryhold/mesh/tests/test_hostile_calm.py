"""In calm, a single body of the largest legal size is served."""

import unittest
from unittest import mock

from savoryhold.core.clock import BootClock
from savoryhold.mesh.tests import hostile
from savoryhold.wire import ClientPool

MEMORY_MB = 300
MAX_BODY_BYTES = 67_108_864
LIMIT_MS = 20_000


class TestCalm(hostile.HostileCase):
    """Limits against crowds do not refuse what the configuration allows."""

    async def asyncSetUp(self) -> None:
        """Start nodes with the memory of a usual host."""
        with mock.patch.object(hostile, 'MEMORY_MB', MEMORY_MB):
            await super().asyncSetUp()

    async def test_largest_body(self) -> None:
        """A body of 64 MiB is served, also if it is relayed."""
        for path in (hostile.FREE_PATH, hostile.KEYED_PATH):
            pool = ClientPool(self.hosts[0].callers, BootClock().now)
            line = f'Content-Length: {MAX_BODY_BYTES}'
            answer = await pool.ask(
                hostile.head(path, line), LIMIT_MS, body=bytes(MAX_BODY_BYTES)
            )
            pool.close()
            self.assertEqual(answer.status, 200, answer.body)
        peaks = [host.peak_mb() for host in self.hosts]
        self.assertLess(max(peaks), MEMORY_MB)


if __name__ == '__main__':
    unittest.main()
