"""The servers of some nodes."""

import random

from quiet_event_loop import quiet_event_loop
from nesting_upstream import IDLE_KIND, KIND_BY_PREFIX, NestingUpstream


def work_of(request):
    """Returns for how long a server works on a request (s)."""
    kind = KIND_BY_PREFIX.get(f"/{request.path.split('/')[1]}/", IDLE_KIND)
    return min(kind.work * random.lognormvariate(-0.2, 0.6), 6 * kind.work)


class ServerHost:
    """Runs servers on one event loop; lives in a process of its own."""

    def __init__(self):
        self._event_loop = quiet_event_loop()
        self._outcomes = []
        self._servers = {}

    def add(self, node, ports, service):
        server = NestingUpstream(self._event_loop, node, self._outcomes, ports, service)
        server.service_time_of = work_of
        server.start()
        self._servers[node] = server

    def drain(self, node):
        """Announces that a server is draining. Returns whether that was acknowledged."""
        return self._servers[node].drain() == 200

    def remove(self, node):
        """Deregisters and ends a server."""
        server = self._servers.pop(node)
        server.deregister()
        server.stop()

    def outcomes(self):
        return self._outcomes
