"""Versions with overlapping prefixes and weighted splits that change."""

from intent_versions import IntentVersions

FAMILIES = 6


def outer(number):
    return f"/over{number}/"


def inner(number):
    # On the same host as the outer prefix: the bytes added sum to a multiple of the hosts.
    return f"/over{number}/a/"


class OverlappingVersions(IntentVersions):
    """Moves outer and inner prefixes, adds and drops inner ones, and changes parts of splits."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._outer = {n: self._random.choice(self._services) for n in range(FAMILIES)}
        self._inner = {n: None for n in range(FAMILIES)}
        self._splits = {f"/split{n}/": tuple(self._services[:2]) for n in range(FAMILIES)}

    def change(self, added=0):
        for number in self._random.sample(range(FAMILIES), 2):
            if self._random.random() < 0.5:
                self._outer[number] = self._random.choice(self._services)
            self._inner[number] = self._random.choice((None, *self._services))
        for prefix in self._random.sample(sorted(self._splits), 2):
            parts = self._random.sample(sorted(self._services), self._random.choice((1, 2)))
            self._splits[prefix] = tuple(parts)
        super().change(added)
        self.recent = self.recent[:8] + [inner(n) for n in range(FAMILIES)] \
            + [outer(n) for n in range(FAMILIES)] + sorted(self._splits)
        return self._document()

    def _services_by_prefix(self):
        state = super()._services_by_prefix()
        for number in range(FAMILIES):
            state[outer(number)] = self._outer[number]
            state[inner(number)] = self._inner[number] or self._outer[number]
        state.update(self._splits)
        return state

    def _document(self):
        idle = dict(self._idle)
        for number in range(FAMILIES):
            self._idle[outer(number)] = self._outer[number]
            if self._inner[number]:
                self._idle[inner(number)] = self._inner[number]
        self._idle.update({prefix: None for prefix in self._splits})
        document = super()._document()
        self._idle = idle
        for listener in document["listeners"]:
            for rule in listener["ruleSet"]:
                parts = self._splits.get(rule["match"]["prefix"])
                rule["name"] = rule["name"].replace("/", "-")
                if parts:
                    del rule["action"]["service"]
                    rule["action"]["weightedSplit"] = [{"service": s, "weight": 0.5} for s in parts]
        return document
