"""Declared services: validation, stable output and round trips."""

import unittest
from collections.abc import Callable

from savoryhold import declare
from savoryhold.core.errors import ConfigurationError

__all__ = ['TestDeclare']


def booking() -> declare.Service:
    """Return a small keyed service."""
    service = declare.keyed_service(
        'booking', key=declare.key_in_path('/patients/{key}/**')
    )
    return service.route(
        'POST', '/patients/{key}/bookings', idempotent=False, runs='short'
    )


class TestDeclare(unittest.TestCase):
    """Services as operators declare them."""

    def test_same_input_same_bytes(self) -> None:
        """The output does not depend on the order of the services."""
        media = declare.unkeyed_service('media')
        one = declare.to_toml([booking(), media])
        two = declare.to_toml([media, booking()])
        self.assertEqual(one, two)

    def test_round_trip(self) -> None:
        """Parsing the output yields the same configuration."""
        text = declare.to_toml([booking()])
        self.assertEqual(declare.from_toml(text), [booking().config])

    def test_errors_name_the_field(self) -> None:
        """The error names the invalid argument."""
        cases: tuple[tuple[str, Callable[[], object]], ...]
        path = declare.key_in_path('/patients/{key}/**')
        cases = (
            ('name', lambda: declare.unkeyed_service('Booking!')),
            ('slots', lambda: declare.unkeyed_service('media', slots=0)),
            ('colour', lambda: declare.unkeyed_service('media', colour=1)),
            (
                'shards',
                lambda: declare.keyed_service('b', key=path, shards=0),
            ),
            (
                'key.path',
                lambda: declare.keyed_service(
                    'b', key=declare.key_in_path('patients')
                ),
            ),
            (
                'routes.0.path',
                lambda: declare.unkeyed_service('media').route(
                    'GET', '/**/x', idempotent=True
                ),
            ),
            (
                'routes.0.method',
                lambda: declare.unkeyed_service('media').route(
                    'get', '/x', idempotent=True
                ),
            ),
        )
        for field, build in cases:
            with self.subTest(field=field):
                with self.assertRaisesRegex(ConfigurationError, field):
                    build()

    def test_document_errors_name_the_field(self) -> None:
        """The error of an invalid document names the field."""
        cases = (
            ('not TOML', 'x = '),
            ('format', ''),
            ('services', 'format = 1'),
            ('extra', 'format = 1\nextra = 2'),
            ('services.a: expected', 'format = 1\n[services]\na = 1'),
            ('services.a.keyed', 'format = 1\n[services.a]\nslots = 2'),
            (
                'services.a: Value error, key is missing',
                'format = 1\n[services.a]\nkeyed = true',
            ),
        )
        for words, text in cases:
            with self.subTest(text=text):
                with self.assertRaisesRegex(ConfigurationError, words):
                    declare.from_toml(text)

    def test_two_services_of_one_name(self) -> None:
        """A document may contain a name only once."""
        with self.assertRaisesRegex(ConfigurationError, 'booking'):
            declare.to_toml([booking(), booking()])
