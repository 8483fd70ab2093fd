"""The store of the deployment, with an entrance for each node."""

import json
import threading
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

    def put(self, key, value):
        self._store.put(key, value)

    def remove(self, key):
        self._store.remove(key)

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

    def forget_history(self):
        self._store.forget_history()

    def expire_leases(self):
        self._store.expire_leases()

    def set_response_delay(self, delay):
        self._store.response_delay = delay

    def set_delay(self, delay):
        self._store.delay = delay

    def close_ports(self, nodes, connections):
        for node in nodes:
            self._entrances[node].close_port(connections)

    def open_ports(self, nodes):
        for node in nodes:
            self._entrances[node].open_port()

    def set_lags(self, listing, watch, is_watch_revision_late=True):
        self._store.listing_lag = listing
        self._store.watch_lag = watch
        self._store.is_watch_revision_late = is_watch_revision_late

    def overtake(self, key, lag):
        self._store.overtaken_key = key
        self._store.overtaken_lag = lag

    def reject_callers(self, share, fault, seconds):
        """Rejects a share of the nodes for some seconds, always those that called last.

        Fault "closed" closes their ports.
        """
        threading.Thread(target=self._reject_callers, args=(share, fault, seconds),
                         daemon=True).start()

    def _reject_callers(self, share, fault, seconds):
        names = list(self._entrances)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            names.sort(key=lambda name: -self._entrances[name].called_at)
            for position, name in enumerate(names):
                is_rejected = position < share * len(names)
                if is_rejected != bool(self._entrances[name].fault):
                    self._set_fault(name, fault if is_rejected else None)
            time.sleep(0.05)
        for name in names:
            if self._entrances[name].fault:
                self._set_fault(name, None)

    def _set_fault(self, name, fault):
        entrance = self._entrances[name]
        if fault == "closed":
            entrance.close_port("cut")
        elif fault is None and not entrance.is_open:
            entrance.open_port()
        else:
            entrance.reject(fault)
