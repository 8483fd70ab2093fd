"""What a soak did to its nodes and their links, and when."""

import threading
import time

# A node may lose calls that it has in progress up to this time (s) after a disturbance has ended.
AFTERMATH_SECONDS = 3.0
# Limit for the time (s) from the begin of a disturbance until it is recorded.
RECORDING_SECONDS = 0.05


class Disturbances:
    """Records planned stops and disturbances of nodes by name, from any thread.

    Disturbances are kills, freezes and faults of links. Times are monotonic and in seconds.
    """

    def __init__(self):
        self._lock = threading.Lock()
        # Lists of [name, start, end]; the end is infinite until it is known.
        self._stops = []
        # Tuples (name, start, end).
        self._disturbances = []

    def begin_stop(self, name):
        """Records that a planned stop begins. Returns the record, for end_stop()."""
        record = [name, time.monotonic(), float("inf")]
        with self._lock:
            self._stops.append(record)
        return record

    def end_stop(self, record):
        record[2] = time.monotonic()

    def add(self, name, seconds=0.0):
        """Records a disturbance that has just begun and lasts for some seconds."""
        now = time.monotonic()
        with self._lock:
            self._disturbances.append((name, now - RECORDING_SECONDS, now + seconds))

    def is_stopping(self, name, at):
        """Returns whether a node was in a planned stop at a time."""
        with self._lock:
            return any(node == name and start <= at <= end for node, start, end in self._stops)

    def touched(self, names, start, end):
        """Returns whether nodes were disturbed between two times, or shortly before."""
        with self._lock:
            return any(node in names and since <= end and start <= until + AFTERMATH_SECONDS
                       for node, since, until in self._disturbances)
