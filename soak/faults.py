"""Random faults, one after the other and overlapping."""

import asyncio
import contextlib
import random
import signal
from collections.abc import Awaitable, Callable

from soak.hosts import Host, PathKind
from soak.proxy import ConnectionFault
from soak.store import StoreFault
from soak.deployment import Deployment
from soak.hostile import HostileCrowd, exceeds_memory

__all__ = ['FaultInjector']

GAP_S = (0.1, 1.6)
DURATION_S = (0.3, 4.0)
DOWNTIME_S = (0.1, 1.5)
SIGNAL_S = 0.3  # within which a signal without a handler ends a process
CONNECTION_FAULTS = [
    fault for fault in ConnectionFault if fault is not ConnectionFault.NONE
]
STORE_FAULTS = [fault for fault in StoreFault if fault is not StoreFault.NONE]
EXIT_FAILED = 'exit: {0} ended with status {1} after SIGTERM'

FaultAction = Callable[['FaultInjector', Host], Awaitable[None]]


class FaultInjector:
    """Chooses and injects faults.

    Parameters
    ----------
    deployment : Deployment
        Deployment to inject them into.
    rng : random.Random
        Chooses the faults.
    log : callable
        Called with a line at the start and the end of each fault.
    """

    def __init__(
        self,
        deployment: Deployment,
        rng: random.Random,
        log: Callable[[str], None],
    ) -> None:
        self.deployment = deployment
        self.rng = rng
        self._log = log
        self._busy: set[str] = set()

    async def play(self, seconds: float) -> None:
        """Start faults for a time; return when the last one has ended."""
        async with asyncio.TaskGroup() as group:
            loop = asyncio.get_running_loop()
            end = loop.time() + seconds
            while loop.time() < end:
                fault = self.rng.choice(FAULTS)
                host = self.rng.choice(self.deployment.hosts)
                group.create_task(self._play_fault(fault, host))
                await asyncio.sleep(self.rng.uniform(*GAP_S))
        self.deployment.heal()

    async def _play_fault(self, fault: FaultAction, host: Host) -> None:
        name = fault.__name__
        # A process that is being restarted must get no other signal.
        slot = host.plan.name if fault in PROCESS_FAULTS else name
        if slot in self._busy:
            return
        self._busy.add(slot)
        self._log(f'{self.deployment.clock.now()} {name} {host.plan.name}')
        unplanned = fault not in PLANNED
        span = self.deployment.record_fault_span() if unplanned else None
        with span or contextlib.nullcontext():
            await fault(self, host)
        self._log(f'{self.deployment.clock.now()} {name} {host.plan.name} over')
        self._busy.discard(slot)

    def reserve_idle_hosts(self) -> list[Host]:
        """Reserve all hosts whose processes no other fault uses."""
        hosts = [
            host
            for host in self.deployment.hosts
            if host.plan.name not in self._busy
        ]
        self._busy.update(host.plan.name for host in hosts)
        return hosts

    def release_hosts(self, hosts: list[Host]) -> None:
        """Let other faults use hosts again."""
        self._busy.difference_update(host.plan.name for host in hosts)

    async def wait_duration(self) -> None:
        """Wait for the random duration of a fault."""
        await asyncio.sleep(self.rng.uniform(*DURATION_S))

    async def wait_downtime(self) -> None:
        """Wait for the random downtime of a process."""
        await asyncio.sleep(self.rng.uniform(*DOWNTIME_S))


async def kill_node(injector: FaultInjector, host: Host) -> None:
    """SIGKILL a node."""
    host.signal_node(signal.SIGKILL)
    await host.wait_node_exit()
    await injector.wait_downtime()
    await host.start_node()


async def kill_target(injector: FaultInjector, host: Host) -> None:
    """SIGKILL a target; restart it under a new or the same name."""
    host.signal_target(signal.SIGKILL)
    await host.wait_target_exit()
    await injector.wait_downtime()
    await host.start_target(same_name=injector.rng.choice((True, False)))


async def kill_host(injector: FaultInjector, host: Host) -> None:
    """SIGKILL both processes of a host."""
    host.signal_node(signal.SIGKILL)
    host.signal_target(signal.SIGKILL)
    await host.wait_node_exit()
    await host.wait_target_exit()
    await injector.wait_duration()
    await host.start_target()
    await host.start_node()


