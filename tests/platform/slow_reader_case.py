"""The fleet, the crowd and the bounds of the tests of clients that read slowly."""

import os
import threading
import time
import unittest

from asyncserver import Response
from pipelined_caller import PipelinedCaller
from platform_fleet import PlatformFleet, configuration, rule
from test_hostile import peak_memory
from upstream import ATTEMPT, STAMP

MEGABYTE = 1_000_000

# The target: with 60 clients and responses of 3.5 MB, a node stays below 100 MB with the settings
# of a VM of 160 MB. 16 MB of these are what the process takes without clients, so that the clients
# may take 84 MB. The crowd, the VM and what the crowd may take are half of that here.
TARGET_CLIENTS = 60
TARGET_BYTES = 100 * MEGABYTE
TARGET_VM_BYTES = 160 * MEGABYTE
IDLE_BYTES = 16 * MEGABYTE
CLIENTS = 30
RESPONSE_BYTES = 3_500_000
VM_BYTES = TARGET_VM_BYTES * CLIENTS // TARGET_CLIENTS
MEMORY_BOUND = IDLE_BYTES + (TARGET_BYTES - IDLE_BYTES) * CLIENTS // TARGET_CLIENTS

# A node's listeners, links, event loop and idle connections.
OTHER_DESCRIPTORS = 100
# How long a crowd lasts.
CROWD_S = 8.0
# The receive buffer of a client that reads slowly, so that the system does not read for it.
RECEIVE_BUFFER = 4096
# Settings of the nodes.
SETTINGS = {"memoryMegabytes": VM_BYTES // MEGABYTE}


class SlowReaderCase(unittest.TestCase):
    """Two nodes in one zone: "near" is beside the upstream of "items", "far" is not."""

    # Each test class sets its own range of ports.
    first_port = 0
    settings = SETTINGS
    memory_bound = MEMORY_BOUND
    # The command that starts a node, if it is not started directly.
    launcher = ()

    def setUp(self):
        type(self).first_port += 40
        self.fleet = PlatformFleet(self.first_port)
        self.addCleanup(self.fleet.stop)
        self.near = self.fleet.add_node("near", "ikeja", "items")
        self.far = self.fleet.add_node("far", "ikeja", "orders")
        for node in self.fleet.nodes:
            node.extra_settings = self.settings
            node.launcher = self.launcher
        rules = [rule("items", "/items/", service="items"),
                 rule("orders", "/orders/", kind="unsafe", service="orders")]
        self.fleet.store.put("op/config", configuration(5, rules, ["items", "orders"]))
        self.fleet.start()
        self.fleet.wait_until_served("/items/1")
        self.fleet.wait_until_upstreams_known()
        self.near.upstream.override_response = self.respond
        self.callers = []
        self.addCleanup(self.close_callers)

    @staticmethod
    def respond(request):
        if not request.path.startswith("/items/large"):
            return None
        return Response(200, b"x" * RESPONSE_BYTES,
                        {ATTEMPT: request.header(ATTEMPT), STAMP: "s.1"})

    def connect(self, node):
        """Opens a connection whose client reads only what the test reads. Returns None if the node
        does not accept it."""
        try:
            caller = PipelinedCaller(node.caller_port, 2.0, RECEIVE_BUFFER)
        except OSError:
            return None
        self.callers.append(caller)
        return caller

    def close_callers(self):
        for caller in self.callers:
            caller.close()
        self.callers.clear()

    def play(self, act, count=CLIENTS, seconds=CROWD_S):
        """Calls a function, with its number, on a thread for each of the clients, and waits until all
        have returned. Failures of connections are what slow clients have to expect.

        The function gets the time (monotonic) at which it should return. Checks the nodes' memory and
        descriptors, and that an ordinary request is answered afterwards.
        """
        end = time.monotonic() + seconds
        most_descriptors = {node.name: 0 for node in self.fleet.nodes}

        def run(number):
            try:
                act(number, end)
            except OSError:
                pass

        threads = [threading.Thread(target=run, args=(number,)) for number in range(count)]
        for thread in threads:
            thread.start()
        while any(thread.is_alive() for thread in threads):
            for node in self.fleet.nodes:
                self.assertTrue(node.process.is_running(), node.name)
                descriptors = len(os.listdir(f"/proc/{node.process.pid}/fd"))
                most_descriptors[node.name] = max(most_descriptors[node.name], descriptors)
            time.sleep(0.1)
        for thread in threads:
            thread.join()
        connections = len(self.callers)
        peaks = {node.name: peak_memory(node) for node in self.fleet.nodes}
        print(f"{self.id().rsplit('.', 1)[1]}: peak of memory "
              + ", ".join(f"{name} {peak / MEGABYTE:.1f} MB" for name, peak in peaks.items())
              + f", descriptors {most_descriptors}, {connections} connections", flush=True)
        self.close_callers()
        self.fleet.wait_until_served("/items/1")
        for node in self.fleet.nodes:
            self.assertTrue(node.process.is_running(), node.name)
            self.assertLess(peaks[node.name], self.memory_bound, node.name)
            # A request of the caller's needs one connection to the upstream.
            self.assertLess(most_descriptors[node.name], 2 * connections + OTHER_DESCRIPTORS,
                            node.name)
