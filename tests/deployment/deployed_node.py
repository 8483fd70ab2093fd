"""A node of the deployment and its process."""

import json
import signal
import threading

from fleet import BUILD, TOKEN, Process

PORTS = ("callers", "peers", "operators", "announcements", "readiness", "upstream", "links",
         "store", "entrance")


class DeployedNode:
    """A boragetrackd whose links pass through gates, and its calls of the store as well unless
    they go to its entrance directly."""

    def __init__(self, name, zone, service, ports, folder, zones, store_port="store"):
        self.name = name
        self.zone = zone
        self.service = service
        self.ports = {kind: ports.take() for kind in PORTS}
        self.log = folder / f"{name}.log"
        self.process = None
        # A planned stop, a kill and a restart may overlap.
        self.lock = threading.Lock()
        self.has_left = False
        self.is_frozen = False
        address = lambda kind: f"127.0.0.1:{self.ports[kind]}"
        self._path = folder / f"{name}.json"
        self._path.write_text(json.dumps({
            "interface": "platform", "node": name, "dataCentre": zone, "service": service,
            "callers": address("callers"), "announcements": address("announcements"),
            "readiness": address("readiness"), "peers": address("peers"),
            "peersReachableAt": address("links"), "operators": address("operators"),
            "platform": address(store_port), "dataCentres": list(zones), "operatorToken": TOKEN,
            "announcementLifeMs": 1500, "memoryMegabytes": 110,
            "repeats": {"windowSeconds": 10, "reserve": 58}, "seeds": []}))

    def start(self):
        if self.process is None:
            self.process = Process([BUILD / "boragetrackd", "--settings", self._path], self.log)
        else:
            self.process.start()

    def is_running(self):
        return self.process is not None and self.process.is_running()

    def freeze(self):
        self.is_frozen = True
        self.process.signal(signal.SIGSTOP)

    def thaw(self):
        self.process.signal(signal.SIGCONT)
        self.is_frozen = False
