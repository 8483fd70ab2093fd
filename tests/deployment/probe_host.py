"""Probes of all nodes after a change."""

import asyncio
import time

from quiet_event_loop import quiet_event_loop
from request_client import RequestClient

# Time budget (s) of a probe.
BUDGET = 1.0


class ProbeHost:
    """Sends each node requests on changed routes at a fixed interval; lives in a process of its
    own."""

    def __init__(self):
        self._event_loop = quiet_event_loop()
        self._outcomes = []
        self._client = RequestClient(self._outcomes)
        self._latest_send = 0.0

    def probe(self, nodes, prefixes, start, end, interval):
        """Probes nodes (pairs of name and port) between two times. Returns the outcomes, and by how
        much (s) the latest probe was sent late."""
        return self._event_loop.run(self._probe(nodes, prefixes, start, end, interval))

    async def _probe(self, nodes, prefixes, start, end, interval):
        self._outcomes.clear()
        latest = 0.0
        probes = []
        ticks = round((end - start) / interval)
        for tick in range(ticks):
            for position, (name, port) in enumerate(nodes):
                due = start + interval * (tick + position / len(nodes))
                await asyncio.sleep(due - time.monotonic())
                latest = max(latest, time.monotonic() - due)
                prefix = prefixes[(tick + position) % len(prefixes)]
                probes.append(asyncio.ensure_future(self._send(name, port, prefix)))
        await asyncio.gather(*probes)
        return list(self._outcomes), latest

    async def _send(self, name, port, prefix):
        _, _, connection = await self._client.send(name, port, "GET", prefix, b"", BUDGET)
        if connection is not None:
            connection[1].close()
