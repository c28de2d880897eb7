"""Planned moves of shards that this node holds."""

import dataclasses
import enum

from savoryhold.core.ids import NodeId, ShardKey

__all__ = ['MOVE_LIMIT_MS', 'Move', 'MoveState', 'MoveTable']

MOVE_LIMIT_MS = 1000  # a move that is not ready by then is aborted


class MoveState(enum.Enum):
    """State of a planned move, before its write."""

    DRAINING = 'draining'
    HANDING_OVER = 'handing'
    READY = 'ready'


NEXT_STATE = {
    MoveState.DRAINING: MoveState.HANDING_OVER,
    MoveState.HANDING_OVER: MoveState.READY,
}


@dataclasses.dataclass(slots=True)
class Move:
    """A planned move of one shard to another node."""

    key: ShardKey
    target: NodeId
    started_at: int
    state: MoveState = MoveState.DRAINING


class MoveTable:
    """Moves that have not been written yet."""

    def __init__(self) -> None:
        self._moves: dict[ShardKey, Move] = {}

    def __contains__(self, key: ShardKey) -> bool:
        """Return whether a shard is being moved."""
        return key in self._moves

    def __len__(self) -> int:
        """Return how many shards are being moved."""
        return len(self._moves)

    def start(self, key: ShardKey, target: NodeId, now: int) -> None:
        """Start a move by draining the shard."""
        self._moves[key] = Move(key, target, now)

    def advance(self, key: ShardKey, state: MoveState) -> Move | None:
        """Advance a move if it is in `state`; return it if it was."""
        move = self._moves.get(key)
        if move is None or move.state is not state:
            return None
        move.state = NEXT_STATE[state]
        return move

    def target_of(self, key: ShardKey) -> NodeId | None:
        """Return where a shard is moving to."""
        move = self._moves.get(key)
        return None if move is None else move.target

    def ready_moves(self) -> list[Move]:
        """Return the moves that are ready to be written."""
        return [
            move
            for move in self._moves.values()
            if move.state is MoveState.READY
        ]

    def overdue_moves(self, now: int) -> list[Move]:
        """Return moves that are not ready after `MOVE_LIMIT_MS`."""
        return [
            move
            for move in self._moves.values()
            if move.state is not MoveState.READY
            and now - move.started_at > MOVE_LIMIT_MS
        ]

    def remove(self, key: ShardKey) -> None:
        """Remove a move."""
        self._moves.pop(key, None)
