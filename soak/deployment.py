"""A small deployment on loopback, with a store, callers and an oracle."""

import asyncio
import contextlib
import pathlib
import random
from typing import Any

from standins import make_config

from savoryhold.core.clock import BootClock
from savoryhold.standins.fleet import PortReservation
from soak.callers import KEY_COUNT, Caller, RequestTemplate
from soak.events import Sent
from soak.hosts import DRAIN_MS, LOOPBACK, Host, HostPlan
from soak.oracle import Oracle, Span
from soak.store import FaultyStore, StoreFault

__all__ = ['Deployment']

VIRTUAL_HOST = 'soak.example'
KEYED = 'desk'
UNKEYED = 'media'
CALLERS_PER_HOST = 3
PORTS_PER_HOST = 10
BACKLOG = 256
WORK_MS = (5, 60)
LOSS_RATE = 0.02
CLOCK_FACTOR = 1.02  # a target's clock may be this much too slow
STATUS_OK = 200
NOT_FOUND = 404
POLL_S = 0.2
SAMPLE_KEYS = 16
SEED_BITS = 30
OPEN_ENDED_MS = 3_600_000  # longer than any run
REGIONS = (('r1', 'r1-a'), ('r1', 'r1-b'), ('r2', 'r2-a'), ('r2', 'r2-b'))
REQUESTS = [
    RequestTemplate(VIRTUAL_HOST, '/desk/look', keyed=True, once=False),
    RequestTemplate(VIRTUAL_HOST, '/book/slot', keyed=True, once=True),
    RequestTemplate(VIRTUAL_HOST, '/media/film', keyed=False, once=False),
]


