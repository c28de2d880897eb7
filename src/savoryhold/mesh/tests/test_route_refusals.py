"""Routes whose configuration is invalid, beside valid ones."""

import copy
import pathlib
import sys
import unittest
from typing import Any, cast
from unittest import mock

from savoryhold.core.errors import ConfigurationError
from savoryhold.core.ids import Region, ServiceName
from savoryhold.core.verdict import Verdict
from savoryhold.daemon.logs import get_log
from savoryhold.mesh.config import MAX_REFUSED_LINES, ConfigTask
from savoryhold.mesh.request_reader import RequestReader
from savoryhold.mesh.requests import RouteRefusedError
from savoryhold.mesh.tests.fleet import NAMES
from savoryhold.traffic import RefusedRoute, Route, RouteKind, RouteTable
from savoryhold.wire import HttpRequest

sys.path.insert(0, str(pathlib.Path(__file__).parents[4] / 'platform'))

from decode import decode_config  # noqa: E402

LONG, SHORT = '/a/long/', '/a/'
SPEC: dict[str, Any] = {
    'version': 1,
    'services': [{'name': 's', 'warmup_per_s': 3.35}],
    'virtual_hosts': [
        {
            'host': 'h',
            'paths': [
                {
                    'path_prefix': prefix,
                    'kind': 'idempotent',
                    'timeout_ms': 900,
                    'service': 's',
                }
                for prefix in (LONG, SHORT)
            ],
        }
    ],
}
# A list that is not one must not count as empty, which allows all regions.
INVALID: tuple[tuple[str, str, tuple[Any, ...]], ...] = (
    ('kind', 'kind', ('teleport', [], None, 7)),
    ('timeout_ms', 'timeout_ms', ('x', None, -1, 0, 1e999, 2**40)),
    ('allowed_regions', 'allowed_regions', ('r', 0, False, {}, [''], [7])),
    ('priority', 'priority', ('x', -1, True)),
    ('max_attempts', 'max_attempts', ([1], 'x')),
    ('service', 'service', (None, 7, '')),
    ('split', 'split', ('s', {'service': 's'})),
    ('split', 'split[0].weight', ([{'service': 's', 'weight': 'x'}],)),
    ('split', 'split[0].service', ([7],)),
    ('name', 'name', (7, '\ud800')),
)


def spec_with(field: str, given: Any) -> dict[str, Any]:
    """Return a configuration with a field of the longer route replaced."""
    spec = copy.deepcopy(SPEC)
    spec['virtual_hosts'][0]['paths'][0][field] = given
    return spec


class TestRefusedRoutes(unittest.TestCase):
    """An invalid entry disables its own route, and nothing else."""

    def test_invalid_field_disables_one_route(self) -> None:
        """Guards against a refusal of the whole version, or a guess."""
        for field, named, odd in INVALID:
            for given in odd:
                with self.subTest(field=named, given=given):
                    table = RouteTable(decode_config(spec_with(field, given)))
                    found = table.match('h', LONG)
                    self.assertIsInstance(found, RefusedRoute)
                    self.assertEqual(getattr(found, 'field', ''), named)
                    self.assertIsInstance(table.match('h', SHORT), Route)

    def test_entries_without_a_prefix_or_fields(self) -> None:
        """What names no path is reported, and matches none."""
        spec = spec_with('path_prefix', 7)
        spec['virtual_hosts'][0]['paths'].append('x')
        cfg = decode_config(spec)
        self.assertEqual([one.prefix for one in cfg.refused], [None, None])
        self.assertIsInstance(RouteTable(cfg).match('h', LONG), Route)

    def test_first_of_equal_prefixes_counts(self) -> None:
        """A shadowed entry is never used, and disables nothing."""
        spec = spec_with('kind', 'upload')
        paths = spec['virtual_hosts'][0]['paths']
        paths.insert(1, {**paths[0], 'kind': 'teleport'})
        found = RouteTable(decode_config(spec)).match('h', LONG)
        self.assertIsInstance(found, Route)

    def test_invalid_field_elsewhere_refuses_the_version(self) -> None:
        """The error names the field; the version in force stays."""
        spec = copy.deepcopy(SPEC)
        spec['services'].append({'name': 't', 'warmup_per_s': 'x'})
        with self.assertRaisesRegex(ConfigurationError, r'services\[1\].warm'):
            decode_config(spec)

    def test_new_fields(self) -> None:
        """Regions, kinds and rates are decoded; uploads never repeat."""
        spec = spec_with('allowed_regions', ['north', 'south'])
        spec['virtual_hosts'][0]['paths'][0]['kind'] = 'upload'
        cfg = decode_config(spec)
        self.assertEqual(
            cfg.routes[0].regions, {Region('north'), Region('south')}
        )
        self.assertEqual(cfg.services[0].warmup_per_s, 3.35)
        self.assertIs(cfg.routes[0].kind, RouteKind.UPLOAD)
        self.assertFalse(cfg.routes[0].kind.repeatable)
        self.assertEqual(cfg.routes[1].regions, frozenset())

    def test_request_of_a_disabled_route_is_not_run(self) -> None:
        """It gets 503, not 404 and not the route of a shorter prefix."""
        context = mock.Mock()
        context.configs.routes = RouteTable(
            decode_config(spec_with('kind', 'teleport'))
        )
        context.settings.service = ServiceName('s')
        reader = RequestReader(cast(Any, context), NAMES)
        fields = {b'host': b'h'}
        http = HttpRequest(b'GET', LONG.encode(), [], b'', 0, fields)
        with self.assertRaises(RouteRefusedError) as caught:
            reader.read(http)
        self.assertEqual(caught.exception.status, 503)
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
        self.assertGreater(caught.exception.retry_after_ms, 0)


class TestRefusalLines(unittest.TestCase):
    """What operators see of a disabled route."""

    def test_line_names_host_path_and_field(self) -> None:
        """One line for each route, bounded in number."""
        spec = spec_with('kind', 'teleport')
        paths = spec['virtual_hosts'][0]['paths']
        paths.extend(paths[0] for _ in range(99))
        log = mock.Mock(wraps=get_log(node='n'))
        clock = mock.Mock(now=int)
        adapter = mock.Mock(decode_config=decode_config)
        task = ConfigTask(adapter, mock.Mock(), clock, log)
        self.assertTrue(task.accept(spec, 'test'))
        lines = log.error.call_args_list
        self.assertEqual(len(lines), MAX_REFUSED_LINES)
        self.assertEqual(lines[0].args, ('route_refused',))
        self.assertLessEqual(
            {'host': 'h', 'path': LONG, 'field': 'kind'}.items(),
            lines[0].kwargs.items(),
        )
        self.assertEqual(task.refused_count(), 100)
