"""Gives processes their processor time in slices or by a quota, all in step or each for itself."""

import os
import random
import signal
import threading
import time

# Period (s) of a kernel's quota.
PERIOD = 0.1
# Interval (s) at which the time that a process has used is compared with its quota.
POLL = 0.002


class ProcessorSlices:
    """Suspends and resumes processes until it is ended.

    With slices, each process runs for a share of each period. With a quota, a process runs until
    it has used that share of one core, and not at all for the rest of the period, as with a
    kernel's quota. `pids` returns the ids at the time, as processes end and are started again.
    """

    def __init__(self, pids, share, seed, is_quota=False, is_in_step=False):
        self._pids = pids
        self._share = share
        self._random = random.Random(f"{seed}-slices")
        self._is_quota = is_quota
        self._is_in_step = is_in_step
        self._offsets = {}
        self._ended = threading.Event()
        self.suspended_seconds = 0.0
        self.seconds = 0.0
        # The largest share of a core that a process used in a period; with a quota only.
        self.largest_use = 0.0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def end(self):
        """Ends the slices and lets all processes run."""
        self._ended.set()
        self._thread.join()

    def _run(self):
        stopped = set()
        begun = {}  # by process: (its period, processor time used when the period began)
        last = time.monotonic()
        while not self._ended.wait(POLL):
            now = time.monotonic()
            pids = self._pids()
            self.suspended_seconds += (now - last) * len(stopped)
            self.seconds += (now - last) * len(pids)
            last = now
            for pid in pids:
                offset = self._offsets.setdefault(
                    pid, 0.0 if self._is_in_step else self._random.uniform(0.0, PERIOD))
                period, elapsed = divmod(now + offset, PERIOD)
                if self._is_quota:
                    used = self._used(pid)
                    if begun.get(pid, (None,))[0] != period:
                        if pid in begun:
                            self.largest_use = max(self.largest_use,
                                                   (used - begun[pid][1]) / PERIOD)
                        begun[pid] = (period, used)
                    runs = used - begun[pid][1] < self._share * PERIOD
                else:
                    runs = elapsed < self._share * PERIOD
                if runs != (pid not in stopped):
                    self._signal(pid, signal.SIGCONT if runs else signal.SIGSTOP)
                    (stopped.discard if runs else stopped.add)(pid)
            stopped.intersection_update(pids)
        for pid in stopped:
            self._signal(pid, signal.SIGCONT)

    @staticmethod
    def _used(pid):
        """Returns the processor time (s) of a process, 0 once it has ended."""
        try:
            # The kernel's id of the processor-time clock of a process.
            return time.clock_gettime((~pid << 3) | 2)
        except OSError:
            return 0.0

    @staticmethod
    def _signal(pid, number):
        try:
            os.kill(pid, number)
        except ProcessLookupError:
            pass
