"""The story of a request from log lines."""

import unittest

from savoryhold.cli.explain import explain

LINES = (
    'timestamp=2026-01-23T21:55:05.900000Z level=info event=leaving node=b',
    '9.1 b timestamp=2026-01-23T21:55:09.811627Z level=info event=refused '
    'node=a request=57d6 status=503 reason="b is away" retry_after_ms=450',
    'timestamp=2026-01-23T21:55:08.100000Z level=warning event=node_silent '
    'node=a peer=b',
    'timestamp=2026-01-23T21:55:08.200000Z level=info event=request node=a '
    'request=0000 status=200',
    'timestamp=2026-01-23T21:55:09.700000Z level=info event=caller_gone '
    'node=a request=57d6.01 took_ms=3',
    'rubbish',
)


class TestExplain(unittest.TestCase):
    """What is shown of one request."""

    def test_lines_of_the_request_and_what_was_believed(self) -> None:
        """Its calls belong to it; other requests and old beliefs do not."""
        found = explain('57d6', LINES)
        self.assertEqual(
            [fields['event'] for fields in found],
            ['node_silent', 'caller_gone', 'refused'],
        )
        self.assertEqual(found[-1]['reason'], 'b is away')

    def test_unknown_request(self) -> None:
        """Nothing is shown of a request that no line names."""
        self.assertEqual(explain('none', LINES), [])
