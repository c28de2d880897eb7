"""Services of the Sri Lankan deployment: bookings and case files.

Prints the TOML that ``savoryhold apply`` takes.
"""

import sys

from savoryhold import declare

SLOTS = 12
CONNECTIONS = 110


def booking() -> declare.Service:
    """Return the booking service, keyed by member."""
    service = declare.keyed_service(
        'booking',
        key=declare.key_in_path('/members/{key}/**'),
        shards=60,
        slots=SLOTS,
        connections=CONNECTIONS,
        timeout_ms=3000,
    )
    service = service.route(
        'GET', '/members/{key}/slots', idempotent=True, runs='short'
    )
    service = service.route(
        'GET', '/members/{key}/notes', idempotent=True, runs='short'
    )
    service = service.route(
        'POST', '/members/{key}/bookings', idempotent=False, runs='short'
    )
    return service.route(
        'POST', '/members/{key}/letters', idempotent=False, runs='short'
    )


def case_files() -> declare.Service:
    """Return the unkeyed service of case files, for any of its targets."""
    service = declare.unkeyed_service(
        'case-files', slots=SLOTS, connections=CONNECTIONS, timeout_ms=30_000
    )
    service = service.route(
        'GET', '/statements/**', idempotent=True, runs='short'
    )
    return service.route('GET', '/files/**', idempotent=True, runs='long')


if __name__ == '__main__':
    sys.stdout.write(declare.to_toml([booking(), case_files()]))
