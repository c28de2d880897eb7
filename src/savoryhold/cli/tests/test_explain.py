"""The history of a request from log lines."""

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
    'timestamp=2026-01-23T21:55:09.700100Z level=info event=chosen node=a '
    'request=57d6 chosen=b explored=False compared=12 best="b:120 c:133"',
    'rubbish',
)


class TestExplain(unittest.TestCase):
    """Log lines that are shown for a request."""

    def test_lines_of_the_request_and_context_events(self) -> None:
        """Calls of the request are shown, other requests and old events not."""
        found = explain('57d6', LINES)
        self.assertEqual(
            [fields['event'] for fields in found],
            ['node_silent', 'caller_gone', 'chosen', 'refused'],
        )
        self.assertEqual(found[-1]['reason'], 'b is away')

    def test_candidates_of_a_choice(self) -> None:
        """The targets compared and their expected times are shown."""
        chosen = explain('57d6', LINES)[-2]
        self.assertEqual(chosen['best'], 'b:120 c:133')
        self.assertEqual(chosen['compared'], '12')

    def test_unknown_request(self) -> None:
        """A request that no line names yields no lines."""
        self.assertEqual(explain('none', LINES), [])
