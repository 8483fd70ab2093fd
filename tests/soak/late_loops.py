"""Nodes of a soak whose event loops are late, and planned stops in series beside them."""

import random
import threading
import time

from throttle import Throttle

# On and off slices in s: a fifth, a tenth and a twentieth of a core.
QUOTAS = ((0.02, 0.08), (0.01, 0.09), (0.005, 0.095))


class LateLoops:
    """Throttles nodes and stops nodes one after another, on threads of its own.

    It draws from its own random numbers: the other faults of a seed stay the same.
    """

    def __init__(self, seed, nodes, stop_and_restart):
        self._nodes = nodes
        self._stop_and_restart = stop_and_restart
        self._throttle_random = random.Random(f"{seed}-throttles")
        self._stop_random = random.Random(f"{seed}-stops")
        self._lock = threading.Lock()
        self._throttles = {}
        self._frozen_until = {}
        self._ended = threading.Event()
        self._threads = [threading.Thread(target=target, daemon=True)
                         for target in (self._throttle_nodes, self._stop_nodes)]

    def start(self):
        for thread in self._threads:
            thread.start()

    def end(self):
        """Ends all throttles and waits for a planned stop in progress."""
        self._ended.set()
        for thread in self._threads:
            if thread.is_alive():
                thread.join()

    def freeze(self, node, seconds):
        """Keeps throttles, which would resume the process, off a node for some seconds."""
        with self._lock:
            until = time.monotonic() + seconds
            self._frozen_until[node.name] = max(until, self._frozen_until.get(node.name, 0.0))
            self._end_throttle(node.name)

    def _throttle_nodes(self):
        while not self._ended.is_set():
            count = self._throttle_random.choice((1, 1, 2, 4))
            quota = self._throttle_random.choice(QUOTAS)
            chosen = self._throttle_random.sample(self._nodes, min(count, len(self._nodes)))
            print(f"  throttle {' '.join(node.name for node in chosen)}", flush=True)
            with self._lock:
                for node in chosen:
                    if self._frozen_until.get(node.name, 0.0) < time.monotonic():
                        self._throttles[node.name] = Throttle(node.process, node.name, *quota)
            self._ended.wait(self._throttle_random.uniform(1.0, 4.0))
            with self._lock:
                for name in list(self._throttles):
                    self._end_throttle(name)

    def _end_throttle(self, name):
        throttle = self._throttles.pop(name, None)
        if throttle is not None:
            throttle.end()

    def _stop_nodes(self):
        while not self._ended.is_set():
            chosen = self._stop_random.sample(self._nodes, min(3, len(self._nodes)))
            for node in chosen:
                if not self._ended.is_set():
                    print(f"  stop in series {node.name}", flush=True)
                    self._stop_and_restart(node)
            self._ended.wait(self._stop_random.uniform(0.0, 1.0))