async def kill_all_nodes(injector: FaultInjector, host: Host) -> None:
    """SIGKILL all nodes that no other fault uses."""
    hosts = injector.reserve_idle_hosts()
    for idle_host in hosts:
        idle_host.signal_node(signal.SIGKILL)
    for idle_host in hosts:
        await idle_host.wait_node_exit()
        await idle_host.start_node()
    injector.release_hosts(hosts)


async def pause_node(injector: FaultInjector, host: Host) -> None:
    """Freeze a node for a time."""
    host.signal_node(signal.SIGSTOP)
    await injector.wait_duration()
    host.signal_node(signal.SIGCONT)


async def pause_target(injector: FaultInjector, host: Host) -> None:
    """Freeze a target for a time."""
    host.signal_target(signal.SIGSTOP)
    await injector.wait_duration()
    host.signal_target(signal.SIGCONT)


async def restart_node(injector: FaultInjector, host: Host) -> None:
    """Stop a node gracefully and start it again."""
    host.signal_node(signal.SIGTERM)
    status = await host.wait_node_exit()
    # SIGTERM may end a process that has not begun to listen yet.
    if status and (status != -signal.SIGTERM or host.has_listened()):
        injector.deployment.violations.append(
            EXIT_FAILED.format(host.plan.name, status)
        )
    if status is None:
        host.signal_node(signal.SIGKILL)
        await host.wait_node_exit()
        injector.deployment.violations.append(
            f'hang: {host.plan.name} after SIGTERM'
        )
    await host.start_node()


async def replace_target(injector: FaultInjector, host: Host) -> None:
    """Let a target leave, and start its next incarnation."""
    host.signal_target(signal.SIGTERM)
    await host.wait_target_exit()
    await injector.wait_downtime()
    await host.start_target()


async def reload_node(injector: FaultInjector, host: Host) -> None:
    """Make a node reload its settings.

    Notes
    -----
    SIGHUP ends a process whose interpreter has not run its first line yet; the
    platform then starts it again.
    """
    host.signal_node(signal.SIGHUP)
    status = await host.wait_node_exit(SIGNAL_S)
    if status is None:
        return
    if status != -signal.SIGHUP or host.has_listened():
        injector.deployment.violations.append(
            f'exit: {host.plan.name} ended with status {status} after SIGHUP'
        )
    await host.start_node()


async def change_config(injector: FaultInjector, host: Host) -> None:
    """Store a new configuration, or two in immediate succession."""
    injector.deployment.put_config()
    if injector.rng.choice((True, False)):
        injector.deployment.put_config()


async def fault_connections(injector: FaultInjector, host: Host) -> None:
    """Inject a fault into one kind of connections of a host."""
    kind = injector.rng.choice(list(PathKind))
    host.inject_fault([kind], injector.rng.choice(CONNECTION_FAULTS))
    await injector.wait_duration()
    host.heal([kind])


async def cut_host(injector: FaultInjector, host: Host) -> None:
    """Cut a host off from other nodes, the store, or both."""
    kinds = injector.rng.choice(
        [
            [PathKind.PEERS],
            [PathKind.STORE],
            [PathKind.PEERS, PathKind.STORE],
        ]
    )
    host.inject_fault(
        kinds,
        injector.rng.choice([ConnectionFault.SILENT, ConnectionFault.RESET]),
    )
    await injector.wait_duration()
    host.heal(kinds)


async def fault_store(injector: FaultInjector, host: Host) -> None:
    """Inject a fault into the store."""
    injector.deployment.store.fault = injector.rng.choice(STORE_FAULTS)
    await injector.wait_duration()
    injector.deployment.store.fault = StoreFault.NONE


async def crowd_node(injector: FaultInjector, host: Host) -> None:
    """Let a crowd of hostile callers fill the memory of a node."""
    crowd = HostileCrowd(host)
    crowd.start()
    await injector.wait_duration()
    violation = exceeds_memory(host)
    await crowd.stop()
    if violation:
        injector.deployment.violations.append(violation)


FAULTS: list[FaultAction] = [
    kill_node,
    kill_target,
    kill_host,
    kill_all_nodes,
    pause_node,
    pause_target,
    restart_node,
    replace_target,
    reload_node,
    change_config,
    fault_connections,
    fault_connections,
    cut_host,
    fault_store,
    crowd_node,
]
PROCESS_FAULTS = frozenset(
    {
        kill_node,
        kill_target,
        kill_host,
        pause_node,
        pause_target,
        restart_node,
        replace_target,
        reload_node,
    }
)
PLANNED = frozenset({restart_node, replace_target, reload_node, change_config})
