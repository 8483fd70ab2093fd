"""An address of the store stand-in for one node, at which the store may reject that node alone."""

import asyncio
import time

from asyncserver import AsyncServer, reset


class StoreEntrance(AsyncServer):
    """Passes the calls of one node on to the store, unless the store rejects the node.

    Fault "silent" never responds, "busy" responds with 503, "many" with 429, "reset" resets the
    connection, "closed" refuses new connections and resets others at their next request. Watches
    that are pending when a fault begins get no response, whichever it is. The connections of that
    moment stay usable ("kept"), never respond again ("hanging"), are reset ("cut") or get the end
    of the store's output ("ended").
    A closed port refuses connections; those of before are "cut", "mute", or "kept" and served.
    """

    STATUSES = {"busy": 503, "many": 429}

    def __init__(self, event_loop, port, store):
        super().__init__(event_loop, port)
        self.fault = None
        self.is_open = True
        self.pending_watches = 0
        self.called_at = 0.0
        self._store = store
        self._faults = 0  # how many faults have begun
        self._seen = set()  # the connections with a request so far
        self._hanging = set()

    def reject(self, fault, connections="kept"):
        """Begins a fault, or ends it with None."""
        self.event_loop.run(self._reject(fault, connections))

    async def _reject(self, fault, connections):
        if self.fault == "closed":
            await self.open()
        self._set_fault(fault)
        if fault is None:
            return
        if fault == "closed":
            self._server.close()
        if connections == "hanging":
            self._hanging = set(self._seen)
        for writer in list(self._writers):
            if connections == "cut":
                reset(writer)
            elif connections == "ended" and writer.can_write_eof():
                writer.write_eof()

    def _set_fault(self, fault):
        self._faults += fault is not None
        self.fault = fault
        self._hanging = set()

    def close_port(self, connections):
        self.event_loop.run(self._close_port(connections))

    async def _close_port(self, connections):
        self.is_open = False
        if connections == "cut":
            await self.close_server()
        else:
            self._server.close()
        if connections != "kept":
            self._set_fault("silent")

    def open_port(self):
        self.event_loop.call(self._set_fault, None)
        for _ in range(40):
            try:
                self.start()
                self.is_open = True
                return
            except OSError:  # another process of the machine has the port for a moment
                time.sleep(0.05)
        raise RuntimeError(f"port {self.port} is in use")

    async def handle(self, request):
        self.called_at = time.monotonic()
        self._seen.add(request.connection)
        if self.fault == "silent" or request.connection in self._hanging:
            await asyncio.sleep(3600)
        if self.fault in ("reset", "closed"):
            return None
        if self.fault:
            return self._store.json_response(self.STATUSES[self.fault], {"error": self.fault})
        faults = self._faults
        is_watch = request.path == "/api/kv-watch"
        self.pending_watches += is_watch
        try:
            response = await self._store.handle(request)
        finally:
            self.pending_watches -= is_watch
        if self._faults != faults:
            await asyncio.sleep(3600)
        return response
