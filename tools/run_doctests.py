"""Run the examples in the docstrings of all modules.

Usage: python -m tools.run_doctests

The last line counts them as ``N passed, N failed``.
"""

import doctest
import importlib
import pathlib
import sys

__all__ = ['main']

SOURCES = pathlib.Path(__file__).parents[1] / 'src'


def _modules() -> list[str]:
    """Return the names of all modules except tests and entry points."""
    paths = (path.relative_to(SOURCES) for path in SOURCES.rglob('*.py'))
    return sorted(
        '.'.join(path.with_suffix('').parts)
        for path in paths
        if 'tests' not in path.parts and path.stem != '__main__'
    )


def main() -> int:
    """Run the examples; return the exit status."""
    sys.path.insert(0, str(SOURCES))
    attempted = 0
    failed = 0
    for name in _modules():
        found = doctest.testmod(importlib.import_module(name))
        attempted += found.attempted
        failed += found.failed
    sys.stdout.write(f'{attempted - failed} passed, {failed} failed\n')
    return 1 if failed or not attempted else 0


if __name__ == '__main__':
    sys.exit(main())
