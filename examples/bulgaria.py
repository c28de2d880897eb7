"""Services of the Bulgarian deployment: clinic bookings and media.

Prints the TOML that ``savoryhold apply`` takes.
"""

import sys

from savoryhold import declare

SLOTS = 6
CONNECTIONS = 110


def booking() -> declare.Service:
    """Return the clinic booking service, keyed by patient."""
    service = declare.keyed_service(
        'booking',
        key=declare.key_in_path('/patients/{key}/**'),
        shards=60,
        slots=SLOTS,
        connections=CONNECTIONS,
        timeout_ms=5000,
    )
    service = service.route(
        'GET', '/patients/{key}/slots', idempotent=True, runs='short'
    )
    service = service.route(
        'GET', '/patients/{key}/records', idempotent=True, runs='short'
    )
    service = service.route(
        'GET',
        '/patients/{key}/archive',
        idempotent=True,
        runs='long',
        timeout_ms=60_000,
    )
    service = service.route(
        'POST', '/patients/{key}/bookings', idempotent=False, runs='short'
    )
    return service.route(
        'POST', '/patients/{key}/prism-orders', idempotent=False, runs='short'
    )


def media() -> declare.Service:
    """Return the unkeyed service of therapy videos, for any media target."""
    service = declare.unkeyed_service(
        'media', slots=SLOTS, connections=CONNECTIONS, timeout_ms=20_000
    )
    service = service.route('GET', '/videos/**', idempotent=True, runs='short')
    return service.route('GET', '/exports/**', idempotent=True, runs='long')


if __name__ == '__main__':
    sys.stdout.write(declare.to_toml([booking(), media()]))
