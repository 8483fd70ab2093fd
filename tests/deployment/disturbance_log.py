"""When which machines were disturbed, so that the bounds for a change did not hold for them."""

import threading
import time

# The bounds hold for a machine that was undisturbed for this time (s).
STABLE_SECONDS = 3.0


class DisturbanceLog:
    """Records disturbances of nodes, or of all nodes (None)."""

    def __init__(self):
        self._lock = threading.Lock()
        self._entries = []  # lists of [node, start, end]

    def begin(self, node):
        """Begins a disturbance. Returns it, for end()."""
        entry = [node, time.monotonic() - 0.05, float("inf")]
        with self._lock:
            self._entries.append(entry)
        return entry

    @staticmethod
    def end(entry):
        entry[2] = time.monotonic() + 0.02

    def is_in_touch(self, node, start, end):
        """Returns whether a node was undisturbed from STABLE_SECONDS before a time to another."""
        return not any(name in (None, node) and since <= end and start - STABLE_SECONDS <= until
                       for name, since, until in self._entries)
