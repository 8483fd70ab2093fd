"""Tests that an acknowledged departure binds each later process of the node, whoever is stopped,
killed or out of service in between."""

import signal
import threading
import time
import unittest

from platform_case import PlatformCase

LEAVING = "items-ikeja"


class DeparturesTest(PlatformCase):
    """An upstream leaves, by DELETE or by draining; a heartbeat that it sent before arrives late."""

    first_port = 24000

    def setUp(self):
        super().setUp()
        self.start_fleet()
        self.node = self.nodes[LEAVING]
        self.upstream = self.node.upstream

    def announce(self, announcement):
        return self.fleet.event_loop.run(self.upstream.send_announcement("PUT", announcement))

    def take_late_heartbeat(self):
        """Ends the heartbeats. Returns one that the upstream has sent and that is on its way."""
        self.upstream.stop_heartbeats()
        return self.upstream.next_announcement()

    def leave(self, how):
        return getattr(self.upstream, how)()

    def kill(self, nodes):
        for node in nodes:
            node.process.kill()
        for node in nodes:
            node.start()

    def stop_as_planned(self, node):
        node.process.signal(signal.SIGTERM)
        node.process.wait(10.0)
        node.start()
        self.fleet.wait_until(node.is_ready, f"{node.name} is ready again")

    def calls_after(self, late, seconds=3.0):
        """Returns how many calls reach the upstream after its late heartbeat has arrived."""
        self.fleet.wait_until(self.node.is_ready, "the restarted node is ready")
        time.sleep(0.5)
        self.announce(late)
        before = len(self.upstream.runs)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for node in self.fleet.nodes:
                try:
                    node.call(path="/items/1", budget=500)
                except OSError:
                    pass  # the node is starting
        return len(self.upstream.runs) - before

    def successor_serves(self):
        """Waits until the next process of the upstream, under the same name, is used."""
        self.upstream.state = "ready"
        self.upstream.sequence = 0
        self.upstream.started_at_ms = int(time.time() * 1000)
        before = len(self.upstream.runs)

        def is_used():
            self.announce(self.upstream.next_announcement())
            for node in self.fleet.nodes:
                node.call(path="/items/1")
            return len(self.upstream.runs) > before

        self.fleet.wait_until(is_used, "the successor serves")

    # Only the store outlives a kill of all nodes (review/7).
    def test_a_kill_of_all_nodes_forgets_no_departure(self):
        for how in ("deregister", "drain"):
            for kills in (1, 2):
                with self.subTest(how=how, kills=kills):
                    late = self.take_late_heartbeat()
                    self.assertEqual(self.leave(how), 200)
                    for _ in range(kills):
                        self.kill(self.fleet.nodes)
                        time.sleep(0.3)
                    self.assertEqual(self.calls_after(late), 0)
                    self.successor_serves()

    # A node that is leaving acknowledges departures too (review/8).
    def test_a_departure_during_a_planned_stop_binds_the_next_process(self):
        for how in ("deregister", "drain"):
            for delay in (0.1, 0.8, 2.0):
                with self.subTest(how=how, delay=delay):
                    late = self.take_late_heartbeat()
                    self.node.process.signal(signal.SIGTERM)
                    time.sleep(delay)
                    status = self.leave(how)
                    self.node.process.wait(10.0)
                    self.node.start()
                    self.fleet.wait_until(self.node.is_ready, "the node is ready again")
                    if status == 200:
                        self.assertEqual(self.calls_after(late), 0)
                    self.successor_serves()

    # Each peer that keeps the departure ends before the node itself does.
    def test_planned_stops_of_all_peers_forget_no_departure(self):
        late = self.take_late_heartbeat()
        self.assertEqual(self.leave("deregister"), 200)
        stops = [threading.Thread(target=self.stop_as_planned, args=(node,))
                 for node in self.fleet.nodes if node is not self.node]
        for stop in stops:
            stop.start()
        for stop in stops:
            stop.join()
        self.kill([self.node])
        self.assertEqual(self.calls_after(late), 0)

    # What nothing keeps is not acknowledged, but takes effect.
    def test_acknowledges_no_departure_that_nothing_keeps(self):
        for fault in ("out", "silent"):
            with self.subTest(fault=fault):
                self.upstream.stop_heartbeats()
                self.store.fault = fault
                self.assertNotEqual(self.leave("drain"), 200)
                before = len(self.upstream.runs)
                for node in self.fleet.nodes * 3:
                    node.call(path="/items/1")
                self.assertEqual(len(self.upstream.runs), before)
                self.store.fault = None
                self.fleet.wait_until(lambda: self.leave("drain") == 200,
                                      "the repeated announcement is acknowledged")
                self.successor_serves()

    # Neither the store nor a peer can tell, and a late heartbeat stays alone.
    def test_a_single_heartbeat_brings_no_upstream_back_while_the_store_is_silent(self):
        late = self.take_late_heartbeat()
        self.assertEqual(self.leave("deregister"), 200)
        self.store.fault = "silent"
        self.kill(self.fleet.nodes)
        time.sleep(1.0)
        self.announce(late)
        before = len(self.upstream.runs)
        time.sleep(2.5)
        self.store.fault = None
        self.assertEqual(self.calls_after(late), 0)
        self.assertEqual(len(self.upstream.runs), before)
        self.successor_serves()


if __name__ == "__main__":
    unittest.main()
