"""Reconstruction of the history of a request from log lines of nodes."""

import argparse
import json
import re
import sys
from collections.abc import Iterable

from savoryhold.core.errors import ConfigurationError

__all__ = ['check_settings', 'explain', 'parse_line', 'run_explain']

Fields = dict[str, str]

EXIT_OK = 0
EXIT_NOT_FOUND = 1
# Seconds before and after a request in which context events are shown.
CONTEXT_S = 2.0
MAX_CONTEXT_LINES = 40
# Events that show what a node knew of others, besides those on requests.
CONTEXT_EVENTS = frozenset(
    {
        'claim',
        'config_in_force',
        'evacuation_begun',
        'evacuation_ended',
        'giving',
        'leaving',
        'node_heard',
        'node_silent',
        'route_refused',
        'row_confirmed',
        'started',
        'stopped',
        'store_back',
        'store_lost',
        'strike',
        'target_dead',
        'target_leaving',
        'target_up',
        'task_failed',
    }
)
_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_CLOCK = re.compile(r'T(\d+):(\d+):([\d.]+)')
HOUR_S = 3600
MINUTE_S = 60


def parse_line(line: str) -> Fields:
    """Parse a log line of key=value fields.

    Examples
    --------
    >>> parse_line('event=refused request=a1 reason="queue: busy"')
    {'event': 'refused', 'request': 'a1', 'reason': 'queue: busy'}
    """
    return {name: text.strip('"') for name, text in _FIELD.findall(line)}


def explain(request: str, lines: Iterable[str]) -> list[Fields]:
    """Return the log lines that concern a request, in order of time.

    Parameters
    ----------
    request : str
        Id of the request.
    lines : iterable of str
        Log lines of any nodes, in any order.

    Returns
    -------
    list of dict
        Fields of the lines on the request and its calls, and of context
        events around its time.
    """
    known = [fields for fields in map(parse_line, lines) if 'event' in fields]
    own = [
        fields
        for fields in known
        if fields.get('request', '').partition('.')[0] == request
    ]
    times = [_seconds(fields) for fields in own]
    if not times:
        return []
    first, last = min(times) - CONTEXT_S, max(times) + CONTEXT_S
    context = [
        fields
        for fields in known
        if fields['event'] in CONTEXT_EVENTS
        and first <= _seconds(fields) <= last
    ]
    return sorted([*own, *context[:MAX_CONTEXT_LINES]], key=_seconds)


async def run_explain(options: argparse.Namespace) -> int:
    """Print the history of a request from log lines on standard input."""
    found = explain(options.request, sys.stdin)
    if options.json:
        sys.stdout.write(json.dumps(found, indent=2) + '\n')
    for fields in () if options.json else found:
        shown = ' '.join(
            f'{name}={text}'
            for name, text in fields.items()
            if name not in {'timestamp', 'level'}
        )
        sys.stdout.write(f'{fields.get("timestamp", "?")} {shown}\n')
    if not found:
        sys.stderr.write(
            f'savoryhold: no log line on request {options.request}\n'
        )
    return EXIT_OK if found else EXIT_NOT_FOUND


async def check_settings(options: argparse.Namespace) -> int:
    """Validate the settings file of a mesh node."""
    # Imported here, as the other commands do not need the mesh.
    from savoryhold.mesh import load_mesh_settings  # noqa: WPS433

    settings = load_mesh_settings(options.file)
    if settings.report_ms > settings.hold_max_ms:
        raise ConfigurationError(
            f'report_ms: {settings.report_ms} is above hold_max_ms, so that '
            'each hold expires between two reports'
        )
    sys.stdout.write(f'{options.file}: settings are valid\n')
    return EXIT_OK


def _seconds(fields: Fields) -> float:
    found = _CLOCK.search(fields.get('timestamp', ''))
    if found is None:
        return 0
    hours, minutes, seconds = found.groups()
    return int(hours) * HOUR_S + int(minutes) * MINUTE_S + float(seconds)
