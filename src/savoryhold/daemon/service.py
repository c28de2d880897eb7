"""Backend of the admin interface, for operators and the local target."""

import asyncio
from collections import Counter
from typing import Any

from savoryhold.core import events
from savoryhold.core.errors import BadRequestError, LinkError
from savoryhold.core.ids import (
    NodeId,
    ServiceName,
    ShardId,
    ShardKey,
)
from savoryhold.core.lease import LEASE_MS
from savoryhold.daemon.gossiper import GossipTask
from savoryhold.daemon.node import NodeTask
from savoryhold.daemon.owner import OwnerTask
from savoryhold.daemon.router import RouterTask
from savoryhold.daemon.watcher import WatcherTask
from savoryhold.peer import messages
from savoryhold.target import Announcement

__all__ = ['DaemonService']

RELAY_TIMEOUT_MS = 1000


class DaemonService:
    """Carries out the calls of the admin interface.

    Parameters
    ----------
    node : NodeTask
        Ownership, directory and configuration.
    owner : OwnerTask
        Requests at the local target.
    router : RouterTask
        Callers' requests that entered here.
    gossip : GossipTask
        Counters of gossip.
    watcher : WatcherTask
        Whether this node watches the store.
    """

    def __init__(
        self,
        node: NodeTask,
        owner: OwnerTask,
        router: RouterTask,
        gossip: GossipTask,
        watcher: WatcherTask,
    ) -> None:
        self.leave_requested = asyncio.Event()
        self._node = node
        self._owner = owner
        self._router = router
        self._gossip = gossip
        self._watcher = watcher
        self._announced_services: frozenset[str] = frozenset()

    def status(self) -> dict[str, Any]:
        """Return the state of the cluster as known to this node."""
        machine = self._node.machine
        directory = machine.directory
        records = [
            entry.record
            for entry in directory.entries()
            if entry.record is not None
        ]
        return {
            'node': machine.node,
            'lease_ms': self._lease_left(),
            'held': len(machine.holder.held),
            'watching': self._watcher.watching,
            'target': sorted(self._owner.tracker.services),
            'running': self._owner.running,
            'waiting': self._owner.waiting,
            'revisions': {
                compiled.name: compiled.accepted.revision
                for compiled in self._node.configs.all()
            },
            'nodes': [
                {
                    'node': record.node,
                    'state': record.state.value,
                    'region': record.profile.region,
                    'zone': record.profile.zone,
                    'address': record.profile.address,
                    'services': sorted(record.profile.services),
                    'standby': record.standby,
                    'claimant': record.claimant,
                    'shards': len(record.owned),
                    'outgoing': len(record.outgoing),
                }
                for record in sorted(records, key=lambda one: one.node)
            ],
            'store_calls': dict(self._node.platform.calls),
            'gossip': {
                'swaps': self._gossip.swaps,
                'pulls': self._gossip.pulls,
            },
            'retries': dict(self._router.retries),
        }

    def routes(self) -> dict[str, Any]:
        """Return the owner and epoch of each shard."""
        routes = self._node.machine.directory.routes()
        return {
            'routes': [
                {
                    'shard': str(key),
                    'owner': grant.owner,
                    'epoch': grant.epoch,
                }
                for key, grant in sorted(routes, key=lambda pair: pair[0])
            ]
        }

    def owner(self, service: str, key: str) -> dict[str, Any]:
        """Return the owner of a key.

        Raises
        ------
        RequestError
            If the service is unknown or is not keyed.
        """
        compiled = self._node.configs.get(service)
        shard = compiled.shard_of(key)
        if shard is None:
            raise BadRequestError(f'service {service!r} is not keyed')
        grant = self._node.machine.directory.route(shard)
        return {
            'shard': shard.shard,
            'owner': grant.owner if grant else None,
            'epoch': grant.epoch if grant else None,
            'address': self._node.address_of(grant.owner) if grant else None,
        }

    async def drain(self, node: str) -> dict[str, Any]:
        """Make a node hand over its shards and leave."""
        if node in {self._node.node, self._node.settings.node.host}:
            self.leave_requested.set()
            return {'draining': self._node.node}
        return await self._relay(node, messages.OperatorCommand(kind='drain'))

    async def move(
        self, service: str, shard: int, target: str
    ) -> dict[str, Any]:
        """Move a shard to another node.

        Raises
        ------
        RequestError
            If the shard or the node is unknown.
        """
        key = ShardKey(ServiceName(service), ShardId(shard))
        machine = self._node.machine
        grant = machine.directory.route(key)
        if grant is None:
            raise BadRequestError(f'shard {key} has no owner')
        chosen = self._find_node(target)
        if grant.owner != machine.node:
            command = messages.OperatorCommand(
                kind='move', service_name=service, shard=shard, target=chosen
            )
            return await self._relay(grant.owner, command)
        self._node.post(events.MoveRequested(key, chosen))
        return {'moving': str(key), 'target': chosen}

    def recover(self, node: str) -> dict[str, Any]:
        """Claim the record of a node that the operator knows to be lost."""
        lost = self._find_node(node)
        self._node.log.warning('recovery_requested', lost=lost)
        self._node.post(events.RecoveryRequested(lost))
        return {'recovering': lost}

    def set_cut(self, regions: list[str]) -> dict[str, Any]:
        """Block the links to these regions, and no others, for fault tests."""
        self._node.pool.cut(
            {
                record.profile.address
                for record in self._node.machine.directory.active()
                if record.profile.region in regions
            }
        )
        return {'cut': sorted(regions)}

    def announce(self, announced: Announcement) -> None:
        """Process an announcement of the local target."""
        if self._owner.tracker.announce(announced):
            self._owner.restart_target()
            self._node.log.info(
                'target_up', address=announced.address, slots=announced.slots
            )
        self.check_target()

    def check_target(self) -> None:
        """Report a change of the target's services to the machine."""
        services = self._owner.tracker.services
        if services != self._announced_services:
            self._announced_services = services
            names = frozenset(ServiceName(name) for name in services)
            self._node.log.info('target_services', services=sorted(services))
            self._node.post(events.TargetServicesChanged(names))

    def healthy(self) -> bool:
        """Return whether the node has a configuration to serve requests."""
        return bool(self._node.configs.all())

    def refresh_gauges(self) -> None:
        """Set the gauges to the current state, before they are exposed."""
        gauge = self._node.metrics.gauge
        gauge(
            'savoryhold_shards_held',
            'Shards held.',
            len(self._node.machine.holder.held),
        )
        gauge(
            'savoryhold_lease_left_ms',
            'Time until the lease lapses, in ms.',
            self._lease_left(),
        )
        gauge('savoryhold_running', 'Requests running.', self._owner.running)
        gauge('savoryhold_waiting', 'Requests waiting.', self._owner.waiting)
        for region, sent in self._sent_by_region().items():
            gauge(
                'savoryhold_peer_bytes_sent',
                'Bytes sent to other daemons, by region.',
                sent,
                region=region,
            )
        for kind, count in self._node.platform.calls.items():
            gauge(
                'savoryhold_store_calls',
                'Calls of the object API, by kind.',
                count,
                kind=kind,
            )

    def _sent_by_region(self) -> Counter[str]:
        regions = {
            record.profile.address: record.profile.region
            for record in self._node.machine.directory.active()
        }
        sent: Counter[str] = Counter()
        for address, count in self._node.pool.bytes_sent().items():
            sent[regions.get(address, 'unknown')] += count
        return sent

    def _lease_left(self) -> int:
        machine = self._node.machine
        left = machine.holder.lease.valid_until() - self._node.clock.now()
        return max(0, min(left, LEASE_MS))

    def _find_node(self, name: str) -> NodeId:
        records = [
            entry.record
            for entry in self._node.machine.directory.entries()
            if entry.record is not None
        ]
        # A host that rejoined may still have its old, claimed record; its
        # live record comes first.
        records.sort(key=lambda record: not record.is_live)
        for record in records:
            if name in {record.node, record.node.partition('.')[0]}:
                return record.node
        raise BadRequestError(f'node or host {name!r} is not known')

    async def on_operator_command(
        self, command: messages.Message
    ) -> dict[str, Any]:
        """Carry out an operator's command that another daemon relayed."""
        if command.kind == 'drain':
            return await self.drain(self._node.node)
        if command.kind == 'move':
            return await self.move(
                command.service_name, command.shard, command.target
            )
        raise BadRequestError(f'operator command {command.kind!r} is unknown')

    async def _relay(
        self, node: str, command: messages.Message
    ) -> dict[str, Any]:
        found = self._find_node(node)
        address = self._node.address_of(found)
        try:
            reply = await self._node.pool.call(
                address or '', command, RELAY_TIMEOUT_MS
            )
        except LinkError as exc:
            raise BadRequestError(f'node {found}: {exc}') from exc
        if not reply.ok:
            raise BadRequestError(f'node {found}: {reply.text}')
        return {'asked': found, 'order': command.kind}
