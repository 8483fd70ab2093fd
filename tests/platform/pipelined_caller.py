"""A caller that sends requests on one connection before earlier ones are answered."""

import socket

from platform_fleet import ReceivedResponse
from upstream import ATTEMPT


def request_bytes(path, attempt, method="GET", body=b"", budget=4000):
    """Returns a request as bytes; the time budget is in ms."""
    head = (f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n{ATTEMPT}: {attempt}\r\n"
            f"X-Boragetrack-Time-Budget-Ms: {budget}\r\n")
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class PipelinedCaller:
    """One connection to a node's address for callers; timeouts are in seconds."""

    def __init__(self, port, timeout=8.0, receive_buffer=None):
        self.socket = socket.socket()
        # The window is only this small if it is set before the connection is opened.
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.settimeout(timeout)
        self.socket.connect(("127.0.0.1", port))
        self._reader = self.socket.makefile("rb")

    def send(self, *requests):
        self.socket.sendall(b"".join(requests))

    def read_response(self):
        """Returns the next response, or None at the end of the connection."""
        head = self.read_head()
        if head is None:
            return None
        status, headers = head
        body = self._reader.read(int(headers.get("Content-Length", 0)))
        return ReceivedResponse(status, headers, body)

    def read_head(self):
        """Returns the status and the headers of the next response, or None at the end."""
        try:
            status_line = self._reader.readline()
        except ConnectionError:
            return None
        if not status_line:
            return None
        headers = {}
        while (line := self._reader.readline().strip()):
            name, _, value = line.decode().partition(":")
            headers[name] = value.strip()
        return int(status_line.split()[1]), headers

    def close(self):
        self._reader.close()
        self.socket.close()
