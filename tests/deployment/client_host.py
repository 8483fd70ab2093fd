"""The clients of the deployment."""

import asyncio
import random

from quiet_event_loop import quiet_event_loop
from deployment_site import KINDS
from request_client import RequestClient

# Connections that a node's clients keep, at most.
POOL_SIZE = 12


class ClientHost:
    """Sends each node the requests of its machine's clients, and requests on routes that have just
    changed; lives in a process of its own."""

    def __init__(self, seed):
        self._event_loop = quiet_event_loop()
        self._random = random.Random(f"{seed}-clients")
        self._outcomes = []
        self._client = RequestClient(self._outcomes)
        self._pools = {}
        self._recent = []
        self._factor = 1.0
        self._streams = {}
        self._tasks = set()

    def add(self, node, port, rate, test_rate):
        """Begins to send requests to a node; rates are per second."""
        self._pools[node] = []
        self._streams[node] = [
            asyncio.run_coroutine_threadsafe(self._send_kinds(node, port, rate),
                                             self._event_loop.loop),
            asyncio.run_coroutine_threadsafe(self._send_tests(node, port, test_rate),
                                             self._event_loop.loop)]

    def remove(self, node):
        for stream in self._streams.pop(node):
            stream.cancel()

    def set_recent(self, prefixes):
        """Sets the prefixes that the last versions have changed."""
        self._recent = prefixes

    def set_factor(self, factor):
        """Multiplies the rates of the requests of all kinds."""
        self._factor = factor

    def outcomes(self):
        return self._outcomes

    def _start(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_kinds(self, node, port, rate):
        kinds = [k for k in KINDS if k.share]
        shares = [k.share for k in kinds]
        while True:
            await asyncio.sleep(self._random.expovariate(rate * self._factor))
            kind = self._random.choices(kinds, shares)[0]
            self._start(self._send_kind(node, port, kind))

    async def _send_kind(self, node, port, kind):
        pool = self._pools[node]
        connection = pool.pop() if kind.is_pooled and pool else None
        _, is_kept, connection = await self._client.send(
            node, port, kind.method, kind.prefix, b"x" * kind.body_bytes, kind.deadline, connection)
        if is_kept and kind.is_pooled and len(pool) < POOL_SIZE:
            pool.append(connection)
        elif is_kept:
            connection[1].close()

    async def _send_tests(self, node, port, rate):
        while True:
            await asyncio.sleep(self._random.expovariate(rate))
            if self._recent:
                self._start(self._send_test(node, port, self._random.choice(self._recent)))

    async def _send_test(self, node, port, prefix):
        _, is_kept, connection = await self._client.send(node, port, "GET", prefix, b"", 1.0)
        if is_kept:
            connection[1].close()
