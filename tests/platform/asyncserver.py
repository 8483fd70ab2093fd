"""A small asyncio HTTP/1.1 server for stand-ins, which controls each byte of a response."""

import asyncio
import socket
import struct
import threading


class Connection:
    """A connection of a client to a server, and the number of requests received on it."""

    def __init__(self):
        self.requests = 0


class Request:
    """A received request; header names are in lower case.

    A server sets the connection that it arrived on.
    """

    def __init__(self, method, target, headers, body):
        self.connection = None
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        self.headers = headers
        self.body = body

    def header(self, name, missing=None):
        return self.headers.get(name.lower(), missing)


class Response:
    """A response to send; raw bytes replace all of it, and extra bytes follow it.

    Its bytes may be written in pieces (of piece_bytes) with a pause (s) after each. The ending
    "close" closes the connection after them, "half" ends only the server's output, "reset" resets
    the connection.
    With a filler, its bytes follow without end until the client closes the connection. Late bytes
    follow after a delay (s), on the connection as it is then.
    A handler that returns None instead of a response aborts the connection.
    """

    def __init__(self, status=200, body=b"", headers=None, raw=None, close=False, extra=b"",
                 filler=b"", late=b"", late_delay=0.0, ending=None, piece_bytes=0, pause=0.0):
        self.status = status
        self.body = body
        self.headers = headers or {}
        self.raw = raw
        self.ending = "close" if close else ending
        self.piece_bytes = piece_bytes
        self.pause = pause
        self.extra = extra
        self.filler = filler
        self.late = late
        self.late_delay = late_delay

    def to_bytes(self):
        if self.raw is not None:
            return self.raw
        lines = [f"HTTP/1.1 {self.status} Status", f"Content-Length: {len(self.body)}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body + self.extra

    def pieces(self):
        data = self.to_bytes()
        size = self.piece_bytes or len(data) or 1
        return [data[at:at + size] for at in range(0, len(data), size)]


async def read_head(reader):
    """Returns the next request of a connection without its body, or None at its end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    return Request(method, target, headers, b"")


async def read_body(reader, headers):
    """Returns the body of the request that has these headers."""
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readline()).strip(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return body


def reset(writer):
    """Closes a connection such that its peer gets a reset, also if all its bytes were read."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                               struct.pack("ii", 1, 0))
    writer.transport.abort()


class EventLoopThread:
    """An asyncio event loop on a separate thread, shared by the stand-ins of one test."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, coroutine):
        """Runs a coroutine to its end and returns its result; raises TimeoutError after 30 s."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    def call(self, function, *arguments):
        """Calls a function on the loop's thread."""

        async def invoke():
            return function(*arguments)

        return self.run(invoke())

    def stop(self):
        async def cancel_all():
            tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.run(cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()


class AsyncServer:
    """Serves HTTP on a loopback port; subclasses implement handle()."""

    # How long a connection stays open, unread, after a response before the body of its request
    # whose ending is "half"; in seconds.
    EARLY_HOLD = 1.0

    def __init__(self, event_loop, port, receive_buffer=None):
        self.event_loop = event_loop
        self.port = port
        # The size of the receive buffer of each connection in bytes; None for the system's default.
        self.receive_buffer = receive_buffer
        # Returns a response to send before the body of a request is read, or None.
        self.early_response = lambda request: None
        self.connections = 0
        self._writers = set()
        self._server = None

    async def handle(self, request):
        raise NotImplementedError

    async def open(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Connections inherit it only if it is set before the socket listens.
        if self.receive_buffer:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        listener.bind(("127.0.0.1", self.port))
        self._server = await asyncio.start_server(self._serve, sock=listener)

    async def close_server(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def start(self):
        self.event_loop.run(self.open())

    def stop(self):
        self.event_loop.run(self.close_server())

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        connection = Connection()
        try:
            while (request := await read_head(reader)) is not None:
                connection.requests += 1
                request.connection = connection
                if early := self.early_response(request):
                    await self.respond_early(early, writer)
                    return
                request.body = await read_body(reader, request.headers)
                response = await self.handle_or_cancel(request, reader)
                if response is None:
                    writer.transport.abort()
                    return
                for piece in response.pieces():
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(response.pause)
                while response.filler:
                    writer.write(response.filler)
                    await writer.drain()
                if response.late:
                    self.event_loop.loop.call_later(response.late_delay, writer.write,
                                                    response.late)
                if response.ending == "reset":
                    reset(writer)
                elif response.ending == "half":
                    writer.write_eof()
                    await reader.read()
                if response.ending:
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def respond_early(self, response, writer):
        """Sends a response and ends the connection as it says, without reading on."""
        writer.write(response.to_bytes())
        if response.pause:
            await asyncio.sleep(response.pause)
        if response.ending == "reset":
            reset(writer)
        elif response.ending == "half":
            writer.write_eof()
            await asyncio.sleep(self.EARLY_HOLD)

    async def handle_or_cancel(self, request, reader):
        """Handles a request; cancels it and returns None when the client disconnects first."""
        handling = asyncio.ensure_future(self.handle(request))
        disconnected = asyncio.ensure_future(reader.read(1))
        await asyncio.wait([handling, disconnected], return_when=asyncio.FIRST_COMPLETED)
        if not handling.done():
            handling.cancel()
            return None
        disconnected.cancel()
        await asyncio.gather(disconnected, return_exceptions=True)
        return handling.result()
