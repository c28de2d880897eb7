"""Log lines whose values come from other processes."""

import os
import unittest

import structlog

from savoryhold.daemon.logs import MAX_LINES, LineBuffer, get_log, set_up_logs

LONGEST_LINE = 3000  # characters, of one event with one value


class Unprintable:
    """An object that cannot be shown."""

    def __str__(self) -> str:
        """Fail."""
        raise RuntimeError('no text')


class LogCase(unittest.TestCase):
    """A log that is read through a pipe."""

    def setUp(self) -> None:
        """Open the pipe."""
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)

    def tearDown(self) -> None:
        """Close the pipe, and configure the usual logs."""
        os.close(self.reader)
        os.close(self.writer)
        structlog.reset_defaults()


class TestValues(LogCase):
    """What is written for a value, whatever it holds."""

    # One text with half of a surrogate pair stayed in the buffer, and each
    # later log line of the process raised UnicodeEncodeError.
    def test_value_that_cannot_be_encoded_is_escaped(self) -> None:
        """The line is written, and so are those after it."""
        set_up_logs(self.writer)
        log = get_log(node='n')
        for odd in ('\ud800', 'a\nevent=forged', '\0', Unprintable()):
            log.info('odd', text=odd)
        log.info('next', text='x' * 100_000)
        lines = os.read(self.reader, 1_000_000).decode().splitlines()
        self.assertEqual(len(lines), 5)
        self.assertIn('ud800', lines[0])
        self.assertIn('event=next', lines[-1])
        self.assertLess(len(lines[-1]), LONGEST_LINE)


class TestBuffer(LogCase):
    """A reader that does not keep up, or that has gone."""

    def test_full_pipe_neither_blocks_nor_splits_a_character(self) -> None:
        """The rest of a line is written once the pipe has room."""
        lines = LineBuffer(self.writer)
        text = 'ä' * 99_999 + '\n'
        lines.write(text)
        found = b''
        while len(found) < len(text.encode()):
            lines.flush()
            found += os.read(self.reader, 1_000_000)
        self.assertEqual(found.decode(), text)

    def test_lines_beyond_the_limit_are_counted(self) -> None:
        """The oldest lines are kept."""
        lines = LineBuffer(self.writer)
        for _ in range(MAX_LINES + 3):
            lines.write('x\n')
        self.assertEqual(lines.lost_count, 3)
