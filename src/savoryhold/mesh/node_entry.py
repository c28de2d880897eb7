"""This node's entry in the registry, of which several tasks keep a part."""

from typing import Any, Protocol

from savoryhold.core.errors import PlatformError, VersionConflictError
from savoryhold.core.ids import NodeId
from savoryhold.mesh.interface import NODE_KIND, MeshStore

__all__ = ['EntryPart', 'NodeEntry']


class EntryPart(Protocol):
    """A part of the entry that a task keeps."""

    def restore(self, entry: Any) -> None:
        """Take over what an entry tells."""

    def add_to(self, entry: dict[str, Any]) -> dict[str, Any]:
        """Return an entry with this part in it."""


class NodeEntry:
    """The stored entry of a node.

    Parameters
    ----------
    node : NodeId
        Name of the node.
    store : MeshStore
        Store of the registry.
    """

    def __init__(self, node: NodeId, store: MeshStore) -> None:
        self._node = node
        self._store = store

    async def write(self, part: EntryPart) -> bool:
        """Add a part to the stored entry.

        Returns
        -------
        bool
            False if another write came first.

        Raises
        ------
        PlatformError
            If the store fails, or the node is not registered.
        """
        stored = await self._store.read(NODE_KIND, self._node)
        if stored is None or not isinstance(stored.spec, dict):
            raise PlatformError(f'{self._node} is not registered')
        part.restore(stored.spec)
        entry = part.add_to(stored.spec)
        if entry == stored.spec:
            return True
        try:
            written = await self._store.replace(
                NODE_KIND, self._node, entry, stored.version
            )
        except VersionConflictError:
            return False
        part.restore(written.spec)
        return True
