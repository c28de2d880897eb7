"""Tables that other nodes have announced, and paths on which pulls fail.

A node without the newest table sends requests to nodes that no longer own
their keys; one without any table, after a restart, refuses them all.
"""

import asyncio
from typing import Any, cast
from unittest import mock

from savoryhold.core.errors import LinkError
from savoryhold.core.ids import NodeId, Region, ServiceName, Version, Zone
from savoryhold.daemon.logs import get_log
from savoryhold.mesh.codec import table_message
from savoryhold.mesh.members import MemberTable
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.peers import PeerTask
from savoryhold.mesh.tables import TableTask
from savoryhold.mesh.tests.fleet import mesh_settings
from savoryhold.mesh.tests.virtual_time import LoopClock, VirtualTimeCase
from savoryhold.peer import PeerPool, messages
from savoryhold.ranges import KEY_COUNT, RangeTable, initial_rows

DESK = ServiceName('desk')
FAST_S = 0.01
SLOW_S = 0.6  # of a large table over a busy link
LEARNED_S = 0.9  # before the next statuses
SILENT_PEERS = 3
MS_PER_SECOND = 1000


class Links:
    """Replaces the pool of links; each peer has a table and a delay."""

    def __init__(self) -> None:
        self.versions: dict[str, int] = {}
        # Seconds until a peer's reply, None if it never comes.
        self.delays: dict[str, float | None] = {}
        self.calls: list[str] = []

    async def call(
        self, address: str, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Pull a table from a peer."""
        self.calls.append(address)
        delay_s = self.delays[address]
        if delay_s is None or delay_s * MS_PER_SECOND > timeout_ms:
            await asyncio.sleep(timeout_ms / MS_PER_SECOND)
            raise LinkError('no reply in time', sent=True)
        version = Version(self.versions[address])
        await asyncio.sleep(delay_s)
        rows = initial_rows([(NodeId(address), 1.0)])
        return table_message(RangeTable(DESK, version, rows, []))


class TestPulls(VirtualTimeCase):
    """One node that hears of newer tables."""

    async def asyncSetUp(self) -> None:
        """Create a node that has no table."""
        settings = mesh_settings('node', 'files')
        members = MemberTable(settings.node, settings.region, settings.zone)
        clock, log = LoopClock(), get_log(node='node')
        owner, self.links = mock.Mock(), Links()
        pool = cast(PeerPool, self.links)
        self.tables = TableTask(
            settings, mock.Mock(), members, owner, pool, clock, log
        )
        configs = cast(Any, mock.Mock(version=1))
        self.peers = PeerTask(
            NodeContext(
                settings, members, owner, self.tables, configs, pool, clock, log
            )
        )

    def hear(
        self, peer: str, version: int, delay_s: float | None = FAST_S
    ) -> None:
        """Receive the status of a peer that has a version."""
        self.links.versions[peer] = version
        self.links.delays[peer] = delay_s
        table = messages.TableVersion(service_name=DESK, version=version)
        self.peers._receive_update(
            messages.MeshStatus(
                node=peer,
                address=peer,
                service_name=DESK,
                zone=Zone('z'),
                region=Region('r'),
                life=1,
                config_version=1,
                tables=[table],
            )
        )

    async def check_learned(self, version: int) -> None:
        """Check that the node gets a version before the next statuses."""
        await asyncio.sleep(LEARNED_S)
        self.assertEqual(self.tables.tables[DESK].version, version)

    # Announcements were dropped while a pull was under way, and nothing was
    # tried after it had failed.
    async def test_other_announcer_is_asked_if_the_first_is_silent(
        self,
    ) -> None:
        """Some nodes that have the table cannot be reached."""
        for number in range(SILENT_PEERS):
            self.hear(f'silent-{number}', 5, None)
        self.hear('second', 5)
        await self.check_learned(5)

    # A version that was announced during a pull came with the next status.
    async def test_version_announced_during_a_pull_is_fetched(self) -> None:
        """The pull brings version 5 while version 6 is announced."""
        self.hear('first', 5)
        await asyncio.sleep(FAST_S / 2)
        self.hear('second', 6)
        await self.check_learned(6)

    # A pull was given up after 250 ms, and the next one began anew.
    async def test_large_table_over_a_busy_link(self) -> None:
        """The only announcer's reply takes its time."""
        self.hear('first', 5, SLOW_S)
        await self.check_learned(5)

    async def test_known_versions_are_not_pulled(self) -> None:
        """Most statuses announce what the node has already."""
        self.hear('first', 5)
        await self.check_learned(5)
        self.hear('second', 5)
        self.hear('third', 4)
        await asyncio.sleep(LEARNED_S)
        self.assertEqual(self.links.calls, ['first'])

    async def test_one_pull_is_enough_if_it_succeeds(self) -> None:
        """Many nodes announce a version at the same time."""
        for number in range(SILENT_PEERS):
            self.hear(f'peer-{number}', 5)
        await self.check_learned(5)
        self.assertEqual(len(self.links.calls), 1)

    # A table above 1 MiB could be packed and not unpacked.
    async def test_table_of_the_largest_size(self) -> None:
        """Each key has a row of its own."""
        rows = [[key, key, f'owner-{key}', 1, ''] for key in range(KEY_COUNT)]
        table = RangeTable.from_fields(DESK, Version(5), rows, [])
        self.tables.apply_update(table_message(table))
        self.assertEqual(len(self.tables.tables[DESK].rows), KEY_COUNT)
