"""A TCP proxy on loopback that ends connections after a number of bytes of the target's output."""

import asyncio
import socket

from asyncserver import reset

CHUNK_BYTES = 65536


class CuttingProxy:
    """Forwards connections from one loopback port to another."""

    def __init__(self, event_loop, port, target):
        self.event_loop = event_loop
        self.port = port
        self.target = target
        # Output of the target is forwarded in pieces (bytes) with a pause (s) after each.
        self.piece_bytes = CHUNK_BYTES
        self.pause = 0.0
        self._bytes_left = None
        self._ending = None
        self._writers = set()
        event_loop.run(self._open())

    def cut_after(self, count, ending):
        """Ends the connection that carries the count-th byte of the target's output from now on.

        Parameter ending is "close" or "reset".
        """
        self.event_loop.call(self._arm, count, ending)

    def has_cut(self):
        """Returns whether the connection was ended since the last call of cut_after()."""
        return self._bytes_left is None

    def stop(self):
        self.event_loop.run(self._close())

    def _arm(self, count, ending):
        self._bytes_left = count
        self._ending = ending

    async def _open(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _close(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        try:
            target_reader, target_writer = await self._connect()
        except OSError:
            writer.transport.abort()
            return
        both = {writer, target_writer}
        self._writers |= both
        await asyncio.gather(self._forward(reader, target_writer),
                             self._forward_output(target_reader, writer))
        self._writers -= both
        for end in both:
            end.close()

    async def _connect(self):
        # With a small buffer, what the proxy does not read yet stays with the target's process.
        target = socket.socket()
        try:
            target.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CHUNK_BYTES)
            target.setblocking(False)
            await self.event_loop.loop.sock_connect(target, ("127.0.0.1", self.target))
            return await asyncio.open_connection(sock=target)
        except OSError:
            target.close()
            raise

    async def _forward(self, reader, writer):
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    async def _forward_output(self, reader, writer):
        try:
            while chunk := await reader.read(self.piece_bytes):
                if self._bytes_left is not None:
                    if self._bytes_left <= len(chunk):
                        await self._cut(writer, chunk[:self._bytes_left])
                        return
                    self._bytes_left -= len(chunk)
                writer.write(chunk)
                await writer.drain()
                await asyncio.sleep(self.pause)
        except OSError:
            pass
        writer.close()

    async def _cut(self, writer, last):
        self._bytes_left = None
        writer.write(last)
        await writer.drain()
        if self._ending == "reset":
            reset(writer)
        else:
            writer.close()
