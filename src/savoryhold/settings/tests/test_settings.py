"""The daemon's settings file."""

import pathlib
import tempfile
import unittest

from savoryhold.core.errors import ConfigurationError
from savoryhold.settings import load_settings

__all__ = ['TestSettings']

GOOD = """
[node]
host = "sofia-1"
region = "sofia"
zone = "sofia-a"
[listen]
callers = "127.0.0.1:8001"
peers = "127.0.0.1:8002"
admin = "127.0.0.1:8003"
[platform]
url = "http://127.0.0.1:7000"
[peers]
secret = "0123456789abcdef"
"""


class TestSettings(unittest.TestCase):
    """Valid and invalid settings files."""

    def load(self, text: str) -> object:
        """Load settings from a temporary file with this text."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'settings.toml'
            path.write_text(text, encoding='utf-8')
            return load_settings(path)

    def test_good_file(self) -> None:
        """Settings that are not given get their defaults."""
        self.assertIn('leave_ms', repr(self.load(GOOD)))

    def test_bad_fields_are_named(self) -> None:
        """Each error names the invalid field."""
        cases = (
            ('listen.peers', GOOD.replace(':8002', '')),
            ('listen.admin', GOOD.replace(':8003', ':99999')),
            ('node.zone', GOOD.replace('"sofia-a"', '"Sofia A"')),
            ('node.region', GOOD.replace('region = "sofia"', '')),
            ('peers.secret', GOOD.replace('0123456789abcdef', 'short')),
            ('platform.url', GOOD.replace('http://', 'ftp://')),
            ('limits.leave_ms', f'{GOOD}\n[limits]\nleave_ms = -1'),
            ('limits.colour', f'{GOOD}\n[limits]\ncolour = 1'),
            ('not TOML', '[node'),
        )
        for field, text in cases:
            with self.subTest(field=field):
                with self.assertRaisesRegex(ConfigurationError, field):
                    self.load(text)

    def test_missing_file(self) -> None:
        """The error names a missing file."""
        with self.assertRaisesRegex(ConfigurationError, 'nowhere.toml'):
            load_settings(pathlib.Path('nowhere.toml'))
