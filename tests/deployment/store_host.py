"""The store of the deployment, with an entrance for each node."""

import json
import time

from quiet_event_loop import quiet_event_loop
from store import Store
from store_entrance import StoreEntrance

CONFIGURATION = "op/config"


class StoreHost:
    """Runs the store on an event loop of its own; lives in a process of its own."""

    def __init__(self, port):
        self._event_loop = quiet_event_loop()
        self._store = Store(self._event_loop, port)
        self._store.start()
        self._entrances = {}

    def add(self, node, port):
        self._entrances[node] = StoreEntrance(self._event_loop, port, self._store)
        self._entrances[node].start()

    def put_configuration(self, text):
        """Writes a version. Returns when it was acknowledged."""
        return self.put_configuration_between(text, None)[0]

    def put_configuration_between(self, text, rejection, delay=0.0):
        """Writes a version, with a rejection (nodes, fault, connections) a delay (s) before it, or
        after it if the delay is negative. Returns when it was acknowledged, and its revision."""
        if rejection and delay >= 0.0:
            self.reject(*rejection)
            time.sleep(delay)
        revision = self._store.put(CONFIGURATION, json.loads(text))
        acknowledged_at = time.monotonic()
        if rejection and delay < 0.0:
            time.sleep(-delay)
            self.reject(*rejection)
        return acknowledged_at, revision

    def readers(self):
        """Returns the nodes that have a watch pending."""
        return [name for name, e in self._entrances.items() if e.pending_watches]

    def reject(self, nodes, fault, connections="kept"):
        for node in nodes:
            self._entrances[node].reject(fault, connections)

    def lose_calls(self):
        self._store.lose_calls_in_progress()

    def compact(self, staleness):
        self._store.compact_history()
        self._store.staleness = staleness

    def set_delay(self, delay):
        self._store.delay = delay
