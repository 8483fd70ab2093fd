"""Conditions of the store in which nodes may serve an older configuration."""

import contextlib
import json
import signal
import threading
import time


class StoreConditions:
    """Each method plays one round of a condition, and waits until its effects can be judged."""

    # How long requests are judged after a condition (s): 3 s until machines are in touch, and more.
    AFTER = 10.0

    def __init__(self, deployment, rng):
        self._deployment = deployment
        self._random = rng
        self._names = list(deployment.nodes)

    def _call(self, name, *parameters):
        return self._deployment.store.call(name, *parameters)

    @contextlib.contextmanager
    def _disturbed(self):
        entry = self._deployment.disturbances.begin(None)
        yield
        self._deployment.disturbances.end(entry)

    def _fall(self, begin_fault, end_fault, before, after):
        """All nodes fall after a change; the store is disturbed from a time (s) before the start of
        the nodes to one after it."""
        rng = self._random
        change = threading.Thread(target=self._deployment.change)
        change.start()
        if rng.random() < 0.5:
            change.join()
        time.sleep(rng.uniform(0.004, 0.4))
        pause = rng.uniform(0.6, 2.0)
        with self._disturbed():
            fall = threading.Thread(target=self._deployment.kill,
                                    args=(self._deployment.running(), pause))
            fall.start()
            time.sleep(max(0.0, pause - before))
            begin_fault()
            time.sleep(min(before, pause) + after)
            end_fault()
            fall.join()
        change.join()
        time.sleep(self.AFTER)

    # ------------------------------------------------------------------ fall of all nodes

    def fall(self):
        self._fall(lambda: None, lambda: None, 0.0, 0.0)

    def fall_changes(self):
        """Changes go on after the fall, one machine of which never returns and stays silent."""
        rng = self._random
        deployment = self._deployment
        gone = rng.choice(deployment.running())
        others = [name for name in self._names if name != gone.name]
        deployment.network.call("cut", ([gone.name], others), False)
        gone.has_left = True
        deployment.disturbances.begin(gone.name)
        change = threading.Thread(target=deployment.change)
        change.start()
        time.sleep(rng.uniform(0.004, 0.4))
        deployment.kill([n for n in deployment.nodes.values() if n.is_running()],
                        rng.uniform(0.6, 2.0))
        change.join()
        for _ in range(12):
            time.sleep(rng.choice((0.1, 0.5, 1.5)))
            deployment.change()
        time.sleep(4.0)

    def _fall_before_first_watches(self, nodes, seconds):
        """The port closes between the listings and the first watches of nodes that have fallen."""
        rng = self._random
        self._deployment.change()
        time.sleep(rng.uniform(0.004, 0.4))
        self._deployment.kill(self._deployment.running(), rng.uniform(0.6, 2.0))
        time.sleep(rng.uniform(0.3, 0.6))
        self._deployment.change()
        self._call("close_ports", nodes, "cut")
        time.sleep(seconds)
        self._call("open_ports", nodes)
        for _ in range(6):
            self._deployment.change()
            time.sleep(rng.choice((0.1, 0.5, 2.5)))
        time.sleep(4.0)

    def fall_followers_closed(self):
        """Only the usual followers are rejected, which excuses nothing."""
        followers = [n for n in self._names if n.endswith(("a-4", "b-3", "c-3"))]
        self._fall_before_first_watches(followers, 9.0)

    def fall_briefly_closed(self):
        with self._disturbed():
            time.sleep(0.1)
        self._fall_before_first_watches(self._names, self._random.uniform(0.3, 0.8))

    def fall_closed(self):
        rng = self._random
        self._fall(lambda: self._call("close_ports", self._names, rng.choice(("cut", "mute"))),
                   lambda: self._call("open_ports", self._names),
                   rng.uniform(0.2, 1.0), rng.uniform(0.3, 1.5))

    def fall_closed_some(self):
        rng = self._random
        some = rng.sample(self._names, 5)
        self._fall(lambda: self._call("close_ports", some, "cut"),
                   lambda: self._call("open_ports", some),
                   rng.uniform(0.2, 1.0), rng.uniform(0.3, 2.0))

    def fall_slow(self):
        self._fall(lambda: self._call("set_delay", self._random.uniform(0.1, 0.9)),
                   lambda: self._call("set_delay", 0.0), 0.5, self._random.uniform(0.5, 3.0))

    def fall_slow_responses(self):
        """Responses show the store as it was when their call arrived."""
        self._fall(lambda: self._call("set_response_delay", self._random.uniform(0.1, 0.9)),
                   lambda: self._call("set_response_delay", 0.0), 0.5,
                   self._random.uniform(0.5, 3.0))

    def slow_responses(self):
        """The same without a fall, with changes meanwhile and afterwards, and a lost history."""
        rng = self._random
        with self._disturbed():
            self._call("set_response_delay", rng.uniform(0.1, 0.9))
            for number in range(6):
                self._deployment.change()
                if number % 3 == 2:
                    self._call("compact", 0.0)
                time.sleep(rng.choice((0.1, 0.5, 1.2)))
            self._call("set_response_delay", 0.0)
        time.sleep(3.0)
        for _ in range(4):
            self._deployment.change()
            time.sleep(rng.choice((0.1, 0.7, 2.5)))
        time.sleep(3.0)

    def fall_resetting(self):
        self._fall(lambda: self._call("reject", self._names, "reset"),
                   lambda: self._call("reject", self._names, None), 0.5,
                   self._random.uniform(0.5, 2.0))

    def fall_lagging(self):
        """Listings lack the last records of the revision that they name."""
        lag = self._random.uniform(1.0, 4.0)
        self._fall(lambda: self._call("set_lags", lag, 0.0),
                   lambda: self._call("set_lags", 0.0, 0.0), 0.5, 4.0)

    def fall_lagging_some(self):
        """The same, undisturbed by the measure of the pages: a listing lags for 0.3 s only."""
        self._fall(lambda: self._call("set_lags", 2.5, 0.0),
                   lambda: self._call("set_lags", 0.0, 0.0), 0.0, 0.15)

    # ------------------------------------------------------------------ outage

    def _outage(self, connections):
        rng = self._random
        self._deployment.change()
        time.sleep(rng.uniform(0.0, 0.6))
        self._deployment.change()
        time.sleep(rng.uniform(0.0, 0.6))
        with self._disturbed():
            self._call("close_ports", self._names, connections)
            time.sleep(4.5)
            self._call("open_ports", self._names)
        time.sleep(self.AFTER)

    def outage_cut(self):
        self._outage("cut")

    def outage_kept(self):
        self._outage("kept")

    def outage_mute(self):
        self._outage("mute")

    def _outage_right_after_change(self, before_end, seconds=4.5):
        """Followers have no call pending when the change before the outage is acknowledged."""
        rng = self._random
        self._deployment.change()
        time.sleep(rng.uniform(0.05, 0.4))
        self._deployment.change()
        with self._disturbed():
            self._call("close_ports", self._names, "cut")
            time.sleep(seconds)
            before_end()
            self._call("open_ports", self._names)
        time.sleep(5.0)
        for _ in range(4):
            self._deployment.change()
            time.sleep(rng.choice((0.2, 0.8, 2.5)))
        time.sleep(3.0)

    def outage_after_change(self):
        self._outage_right_after_change(lambda: None)

    def outage_compacted(self):
        self._outage_right_after_change(lambda: self._call("compact", 0.0))

    def outage_expired(self):
        """Leases expire in the outage."""
        self._outage_right_after_change(lambda: self._call("expire_leases"))

    def outage_forgotten(self):
        """The store has lost its history, and does not say so."""
        self._outage_right_after_change(lambda: self._call("forget_history"))

    def outage_long(self):
        self._outage_right_after_change(lambda: None, 15.0)

    # ------------------------------------------------------------------ reads that race with writes

    def _lag(self, listing, watch, is_watch_revision_late, with_start=False):
        """Changes while reads lag. Nothing excuses a late change here."""
        self._call("set_lags", listing, watch, is_watch_revision_late)
        for _ in range(6):
            self._deployment.change()
            if with_start:
                node = self._random.choice(self._deployment.running())
                self._deployment.end_by_itself(node, 0.05)
            time.sleep(self._random.uniform(0.1, 1.5))
        time.sleep(4.0)
        self._call("set_lags", 0.0, 0.0)
        time.sleep(2.0)

    def watches_late(self):
        self._lag(0.0, self._random.choice((0.02, 0.3, 1.0)), True)

    def watches_late_by_seconds(self):
        self._lag(0.0, 2.5, True)

    def watch_events_late(self):
        """A watch names a revision whose event it lacks."""
        self._lag(0.0, self._random.choice((0.02, 0.3, 1.0)), False)

    def listings_late(self):
        self._lag(self._random.choice((0.02, 0.3, 1.0)), 0.0, True, True)

    def events_overtaken(self):
        """Watches deliver the event of a later write some ms before that of a change."""
        self._call("overtake", "op/config", 0.05)
        for number in range(6):
            self._deployment.change()
            self._call("put", "status/other", {"number": number})
            time.sleep(self._random.uniform(0.5, 3.0))
        time.sleep(4.0)
        self._call("overtake", "", 0.0)
        time.sleep(1.0)

    # ------------------------------------------------------------------ writes out of order

    def write_after_newer(self):
        """A version without an answer is written after a newer one was acknowledged."""
        versions = self._deployment.versions
        older = json.dumps(versions.change())
        versions.record_sent(time.monotonic())
        newer = json.dumps(versions.change())
        versions.record_sent(time.monotonic())
        versions.record_acknowledged(self._call("put_configuration", newer))
        self._deployment.clients.call("set_recent", versions.recent)
        time.sleep(self._random.uniform(0.05, 2.5))
        self._call("put_configuration", older)
        time.sleep(self._random.uniform(5.0, 7.0))
        self._deployment.change()
        time.sleep(4.0)

    def write_repeated(self):
        """The answer of a write is lost, and it is repeated seconds later."""
        versions = self._deployment.versions
        text = json.dumps(versions.change())
        versions.record_sent(time.monotonic())
        self._call("put_configuration", text)
        self._deployment.clients.call("set_recent", versions.recent)
        time.sleep(self._random.uniform(0.05, 2.0))
        versions.record_acknowledged(self._call("put_configuration", text))
        time.sleep(4.0)

    # ------------------------------------------------------------------ rejections that follow

    def _rejected_callers(self, fault):
        self._call("reject_callers", 0.34, fault, 9.0)
        for _ in range(4):
            self._deployment.change()
            time.sleep(self._random.uniform(0.1, 1.5))
        time.sleep(10.0)

    def callers_busy(self):
        self._rejected_callers("busy")

    def callers_closed(self):
        self._rejected_callers("closed")

    def callers_reset(self):
        self._rejected_callers("reset")

    def callers_many(self):
        self._rejected_callers("many")

    def callers_relisted(self):
        """Silent for a third that follows the callers, while the store discards its history."""
        self._call("reject_callers", 0.34, "silent", 9.0)
        for number in range(6):
            self._deployment.change()
            self._call("put", "status/other", {"number": number})
            self._call("compact", 0.0)
            time.sleep(self._random.uniform(0.6, 1.6))
        time.sleep(8.0)

    def callers_silent(self):
        self._rejected_callers("silent")

    def _followers_closed(self, connections, seconds):
        """The port is closed for those that have a watch pending; nothing excuses that."""
        rng = self._random
        readers = self._call("readers")[:4]
        time.sleep(rng.uniform(0.0, 1.0))
        self._call("close_ports", readers, connections)
        time.sleep(rng.uniform(0.0, 1.0))
        for _ in range(3):
            self._deployment.change()
            time.sleep(rng.choice((0.1, 0.5, 1.0, 2.5)))
        time.sleep(seconds)
        self._call("open_ports", readers)
        self._deployment.change()
        time.sleep(5.0)

    def followers_mute(self):
        self._followers_closed("mute", 4.0)

    def followers_kept(self):
        self._followers_closed("kept", 4.0)

    def followers_briefly_mute(self):
        self._followers_closed("mute", 0.0)

    def _relisted(self, fault, reject_all=False):
        """The store discards its history, so that all followers list, and a change and a rejection
        come before their first watch."""
        rng = self._random
        time.sleep(3.0)
        readers = self._names if reject_all else self._call("readers")[:4]
        self._deployment.change()
        time.sleep(0.1)
        self._call("put", "status/other", {"at": time.monotonic()})
        self._call("compact", 0.0)
        time.sleep(rng.uniform(0.6, 0.9))
        self._deployment.change()
        time.sleep(rng.uniform(0.0, 0.3))
        if fault in ("cut", "mute"):
            self._call("close_ports", readers, fault)
            time.sleep(5.0)
            self._call("open_ports", readers)
        else:
            self._call("reject", readers, fault)
            time.sleep(5.0)
            self._call("reject", readers, None)
        time.sleep(4.0)

    def relisted_lagging(self):
        """The second listings of the followers lack a change, and their first watch is refused."""
        readers = self._call("readers")[:4]
        self._deployment.change()
        time.sleep(0.1)
        self._call("put", "status/other", {"at": time.monotonic()})
        self._call("compact", 0.0)
        self._call("set_lags", 0.7, 0.0)
        time.sleep(0.3)
        self._deployment.change()
        time.sleep(0.6)
        self._call("set_lags", 0.0, 0.0)
        self._call("close_ports", readers, "cut")
        time.sleep(0.8)
        self._call("open_ports", readers)
        time.sleep(7.0)

    def relisted_closed(self):
        self._relisted("cut")

    def relisted_mute(self):
        self._relisted("mute")

    def relisted_many(self):
        self._relisted("many")

    def all_relisted_many(self):
        """All nodes exceed the limit of calls; a watch that is pending gets no response."""
        self._relisted("many", reject_all=True)

    def relisted_silent(self):
        self._relisted("silent")

    # ------------------------------------------------------------------ single restarts

    def _restarts(self, stop):
        for _ in range(5):
            change = threading.Thread(target=self._deployment.change)
            change.start()
            time.sleep(self._random.uniform(0.0, 0.3))
            stop(self._random.choice(self._deployment.running()))
            change.join()
            time.sleep(self._random.uniform(0.2, 1.5))
        time.sleep(4.0)

    def own_ends(self):
        self._restarts(lambda n: self._deployment.end_by_itself(n, self._random.uniform(0.05, 0.5)))

    def planned_stops(self):
        self._restarts(lambda n: self._deployment.stop_and_start(n, 6.0))

    # ------------------------------------------------------------------ splits and prefixes

    def routes(self):
        """Changes splits and overlapping prefixes, with restarts and evacuations beside them."""
        rng = self._random
        for number in range(16):
            self._deployment.change()
            if number % 4 == 1:
                zone = rng.choice(("gw-a", "gw-b", "gw-c"))
                self._call("put", f"op/evacuate/{zone}", {})
                self._deployment.change()
                time.sleep(rng.uniform(0.1, 1.0))
                self._call("remove", f"op/evacuate/{zone}")
            if number % 4 == 2:
                self._deployment.end_by_itself(rng.choice(self._deployment.running()), 0.1)
            if number % 4 == 3:
                rng.choice(self._deployment.running()).process.signal(signal.SIGHUP)
            time.sleep(rng.choice((0.05, 0.3, 2.5)))
        time.sleep(4.0)
