"""A small deployment on loopback, with its store, callers and oracle."""

import asyncio
import contextlib
import pathlib
import random
from typing import Any

from standins import make_config

from savoryhold.core.clock import BootClock
from savoryhold.standins.fleet import PortReservation
from soak.callers import KEY_COUNT, Call, Callers
from soak.events import Sent
from soak.hosts import DRAIN_MS, LOOPBACK, Host, HostPlan
from soak.oracle import Oracle, Span
from soak.store import FaultyStore, StoreFault

__all__ = ['World']

VIRTUAL_HOST = 'soak.example'
KEYED = 'desk'
UNKEYED = 'media'
CALLERS_EACH = 3
PORTS_EACH = 10
BACKLOG = 256
WORK_MS = (5, 60)
LOSE = 0.02
CLOCK_FACTOR = 1.02  # a target's clock may run this much slow
STATUS_OK = 200
NOT_FOUND = 404
POLL_S = 0.2
SAMPLE_KEYS = 16
SEED_BITS = 30
FOREVER_MS = 3_600_000  # longer than any run
REGIONS = (('r1', 'r1-a'), ('r1', 'r1-b'), ('r2', 'r2-a'), ('r2', 'r2-b'))
CALLS = [
    Call(VIRTUAL_HOST, '/desk/look', keyed=True, once=False),
    Call(VIRTUAL_HOST, '/book/slot', keyed=True, once=True),
    Call(VIRTUAL_HOST, '/media/film', keyed=False, once=False),
]


class World:
    """All processes of one run.

    Parameters
    ----------
    seed : int
        Of all choices.
    keyed, unkeyed : int
        Hosts of the two services.
    folder : pathlib.Path
        Where settings and logs go.
    """

    def __init__(
        self, seed: int, keyed: int, unkeyed: int, folder: pathlib.Path
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = BootClock()
        self.oracle = Oracle(DRAIN_MS)
        self.store = FaultyStore(random.Random(seed))
        self.version = 1
        self.broken: list[str] = []
        services = [KEYED for _ in range(keyed)]
        services.extend(UNKEYED for _ in range(unkeyed))
        self._reservation = PortReservation(1 + PORTS_EACH * len(services))
        ports = list(self._reservation.ports)
        self._store_address = f'{LOOPBACK}:{ports.pop()}'
        self.hosts = [
            self._host(number, service, ports, folder)
            for number, service in enumerate(services)
        ]
        self._callers: list[Callers] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._seen: dict[tuple[str, int], int] = {}

    async def start(self, limit_s: float) -> None:
        """Start everything, and wait until it serves."""
        await self.store.server.start(self._store_address, BACKLOG)
        self.put_config()
        for host in self.hosts:
            await host.start()
        await self.until_served(limit_s)
        for host in self.hosts:
            for _ in range(CALLERS_EACH):
                rng = random.Random(self.rng.random())
                callers = Callers(host, CALLS, rng, self._on_sent)
                self._callers.append(callers)
                self._tasks.append(asyncio.create_task(callers.run()))
            self._tasks.append(asyncio.create_task(self._watch_version(host)))

    async def stop(self) -> None:
        """End everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for callers in self._callers:
            callers.close()
        for host in self.hosts:
            await host.stop()
        self.store.server.stop()
        self._reservation.release()

    def put_config(self) -> None:
        """Put the next version in force; its marker route is new."""
        self.version += 1
        routes: list[dict[str, Any]] = [
            _route('/desk/', KEYED, 'idempotent'),
            _route('/book/', KEYED, 'non_idempotent'),
            _route('/media/', UNKEYED, 'download'),
            _route(_marker(self.version), UNKEYED, 'idempotent'),
        ]
        services = {KEYED: True, UNKEYED: False}
        spec = make_config(self.version, services, VIRTUAL_HOST, routes)
        self.store.put('config', 'main', spec)

    @contextlib.contextmanager
    def disturbance(self) -> Any:
        """Note the time for which an unplanned fault lasts."""
        start = self.clock.now()
        span = Span(start, start + FOREVER_MS)
        self.oracle.disturbed.append(span)
        try:
            yield
        finally:
            self.oracle.disturbed.remove(span)
            self.oracle.disturbed.append(Span(start, self.clock.now()))

    async def until_served(self, limit_s: float) -> None:
        """Wait until each node serves keys all over and the newest version.

        Raises
        ------
        TimeoutError
            If that takes too long.
        """
        async with asyncio.timeout(limit_s):
            for host in self.hosts:
                while not await self._is_served(host):
                    await asyncio.sleep(POLL_S)

    def heal(self) -> None:
        """End what harms the store and the connections."""
        self.store.fault = StoreFault.NONE
        for host in self.hosts:
            host.heal(list(host.proxies))

    def _host(
        self, number: int, service: str, ports: list[int], folder: pathlib.Path
    ) -> Host:
        region, zone = REGIONS[number % len(REGIONS)]
        mine = tuple(ports.pop() for _ in range(PORTS_EACH))
        plan = HostPlan(
            f'n{number}',
            service,
            zone,
            region,
            mine,
            self.rng.getrandbits(SEED_BITS),
            self.rng.randint(*WORK_MS),
            self.rng.choice([0.0, LOSE]),
            self.rng.choice([1.0, CLOCK_FACTOR]),
        )
        return Host(
            plan,
            self._store_address,
            folder,
            self.oracle.events.append,
            self._on_end,
        )

    def _on_end(self, target: str, at: int) -> None:
        self.oracle.ended_at[target].append(at)

    def _on_sent(self, sent: Sent) -> None:
        self.oracle.sent[sent.request] = sent

    async def _is_served(self, host: Host) -> bool:
        callers = Callers(host, CALLS, self.rng, self._on_sent)
        marker = _marker_call(self.version)
        wanted = [(marker, 0), (CALLS[2], 0)]
        wanted.extend(
            (CALLS[0], self.rng.randrange(KEY_COUNT))
            for _ in range(SAMPLE_KEYS)
        )
        answers = [await callers.send(call, key) for call, key in wanted]
        callers.close()
        return all(sent.status == STATUS_OK for sent in answers)

    async def _watch_version(self, host: Host) -> None:
        """Look whether a node ever goes back to an older version."""
        callers = Callers(host, CALLS, self.rng, self._on_sent)
        while True:
            await asyncio.sleep(POLL_S)
            life = (host.plan.name, host.node_life)
            newest = self.version
            sent = await callers.send(_marker_call(newest), 0)
            if life != (host.plan.name, host.node_life):
                continue
            if sent.status == STATUS_OK:
                self._seen[life] = max(newest, self._seen.get(life, 0))
            seen = self._seen.get(life, 0) >= newest
            # A newer version has no marker of an older one.
            is_newest = newest == self.version
            if sent.status == NOT_FOUND and seen and is_newest:
                self.broken.append(f'config: {life} went back from {newest}')


def _marker(version: int) -> str:
    return f'/version-{version}/'


def _marker_call(version: int) -> Call:
    return Call(VIRTUAL_HOST, f'{_marker(version)}x', keyed=False, once=False)


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
