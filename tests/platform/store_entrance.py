"""An address of the store stand-in for one node, at which the store may reject that node alone."""

import asyncio

from asyncserver import AsyncServer


class StoreEntrance(AsyncServer):
    """Passes the calls of one node on to the store, unless the store rejects the node.

    Fault "silent" never responds, "busy" responds with 503, "many" with 429, "reset" resets the
    connection. Watches that are pending when a fault begins get no response, whichever it is.
    """

    STATUSES = {"busy": 503, "many": 429}

    def __init__(self, event_loop, port, store):
        super().__init__(event_loop, port)
        self.fault = None
        self.pending_watches = 0
        self._store = store
        self._faults = 0  # how many faults have begun

    def reject(self, fault):
        """Begins a fault, or ends it with None."""
        self.event_loop.call(self._reject, fault)

    def _reject(self, fault):
        self._faults += fault is not None
        self.fault = fault

    async def handle(self, request):
        if self.fault == "silent":
            await asyncio.sleep(3600)
        if self.fault == "reset":
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
