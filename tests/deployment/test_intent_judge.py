"""Tests that the judge finds what breaks the bounds for a change, and nothing else."""

import unittest

from disturbance_log import DisturbanceLog
from intent_judge import IntentJudge
from intent_versions import IntentVersions

NODE = "sidecar-gw-c-3"


class IntentJudgeTest(unittest.TestCase):
    """Version 0 is acknowledged at 10 s, version 1 at 20 s."""

    def setUp(self):
        rule = {"name": "sheet", "match": {"prefix": "/sheet/"}, "action": {"service": "b"}}
        self.versions = IntentVersions(1, ("a", "b"), {"/sheet/": rule}, ("/sheet/", ("a", "b")), 8)
        for at in (10.0, 20.0):
            self.versions.change()
            self.versions.record_sent(at - 0.1)
            self.versions.record_acknowledged(at)
        self.prefix = next(p for p in self.versions.recent
                           if None not in (self.versions.service_at(p, 0),
                                           self.versions.service_at(p, 1)))
        self.old, self.new = (self.versions.service_at(self.prefix, i) for i in (0, 1))
        self.disturbances = DisturbanceLog()

    def violations(self, *outcomes):
        judge = IntentJudge(self.versions, self.disturbances, {NODE: [0.0]})
        judge.judge([(NODE, self.prefix, at, at + 0.05, 200, f"{service}.x.1")
                     for at, service in outcomes])
        return [line.split(":")[0] for line in judge.violations]

    def test_finds_an_old_version_after_the_bound_only(self):
        self.assertEqual(self.violations((21.9, self.old), (22.1, self.new)), [])
        self.assertEqual(self.violations((22.1, self.old)), ["late"])

    def test_finds_a_return_to_an_old_version_within_the_bound(self):
        self.assertEqual(self.violations((20.5, self.new), (20.7, self.old)), [])
        self.assertEqual(self.violations((20.5, self.new), (20.9, self.old)), ["regressed"])

    def test_excuses_disturbed_machines(self):
        entry = self.disturbances.begin(NODE)
        entry[1:] = [18.0, 19.5]
        self.assertEqual(self.violations((22.4, self.old)), [])
        self.assertEqual(self.violations((22.6, self.old)), ["late"])


if __name__ == "__main__":
    unittest.main()
