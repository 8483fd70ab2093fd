"""The operator's versions of a configuration, and what each of them allows."""

import bisect
import random

HOSTS = 12


class IntentVersions:
    """Creates versions one after the other, and remembers when each was sent and acknowledged.

    Each version moves, adds or drops some of many routes without traffic of their own, and at
    times moves a route with traffic between two services.
    """

    def __init__(self, seed, services, fixed_routes, movable, idle_count, split_share=0.0,
                 idle_priority=3):
        self._random = random.Random(f"{seed}-versions")
        self._services = services
        self._fixed = fixed_routes  # by prefix: a rule
        self._movable = movable  # a prefix, and the services that it moves between
        self._number = 3
        self._idle_priority = idle_priority
        self._split_share = split_share  # of the changed routes, those that become a split
        self.sent_at = []
        self.acknowledged_at = []
        # By prefix: the indexes of the versions that changed it, and its service from then on.
        self._history = {}
        self._idle = {}
        self._next_idle = 0
        for _ in range(idle_count):
            self._add_idle()
        self.recent = []  # prefixes that the last versions changed
        self.changed = []  # prefixes that the last version changed

    def _add_idle(self):
        prefix = f"/idle{self._next_idle}/"
        self._next_idle += 1
        self._idle[prefix] = self._random.choice(self._services)
        return prefix

    def change(self, added=0):
        """Prepares the next version. Returns its document."""
        changed = []
        if self.sent_at:
            self._number += self._random.choice((1, 2, 5))
            for prefix in self._random.sample(sorted(self._idle), 2):
                others = [s for s in self._services if s != self._idle[prefix]]
                self._idle[prefix] = self._random.choice(others)
                if self._split_share and self._random.random() < self._split_share:
                    self._idle[prefix] = tuple(self._random.sample(self._services, 2))
                changed.append(prefix)
            dropped = self._random.choice(sorted(set(self._idle) - set(changed)))
            del self._idle[dropped]
            changed += [dropped, self._add_idle()]
            changed += [self._add_idle() for _ in range(added)]
            if self._random.random() < 0.5:
                prefix, (first, second) = self._movable
                rule = self._fixed[prefix]
                rule["action"]["service"] = second if rule["action"]["service"] == first else first
                changed.append(prefix)
        self.changed = changed
        self.recent = (changed + self.recent)[:16]
        return self._document()

    def record_sent(self, at):
        """Records that the prepared version is sent now."""
        index = len(self.sent_at)
        self.sent_at.append(at)
        self.acknowledged_at.append(float("inf"))
        state = self._services_by_prefix()
        for prefix in set(state) | set(self._history):
            changes = self._history.setdefault(prefix, [])
            service = state.get(prefix)
            if (changes[-1][1] if changes else None) != service:
                changes.append((index, service))

    def _services_by_prefix(self):
        state = dict(self._idle)
        state.update({p: r["action"].get("service") for p, r in self._fixed.items()})
        return state

    @staticmethod
    def _is_allowed(allowed, service):
        return service in allowed if isinstance(allowed, tuple) else allowed == service

    def record_acknowledged(self, at):
        self.acknowledged_at[-1] = at

    def service_at(self, prefix, index):
        """Returns the service of a prefix in a version, a tuple of those of a split, or None
        without a route."""
        changes = self._history.get(prefix, [])
        position = bisect.bisect_right(changes, index, key=lambda change: change[0])
        return changes[position - 1][1] if position else None

    def matching(self, prefix, service, until):
        """Returns the indexes of the versions that allow a service (None: a refusal) and were sent
        before a time."""
        count = bisect.bisect_left(self.sent_at, until)
        return [i for i in range(count) if self._is_allowed(self.service_at(prefix, i), service)]

    def oldest_allowed(self, sent_at, bound):
        """Returns the index of the newest version that was acknowledged that long before."""
        known = [i for i, at in enumerate(self.acknowledged_at) if at <= sent_at - bound]
        return known[-1] if known else 0

    @staticmethod
    def _action_to(service):
        action = {"timeoutS": 2.0, "maxAttempts": 2}
        if isinstance(service, tuple):
            action["weightedSplit"] = [{"service": s, "weight": 50} for s in service]
        else:
            action["service"] = service
        return action

    def _document(self):
        rules = {}
        for prefix, service in self._idle.items():
            rules[prefix] = {"name": f"r{prefix.strip('/')}", "kind": "safe", "targetLatencyS": 0.5,
                             "priority": self._idle_priority, "match": {"prefix": prefix},
                             "action": self._action_to(service)}
        rules.update(self._fixed)
        listeners = [{"host": f"h{i}.example", "ruleSet": []} for i in range(HOSTS)]
        for prefix, rule in rules.items():
            listeners[host_number(prefix)]["ruleSet"].append(rule)
        clusters = [{"name": s, "healthPath": "/health", "maxConns": 110, "protocol": "h1",
                     "tls": False, "coldStartS": 3.0, "coldPerS": 31.0} for s in self._services]
        return {"version": f"r{self._number}", "baseVersion": f"r{self._number - 1}",
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutS": 1,
                           "idleTimeoutS": 15},
                "listeners": listeners, "clusters": clusters}


def host_number(prefix):
    """Returns the number of the host that has a prefix."""
    return sum(prefix.encode()) % HOSTS


def host_of(prefix):
    return f"h{host_number(prefix)}.example"