class Deployment:
    """All processes of one soak.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    keyed, unkeyed : int
        Number of hosts of each of the two services.
    folder : pathlib.Path
        Folder for settings and logs.
    """

    def __init__(
        self, seed: int, keyed: int, unkeyed: int, folder: pathlib.Path
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = BootClock()
        self.oracle = Oracle(DRAIN_MS)
        self.store = FaultyStore(random.Random(seed))
        self.version = 1
        self.violations: list[str] = []
        services = [KEYED for _ in range(keyed)]
        services.extend(UNKEYED for _ in range(unkeyed))
        self._reservation = PortReservation(1 + PORTS_PER_HOST * len(services))
        ports = list(self._reservation.ports)
        self._store_address = f'{LOOPBACK}:{ports.pop()}'
        self.hosts = [
            self._host(number, service, ports, folder)
            for number, service in enumerate(services)
        ]
        self._callers: list[Caller] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._newest_seen: dict[tuple[str, int], int] = {}

    async def start(self, limit_s: float) -> None:
        """Start everything, and wait until all is served."""
        await self.store.server.start(self._store_address, BACKLOG)
        self.put_config()
        for host in self.hosts:
            await host.start()
        await self.wait_until_served(limit_s)
        for host in self.hosts:
            for _ in range(CALLERS_PER_HOST):
                rng = random.Random(self.rng.random())
                caller = Caller(host, REQUESTS, rng, self._on_request)
                self._callers.append(caller)
                self._tasks.append(asyncio.create_task(caller.run()))
            self._tasks.append(asyncio.create_task(self._watch_version(host)))

    async def stop(self) -> None:
        """Stop everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for caller in self._callers:
            caller.close()
        for host in self.hosts:
            await host.stop()
        self.store.server.stop()
        self._reservation.release()

    def put_config(self) -> None:
        """Store the next configuration version, with its own marker route."""
        self.version += 1
        routes: list[dict[str, Any]] = [
            _route('/desk/', KEYED, 'idempotent'),
            _route('/book/', KEYED, 'non_idempotent'),
            _route('/media/', UNKEYED, 'download'),
            _route(_marker_path(self.version), UNKEYED, 'idempotent'),
        ]
        services = {KEYED: True, UNKEYED: False}
        spec = make_config(self.version, services, VIRTUAL_HOST, routes)
        self.store.put('config', 'main', spec)

    @contextlib.contextmanager
    def record_fault_span(self) -> Any:
        """Record how long an unplanned fault lasts."""
        start = self.clock.now()
        span = Span(start, start + OPEN_ENDED_MS)
        self.oracle.fault_spans.append(span)
        try:
            yield
        finally:
            self.oracle.fault_spans.remove(span)
            self.oracle.fault_spans.append(Span(start, self.clock.now()))

    async def wait_until_served(self, limit_s: float) -> None:
        """Wait until each node serves random keys and the newest version.

        Raises
        ------
        TimeoutError
            If the limit is exceeded.
        """
        async with asyncio.timeout(limit_s):
            for host in self.hosts:
                while not await self._is_served(host):
                    await asyncio.sleep(POLL_S)

    def heal(self) -> None:
        """End the faults of the store and of all connections."""
        self.store.fault = StoreFault.NONE
        for host in self.hosts:
            host.heal(list(host.proxies))

    def _host(
        self, number: int, service: str, ports: list[int], folder: pathlib.Path
    ) -> Host:
        region, zone = REGIONS[number % len(REGIONS)]
        own_ports = tuple(ports.pop() for _ in range(PORTS_PER_HOST))
        plan = HostPlan(
            f'n{number}',
            service,
            zone,
            region,
            own_ports,
            self.rng.getrandbits(SEED_BITS),
            self.rng.randint(*WORK_MS),
            self.rng.choice([0.0, LOSS_RATE]),
            self.rng.choice([1.0, CLOCK_FACTOR]),
        )
        return Host(
            plan,
            self._store_address,
            folder,
            self.oracle.events.append,
            self._on_target_exit,
        )

    def _on_target_exit(self, target: str, at: int) -> None:
        self.oracle.ended_at[target].append(at)

    def _on_request(self, sent: Sent) -> None:
        self.oracle.sent[sent.request] = sent

    async def _is_served(self, host: Host) -> bool:
        caller = Caller(host, REQUESTS, self.rng, self._on_request)
        marker = _marker_request(self.version)
        wanted = [(marker, 0), (REQUESTS[2], 0)]
        wanted.extend(
            (REQUESTS[0], self.rng.randrange(KEY_COUNT))
            for _ in range(SAMPLE_KEYS)
        )
        answers = [await caller.send(request, key) for request, key in wanted]
        caller.close()
        return all(sent.status == STATUS_OK for sent in answers)

    async def _watch_version(self, host: Host) -> None:
        """Check that no node process returns to an older version."""
        caller = Caller(host, REQUESTS, self.rng, self._on_request)
        while True:
            await asyncio.sleep(POLL_S)
            life = (host.plan.name, host.node_life)
            newest = self.version
            sent = await caller.send(_marker_request(newest), 0)
            if life != (host.plan.name, host.node_life):
                continue
            if sent.status == STATUS_OK:
                self._newest_seen[life] = max(
                    newest, self._newest_seen.get(life, 0)
                )
            seen = self._newest_seen.get(life, 0) >= newest
            # A version lacks the marker routes of all others.
            is_newest = newest == self.version
            if sent.status == NOT_FOUND and seen and is_newest:
                self.violations.append(
                    f'config: {life} returned to a version before {newest}'
                )


def _marker_path(version: int) -> str:
    return f'/version-{version}/'


def _marker_request(version: int) -> RequestTemplate:
    return RequestTemplate(
        VIRTUAL_HOST, f'{_marker_path(version)}x', keyed=False, once=False
    )


def _route(prefix: str, service: str, kind: str) -> dict[str, Any]:
    return {
        'path_prefix': prefix,
        'service': service,
        'kind': kind,
        'timeout_ms': 2000,
        'target_latency_ms': 1000,
        'priority': 1,
        'max_attempts': 2,
    }
