"""Runs the benchmarks with short durations and prints one table.

Usage: python -m benchmarks
"""

import subprocess
import sys
import time

__all__ = ['main']

QUICK_RUNS = (
    ('slopes',),
    ('connections',),
    ('idle', '--sizes', '4', '16', '--seconds', '4'),
    ('throughput', '--seconds', '2'),
    ('selection',),
    ('queueing', '--seconds', '4'),
    ('balance', '--seconds', '8'),
    ('failures', 'kill-hosts', 'target-crash', 'leave', '--kills', '2'),
)
LIMIT_S = 120


def main() -> None:
    """Run each benchmark in a process of its own."""
    failed = []
    for name, *options in QUICK_RUNS:
        started = time.monotonic()
        done = subprocess.run(
            [sys.executable, '-m', f'benchmarks.{name}', *options],
            capture_output=True,
            text=True,
            check=False,
            timeout=LIMIT_S,
        )
        took_s = time.monotonic() - started
        for line in done.stdout.splitlines():
            sys.stdout.write(f'{name:12} {line}\n')
        sys.stdout.write(f'{name:12} ({took_s:.0f} s)\n')
        sys.stdout.flush()
        if done.returncode:
            sys.stderr.write(done.stderr)
            failed.append(name)
    if failed:
        sys.exit(f'failed: {", ".join(failed)}')


if __name__ == '__main__':
    main()
