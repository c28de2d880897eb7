"""A loop in virtual time, whose connections stay in the process."""

import asyncio
import selectors
import unittest
from collections.abc import Coroutine
from typing import Any, TypeVar

from savoryhold.mesh.tests.simulated_network import LIFE

__all__ = ['LoopClock', 'VirtualTimeCase', 'run_virtual']

MS_PER_SECOND = 1000

Outcome = TypeVar('Outcome')


class _JumpingSelector(selectors.SelectSelector):
    """Moves the loop's clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.time_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Return what is ready; jump by the timeout if nothing is."""
        ready = super().select(0)
        if not ready and timeout:
            self.time_s += timeout
        return ready


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Jumps to the next timer, and knows whose tasks run."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.time_s

    def advance(self, seconds: float) -> None:
        """Let time pass as if the processor was taken."""
        self._jumping.time_s += seconds

    def create_task(self, coro: Any, **kwargs: Any) -> 'asyncio.Task[Any]':
        """Begin a task of the process that runs, if any."""
        task: asyncio.Task[Any] = super().create_task(coro, **kwargs)
        life = LIFE.get()
        if life is not None:
            life.adopt(task)
        return task

    async def create_connection(self, *args: Any, **kwargs: Any) -> Any:
        """Connect the process that runs to another node."""
        life = LIFE.get()
        if life is None:
            return await super().create_connection(*args, **kwargs)
        factory, host, port = args
        return await life.wires.connect(life, factory, host, port)


class VirtualTimeCase(unittest.IsolatedAsyncioTestCase):
    """Runs each test on a loop in virtual time."""

    def _setupAsyncioRunner(self) -> None:  # noqa: N802
        self._asyncioRunner = asyncio.Runner(loop_factory=_VirtualLoop)


class LoopClock:
    """The loop's time as a clock of nodes."""

    def now(self) -> int:
        """Return the loop's time in ms."""
        return round(asyncio.get_running_loop().time() * MS_PER_SECOND)


def run_virtual(work: Coroutine[Any, Any, Outcome]) -> Outcome:
    """Do something on a loop of its own in virtual time."""
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(work)
