"""Texts of other writers that describe more data than their size tells."""

import json
import tracemalloc
import unittest

from savoryhold.core.decoding import parse_json, parse_json_list
from savoryhold.core.errors import MalformedMessageError

LIMIT_BYTES = 32_000_000
TEXT_BYTES = 4_000_000
KEYS = 65_536  # a report may have a row for each
COUNT = 40_000  # values, in a text that is long enough to be checked
PIECES = (b'[],', b'{},', b'{"a":1},', b'300,', b'1.5,', b'"ab",', b'[1,2],')


def many(piece: bytes) -> bytes:
    """Return a list of one piece, again and again."""
    return b'[' + piece * (TEXT_BYTES // len(piece)) + b'0]'


class TestDecodedSize(unittest.TestCase):
    """The memory of what is decoded is limited."""

    # A report of 4 MB took 90 MB, and ended nodes with little memory.
    def test_data_within_the_limit_take_no_more_memory(self) -> None:
        """Texts of small values are refused, or decode to little."""
        refused = 0
        for piece in PIECES:
            with self.subTest(piece=piece):
                text = many(piece)
                tracemalloc.start()
                try:
                    parse_json(text, LIMIT_BYTES)
                except MalformedMessageError:
                    refused += 1
                peak = tracemalloc.get_traced_memory()[1]
                tracemalloc.stop()
                self.assertLess(peak, LIMIT_BYTES)
        self.assertEqual(refused, len(PIECES))

    def test_estimate_is_above_what_data_take(self) -> None:
        """Data that are not refused take less than the limit."""
        for piece in PIECES:
            with self.subTest(piece=piece):
                text = b'[' + piece * COUNT + b'0]'
                tracemalloc.start()
                found = parse_json(text)
                taken = tracemalloc.get_traced_memory()[0]
                tracemalloc.stop()
                self.assertEqual(len(found), COUNT + 1)
                with self.assertRaises(MalformedMessageError):
                    parse_json(text, taken)

    def test_largest_reports_are_read(self) -> None:
        """A report may have a row for each key."""
        rows = [[key, key, f'{key:016x}'] for key in range(KEYS)]
        text = json.dumps({'released': rows}).encode()
        found = parse_json(text, LIMIT_BYTES)
        self.assertEqual(len(found['released']), KEYS)

    def test_answer_of_the_store_is_limited(self) -> None:
        """The limit holds for lists of entries, too."""
        with self.assertRaises(MalformedMessageError):
            parse_json_list(many(b'[],') * 2)


if __name__ == '__main__':
    unittest.main()
