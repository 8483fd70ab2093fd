"""A loopback proxy whose connections can be delayed, reset, silenced or cut one way."""

import asyncio

CHUNK_BYTES = 65536
MODES = ("open", "delay", "silent", "forwards_only", "backwards_only")


class Proxy:
    """Forwards connections from one loopback port to another."""

    def __init__(self, event_loop, port, target):
        self.event_loop = event_loop
        self.port = port
        self.target = target
        self.mode = "open"
        self.delay = 0.05
        self._writers = set()
        event_loop.run(self._open())

    def set_mode(self, mode):
        """Sets what happens to all bytes from here on, on open connections as well."""
        assert mode in MODES, mode
        self.mode = mode

    def reset_all(self):
        """Resets every connection; new ones are accepted."""
        self.event_loop.call(self._abort_all)

    def stop(self):
        self.event_loop.run(self._close())

    async def _open(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _close(self):
        self._server.close()
        self._abort_all()

    def _abort_all(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        await asyncio.gather(
            self._forward(reader, target_writer, "backwards_only"),
            self._forward(target_reader, writer, "forwards_only"),
        )
        self._writers -= {writer, target_writer}

    async def _forward(self, reader, writer, blocking_mode):
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.mode == "delay":
                    await asyncio.sleep(self.delay)
                # What is held back arrives late, once the cut has healed, as TCP would send it.
                while self.mode in ("silent", blocking_mode):
                    await asyncio.sleep(0.02)
                writer.write(chunk)
                await writer.drain()
            writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
