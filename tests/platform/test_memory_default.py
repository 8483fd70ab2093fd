"""Tests that the memory of a node is bounded by what its process may use, without a setting for it.

Each test checks that the processes live, that their memory and their open descriptors stay below a
bound, and that an ordinary request is answered afterwards.
"""

import time
import unittest

from pipelined_caller import request_bytes
from slow_reader_case import TARGET_BYTES, TARGET_CLIENTS, TARGET_VM_BYTES, SlowReaderCase

BUDGET_MS = 2500
# How many connections a test opens beside old ones, and the time between them.
NEW_CONNECTIONS = 120
NEW_CONNECTION_S = 0.1


class MemoryDefaultTest(SlowReaderCase):
    """Clients that request responses of 3.5 MB and read none. A process may use as much private
    memory as a VM of the target has."""

    first_port = 36000
    settings = {}
    memory_bound = TARGET_BYTES
    launcher = ("prlimit", f"--data={TARGET_VM_BYTES}")

    def request(self, number):
        return request_bytes(f"/items/large{number}", self.fleet.next_attempt(), budget=BUDGET_MS)

    def hold(self, node):
        def act(number, end):
            self.connect(node).send(self.request(number))
            time.sleep(max(0.0, end - time.monotonic()))

        self.play(act, count=TARGET_CLIENTS)

    # Guards against a memory budget that exists only if the settings name the memory.
    def test_bounds_the_memory_of_unread_responses_without_a_setting(self):
        self.hold(self.near)

    # Guards against the same on the node that only passes the responses on, and on its peer.
    def test_bounds_the_memory_of_both_nodes_of_a_link_without_a_setting(self):
        self.hold(self.far)

    # Guards against a bound for each connection only.
    def test_bounds_the_memory_of_connections_left_unread_without_a_setting(self):
        def act(_, end):
            for number in range(NEW_CONNECTIONS):
                caller = self.connect(self.near)
                if caller:
                    try:
                        caller.send(self.request(number))
                    except OSError:
                        pass  # the node may close it
                time.sleep(NEW_CONNECTION_S)
            time.sleep(max(0.0, end - time.monotonic()))

        self.play(act, count=1, seconds=NEW_CONNECTIONS * NEW_CONNECTION_S + 2.0)


if __name__ == "__main__":
    unittest.main()
