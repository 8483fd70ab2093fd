"""The network between the nodes and to the store."""

import random

from quiet_event_loop import quiet_event_loop
from gate import Gate
from socket_owners import SocketOwners


class NetworkHost:
    """Has a gate before each node's peer port and one before its entrance to the store; lives in a
    process of its own."""

    def __init__(self, seed):
        self._event_loop = quiet_event_loop()
        self._random = random.Random(f"{seed}-network")
        self._owners = SocketOwners()
        self._links = {}
        self._stores = {}

    def add(self, node, link_port, peer_port, store_port, entrance_port):
        self._links[node] = Gate(self._event_loop, link_port, peer_port, self._owners.owner_of)
        self._stores[node] = Gate(self._event_loop, store_port, entrance_port)

    def set_pid(self, node, pid):
        self._owners.set_pid(node, pid)

    def cut(self, sides, is_reset):
        """Cuts two sets of nodes from each other. Returns the cut."""
        first, second = sides
        cuts = [("link", n, self._links[n].cut(set(second), is_reset)) for n in first]
        return cuts + [("link", n, self._links[n].cut(set(first), is_reset)) for n in second]

    def cut_from_store(self, nodes, is_reset):
        return [("store", n, self._stores[n].cut(None, is_reset)) for n in nodes]

    def heal(self, cuts, lag):
        for kind, node, number in cuts:
            gates = self._links if kind == "link" else self._stores
            gates[node].heal(number, self._random.uniform(0.0, lag))

    def reset(self, nodes, share):
        for node in nodes:
            for gate in (self._links[node], self._stores[node]):
                gate.reset(lambda: self._random.random() < share)

    def silence(self, nodes, share):
        """Lets connections go silent for good, while new ones work."""
        for node in nodes:
            for gate in (self._links[node], self._stores[node]):
                gate.kill(lambda: self._random.random() < share)
