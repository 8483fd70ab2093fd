"""A TCP proxy on loopback whose connections can be cut in the ways in which networks do it."""

import asyncio

from asyncserver import reset

CHUNK_BYTES = 65536
POLL_SECONDS = 0.02


class GateConnection:
    """A forwarded connection."""

    def __init__(self, find_origin, writers):
        self._find_origin = find_origin
        self._origin = None
        self.writers = writers
        # Forwards nothing any more, and tells neither side.
        self.is_dead = False
        # Forwards nothing until this time of the loop; what waits goes on then.
        self.held_until = 0.0

    @property
    def origin(self):
        """The name of the client, or None; found when a cut asks for it, since that takes a while."""
        if self._origin is None:
            self._origin = self._find_origin()
        return self._origin


class Gate:
    """Forwards connections from one port to another.

    A cut holds what is sent between two times, and some time longer on the connections that it met,
    as the retransmissions of TCP do; new connections hang meanwhile. With is_reset they are reset
    instead. It applies to the clients whose origin is in a set, or to all (None).
    """

    def __init__(self, event_loop, port, target, origin_of=lambda port, target: None):
        self._event_loop = event_loop
        self._port = port
        self._target = target
        self._origin_of = origin_of
        self._connections = set()
        self._cuts = []
        event_loop.run(self._open())

    def cut(self, origins, is_reset):
        """Begins a cut. Returns its number."""
        return self._event_loop.call(self._cut, origins, is_reset)

    def heal(self, number, lag):
        """Ends a cut; the connections that it met go on after a lag (s)."""
        self._event_loop.call(self._heal, number, lag)

    def reset(self, is_chosen):
        """Resets connections."""
        self._event_loop.call(self._reset, is_chosen)

    def kill(self, is_chosen):
        """Lets connections go silent for good."""
        self._event_loop.call(self._kill, is_chosen)

    def _matching(self, origins):
        return [c for c in self._connections if origins is None or c.origin in origins]

    def _cut(self, origins, is_reset):
        self._cuts.append((origins, is_reset))
        for connection in self._matching(origins):
            if is_reset:
                self._abort(connection)
            else:
                connection.held_until = float("inf")
        return len(self._cuts) - 1

    def _heal(self, number, lag):
        origins, _ = self._cuts[number]
        self._cuts[number] = None
        for connection in self._matching(origins):
            if connection.held_until == float("inf"):
                connection.held_until = self._event_loop.loop.time() + lag

    def _reset(self, is_chosen):
        for connection in list(self._connections):
            if is_chosen():
                self._abort(connection)

    def _kill(self, is_chosen):
        for connection in self._connections:
            connection.is_dead = connection.is_dead or is_chosen()

    def _cut_for(self, connection):
        for cut in self._cuts:
            if cut is not None and (cut[0] is None or connection.origin in cut[0]):
                return cut
        return None

    @staticmethod
    def _abort(connection):
        for writer in connection.writers:
            if not writer.is_closing():
                reset(writer)

    async def _open(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)

    async def _serve(self, reader, writer):
        client = writer.get_extra_info("peername")[1]
        connection = GateConnection(lambda: self._origin_of(client, self._port), [writer])
        cut = self._cut_for(connection)
        if cut is not None and cut[1]:
            reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self._target)
        except OSError:
            reset(writer)
            return
        connection.writers.append(target_writer)
        connection.held_until = float("inf") if cut is not None else 0.0
        self._connections.add(connection)
        await asyncio.gather(self._forward(connection, reader, target_writer),
                             self._forward(connection, target_reader, writer))
        self._connections.discard(connection)

    def _is_held(self, connection):
        return connection.is_dead or self._event_loop.loop.time() < connection.held_until

    async def _forward(self, connection, reader, writer):
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                while self._is_held(connection):
                    await asyncio.sleep(POLL_SECONDS)
                writer.write(chunk)
                await writer.drain()
            while self._is_held(connection):
                await asyncio.sleep(POLL_SECONDS)
            writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
