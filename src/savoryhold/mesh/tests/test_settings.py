"""Limits on callers in the settings of a node."""

import unittest

import tomli_w

from savoryhold.core.errors import ConfigurationError
from savoryhold.mesh import MeshSettings, parse_mesh_settings
from savoryhold.wire import IntakeLimits

ADDRESS = '127.0.0.1:80'
ADDRESSES = ('callers', 'reports', 'ready', 'peers', 'metrics', 'store')
TIMES = ('report_ms', 'drain_ms', 'grace_ms', 'hold_max_ms', 'retry_window_ms')


def parse(**fields: int) -> MeshSettings:
    """Parse settings with some optional fields."""
    given: dict[str, object] = dict.fromkeys(ADDRESSES, ADDRESS)
    given.update(dict.fromkeys(('node', 'zone', 'region', 'service'), 'x'))
    given.update(dict.fromkeys(TIMES, 100), retry_ratio=0.2, retry_slack=5)
    return parse_mesh_settings(tomli_w.dumps({**given, **fields}))


class TestIntake(unittest.TestCase):
    """Each limit is a setting of its own name."""

    def test_defaults(self) -> None:
        """Without settings, the documented defaults apply."""
        expected = IntakeLimits(max_connections=10_000)
        self.assertEqual(parse().intake, expected)

    def test_connections_follow_the_descriptors(self) -> None:
        """A part of the descriptors is left for other connections."""
        self.assertEqual(parse(max_fds=200).intake.max_connections, 120)
        stated = parse(max_fds=200, max_connections=7)
        self.assertEqual(stated.intake.max_connections, 7)

    # A limit of 0 would refuse every request.
    def test_zero(self) -> None:
        """A limit of 0 is an error that names the field."""
        with self.assertRaisesRegex(ConfigurationError, 'max_unfinished'):
            parse(max_unfinished=0)


if __name__ == '__main__':
    unittest.main()
