"""Gives a process its processor time in slices, like a quota on a small VM."""

import random
import signal
import threading
import time


class Throttle:
    """Suspends and resumes a child process by turns until it is ended.

    Slices are in seconds; each one varies by up to a quarter, so that those of several processes
    don't fall into step. Between two slices the process may end and be started again.
    """

    def __init__(self, process, seed, on=0.02, off=0.08):
        self._process = process
        self._random = random.Random(seed)
        self._on = on
        self._off = off
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def end(self):
        """Ends the throttle and waits until the process runs without it."""
        self._ended.set()
        self._thread.join()

    def _run(self):
        try:
            while not self._ended.is_set():
                self._process.signal(signal.SIGSTOP)
                time.sleep(self._slice(self._off))
                self._process.signal(signal.SIGCONT)
                self._ended.wait(self._slice(self._on))
        finally:
            self._process.signal(signal.SIGCONT)

    def _slice(self, seconds):
        return seconds * self._random.uniform(0.75, 1.25)
