"""An event loop in virtual time, connected to a simulated network."""

import asyncio
import selectors
import unittest
from collections.abc import Coroutine
from typing import Any, TypeVar

from savoryhold.mesh.tests.simulated_network import CURRENT_PROCESS

__all__ = ['LoopClock', 'VirtualTimeCase', 'run_virtual']

MS_PER_SECOND = 1000

Outcome = TypeVar('Outcome')


class _JumpingSelector(selectors.SelectSelector):
    """Advances the loop's clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.time_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Return what is ready; advance by the timeout if nothing is."""
        ready = super().select(0)
        if not ready and timeout:
            self.time_s += timeout
        return ready


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Jumps to the next timer, and assigns tasks to simulated processes."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.time_s

    def advance(self, seconds: float) -> None:
        """Let time pass as if other work had occupied the processor."""
        self._jumping.time_s += seconds

    def create_task(self, coro: Any, **kwargs: Any) -> 'asyncio.Task[Any]':
        """Start a task of the current simulated process, if any."""
        task: asyncio.Task[Any] = super().create_task(coro, **kwargs)
        process = CURRENT_PROCESS.get()
        if process is not None:
            process.track(task)
        return task

    async def create_connection(self, *args: Any, **kwargs: Any) -> Any:
        """Connect the current simulated process to another node."""
        process = CURRENT_PROCESS.get()
        if process is None:
            return await super().create_connection(*args, **kwargs)
        factory, host, port = args
        return await process.network.connect(process, factory, host, port)


class VirtualTimeCase(unittest.IsolatedAsyncioTestCase):
    """Runs each test on a loop in virtual time."""

    def _setupAsyncioRunner(self) -> None:  # noqa: N802
        self._asyncioRunner = asyncio.Runner(loop_factory=_VirtualLoop)


class LoopClock:
    """A clock for nodes that shows the loop's time."""

    def now(self) -> int:
        """Return the loop's time in ms."""
        return round(asyncio.get_running_loop().time() * MS_PER_SECOND)


def run_virtual(work: Coroutine[Any, Any, Outcome]) -> Outcome:
    """Run a coroutine on a new loop in virtual time."""
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(work)
