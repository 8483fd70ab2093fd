"""Sends requests to a node and records what became of each."""

import asyncio
import itertools
import os
import time

from intent_versions import host_of


class RequestClient:
    """An HTTP client without a pool; outcomes are tuples (node, prefix, sent at, ended at, status,
    instance)."""

    _numbers = itertools.count(1)

    def __init__(self, outcomes):
        self._outcomes = outcomes

    async def open(self, port):
        return await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1.0)

    async def send(self, node, port, method, prefix, body, budget, connection=None, parent=None,
                   is_recorded=True):
        """Sends a request on a connection, or on a new one. Returns (status, whether the connection
        can be used again, and the connection); status 0 without a response."""
        sent_at = time.monotonic()
        status, instance, is_kept = 0, None, False
        try:
            if connection is None:
                connection = await self.open(port)
                sent_at = time.monotonic()
            reader, writer = connection
            attempt = f"{os.getpid():x}-{next(self._numbers):x}"
            if parent:
                attempt = f"{parent}.{attempt}"
            head = (f"{method} {prefix}{attempt[-6:]} HTTP/1.1\r\nHost: {host_of(prefix)}\r\n"
                    f"X-Boragetrack-Attempt-Id: {attempt}\r\n"
                    f"X-Boragetrack-Time-Budget-Ms: {budget * 1000:.0f}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n")
            writer.write(head.encode() + body)
            status, instance, is_kept = await asyncio.wait_for(self._read(reader), budget + 0.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        if is_recorded:
            self._outcomes.append((node, prefix, sent_at, time.monotonic(), status, instance))
        if not is_kept and connection is not None:
            connection[1].close()
        return status, is_kept, connection

    @staticmethod
    async def _read(reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        status = int(head.split(" ", 2)[1])
        length = 0
        for line in head.split("\r\n"):
            if line.startswith("content-length:"):
                length = int(line.split(":")[1])
        body = await reader.readexactly(length)
        instance = body.split(b" ", 1)[0].decode() if status == 200 else None
        return status, instance, "connection: close" not in head
