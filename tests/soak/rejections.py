"""A store that rejects single nodes of a soak while it serves the others and the operator."""

import random
import threading

FAULTS = ("silent", "busy", "many", "reset")


class Rejections:
    """Rejects nodes in series, those that read the store first, on a thread of its own.

    It draws from its own random numbers: the other faults of a seed stay the same.
    """

    def __init__(self, seed, entrances):
        self._entrances = entrances
        self._random = random.Random(f"{seed}-rejections")
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()

    def end(self):
        """Ends all rejections."""
        self._ended.set()
        if self._thread.is_alive():
            self._thread.join()
        self._admit_all()

    def reject_readers(self):
        """Rejects all nodes that have a watch pending, but for a few if these are all nodes."""
        readers = [e for e in self._entrances if e.pending_watches]
        fault = self._random.choice(FAULTS)
        for entrance in readers[:len(self._entrances) * 2 // 3]:
            entrance.reject(fault)
        print(f"  reject {len(readers)} readers: {fault}", flush=True)

    def _admit_all(self):
        for entrance in self._entrances:
            entrance.reject(None)

    def _run(self):
        while not self._ended.is_set():
            self._ended.wait(self._random.uniform(0.5, 3.0))
            readers = [e for e in self._entrances if e.pending_watches]
            others = [e for e in self._entrances if not e.pending_watches]
            self._random.shuffle(others)
            count = self._random.choice((1, 3, 5))
            fault = self._random.choice(FAULTS)
            for entrance in (readers + others)[:count]:
                entrance.reject(fault)
            self._ended.wait(self._random.uniform(0.5, 5.0))
            self._admit_all()
