"""Requests that crash the backends which run them."""

import asyncio
import time

from rig import STABLE_S, Poisoned

__all__ = ['BACK_S', 'POISON_PATH', 'Crashes', 'send_poison']

POISON_PATH = '/media/reel-17'
BACK_S = 3.0  # "the backend is back after some seconds"
MOST_RETRIES = 3


class Crashes:
    """Crashes backends on the poisoned request, and counts what reaches them.

    Parameters
    ----------
    rig : Rig
        The deployment.
    is_poison : callable
        Returns whether a request (method, path, headers, body) is poisoned.
    """

    def __init__(self, rig, is_poison):
        self.rig = rig
        self.crashed_at = []
        # (time, request, node beside the backend) of each arrival.
        self.reached = []
        self.ingress = {}
        self._is_poison = is_poison
        self._tasks = set()
        rig.on_poisoned = self._on_poisoned
        for host in rig.hosts:
            host.backend.check = self._check

    def late_retries(self):
        """Return the retries that count, as the rule says.

        Those that reached a backend later than `STABLE_S` after the third
        crash, taken from the requester and passed on by machines in touch.
        """
        if len(self.crashed_at) < 3:
            return []
        since = self.crashed_at[2] + STABLE_S
        return sorted(
            {
                request
                for at, request, in_touch in self.reached
                if at > since and in_touch
            }
        )

    def _check(self, method, path, headers, body):
        if self._is_poison(method, path, headers, body):
            raise Poisoned

    def _on_poisoned(self, backend, request):
        now = time.monotonic()
        host = backend.host
        ingress = self.ingress.get(request)
        in_touch = host.in_touch(now) and bool(
            ingress and ingress.in_touch(now)
        )
        self.crashed_at.append(now)
        self.reached.append((now, request, in_touch))
        self.rig.note(
            'crash',
            backend=backend.id,
            request=request,
            number=len(self.crashed_at),
            in_touch=in_touch,
        )
        loop = asyncio.get_running_loop()
        loop.call_soon(backend.crash)
        task = asyncio.create_task(self._restart(backend))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self, backend):
        await asyncio.sleep(BACK_S)
        await backend.start()


async def send_poison(rig, crashes, hosts, gap_s, path=POISON_PATH):
    """Send the poisoned request at one machine after the other, for ever.

    Only machines in touch are chosen, as no others count.
    """
    number = 0
    pending = set()
    while True:
        ready = [host for host in hosts if host.is_ready and host.in_touch()]
        if ready:
            host = ready[number % len(ready)]
            number += 1
            task = asyncio.create_task(_send(rig, crashes, host, path))
            pending.add(task)
            task.add_done_callback(pending.discard)
        await asyncio.sleep(gap_s)


async def _send(rig, crashes, host, path):
    def remember(request):
        crashes.ingress[request] = host

    await rig.send(host, path, on_id=remember)
