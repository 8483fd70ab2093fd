"""Tests the commands for organisations end to end: what they print, store, refuse and log."""

import hashlib
import json
import re
import subprocess
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "bench"))

from deployments import Deployment, Service  # noqa: E402
from fleet import BUILD, Fleet, http  # noqa: E402

SMALL = Deployment("small", "lagos", ("ikeja", "lekki"),
                   (Service("ledger", 2, (("entries", "/ledger"),)),))


class OrganisationTest(unittest.TestCase):
    """Tests that share one deployment of two nodes; each starts without organisations."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(18400)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.deploy(SMALL)
        cls.fleet.wait_for_members()

    def setUp(self):
        code, output = self.fleet.apply(SMALL.intent())
        self.assertEqual(code, 0, output)

    def change(self, *words, reason="tested"):
        """Runs a command that must succeed and be in force, and returns its JSON output."""
        code, output = self.fleet.command("organisation", *words, "--reason", reason, "--wait")
        self.assertEqual(code, 0, output)
        return output

    def listed(self):
        return self.fleet.command("organisation", "list")[1]

    def texts(self):
        """Returns all that the processes have logged and that the platform stores."""
        texts = [path.read_text() for path in self.fleet.folder.glob("*.log")]
        status, stored = http("GET", self.fleet.platform_port, "/v1/kv/boragetrack/intent")
        self.assertEqual(status, 200, stored)
        history = self.fleet.command("history")[1]
        return "\n".join([*texts, stored, json.dumps(history)])

    def test_key_is_printed_once_and_stored_as_its_digest(self):
        self.assertFalse(self.listed()["keysRequired"])
        self.change("add", "pulo780", "--priority", "1")
        added = self.change("key", "add", "pulo780")
        key = added["key"]
        digest = hashlib.sha256(key.encode()).hexdigest()
        # 160 bits of token68 characters.
        self.assertRegex(key, r"^[0-9a-f]{40}$")
        self.assertIn(key, added["text"])
        self.assertEqual(added["digest"], digest[:12])
        self.assertEqual(self.listed()["organisations"],
                         [{"name": "pulo780", "priority": 1, "keys": [digest[:12]]}])
        texts = self.texts()
        self.assertIn(digest, texts)
        self.assertNotIn(key, texts)
        actions = [change["action"] for change in self.fleet.command("history")[1]["changes"]]
        self.assertEqual(actions[-2:], ["organisation add pulo780 --priority 1",
                                        f"organisation key add pulo780 {digest[:12]}"])

    def test_removed_keys_and_organisations_are_gone(self):
        self.change("add", "pulo780")
        self.change("add", "kabo51")
        digests = [self.change("key", "add", "pulo780")["digest"] for _ in range(2)]
        self.change("key", "remove", "pulo780", digests[0][:6])
        self.change("remove", "kabo51")
        self.assertEqual(self.listed()["organisations"],
                         [{"name": "pulo780", "keys": digests[1:]}])
        self.change("remove", "pulo780")
        listed = self.listed()
        self.assertEqual(listed["organisations"], [])
        self.assertTrue(listed["keysRequired"])

    def test_refused_changes_store_nothing_and_print_no_key(self):
        self.change("add", "pulo780")
        key = self.change("key", "add", "pulo780")["key"]
        before = self.listed()
        refused = [("add", "pulo780"), ("add", ""), ("add", "kabo51", "--priority", "-1"),
                   ("remove", "kabo51"), ("key", "add", "kabo51"), ("add", key),
                   ("key", "remove", "pulo780", "abc"), ("key", "remove", "pulo780", key)]
        for words in refused:
            code, output = self.fleet.command("organisation", *words, "--reason", "t")
            self.assertEqual(code, 1, (words, output))
            self.assertNotIn("key", output)
            self.assertNotIn(key, json.dumps(output))
        code, output = self.fleet.command("organisation", "add", "kabo51", "--reason",
                                          f"has 'Bearer {key}'")
        self.assertEqual(code, 1, output)
        self.assertEqual(self.fleet.command("organisation", "add", "kabo51")[0], 2)
        self.assertEqual({**before, "text": ""}, {**self.listed(), "text": ""})
        self.assertNotIn(key, self.texts())

    def test_outage_of_the_platform_prints_no_key(self):
        self.change("add", "pulo780")
        self.fleet.faults(out=True)
        self.addCleanup(self.fleet.faults)
        code, output = self.fleet.command("organisation", "key", "add", "pulo780", "--reason", "t")
        self.assertEqual(code, 3, output)
        self.assertNotIn("key", output)

    def test_text_output(self):
        self.change("add", "pulo780")
        command = [BUILD / "boragetrack", "organisation", "--settings",
                   self.fleet.write_operator_settings()]
        run = lambda *words: subprocess.run([*command[:2], *words, *command[2:]],  # noqa: E731
                                            capture_output=True, text=True).stdout
        added = run("key", "add", "pulo780", "--reason", "t")
        key = re.search(r"^key of pulo780, not shown again: (\S+)$", added, re.MULTILINE).group(1)
        digest = hashlib.sha256(key.encode()).hexdigest()[:12]
        self.assertIn(f"its digest starts with {digest}\n", added)
        self.assertEqual(run("list").strip(), f"pulo780: keys {digest}")

    def test_intent_with_two_owners_of_a_key_is_refused_with_its_places(self):
        digest = "ab" * 32
        intent = {**SMALL.intent(), "organisations": [{"name": "a", "keys": [digest]},
                                                      {"name": "b", "keys": [digest]}]}
        code, output = self.fleet.apply(intent)
        self.assertEqual(code, 1)
        self.assertIn("#/organisations/1/keys/0: the same key as /organisations/0/keys/0",
                      output["text"])
        self.assertNotIn(digest, json.dumps(output))


if __name__ == "__main__":
    unittest.main()
