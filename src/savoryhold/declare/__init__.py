"""Library for operators to declare services and generate their TOML.

Examples
--------
>>> from savoryhold import declare
>>> booking = declare.keyed_service(
...     'booking', key=declare.key_in_path('/patients/{key}/**'), slots=6
... )
>>> booking = booking.route(
...     'GET', '/patients/{key}/slots', idempotent=True, runs='short'
... )
>>> print(declare.to_toml([booking]).splitlines()[0])
format = 1
"""

from savoryhold.declare.builder import (
    Service,
    key_in_header,
    key_in_path,
    keyed_service,
    unkeyed_service,
)
from savoryhold.declare.document import from_toml, to_toml

__all__ = [
    'Service',
    'from_toml',
    'key_in_header',
    'key_in_path',
    'keyed_service',
    'to_toml',
    'unkeyed_service',
]
