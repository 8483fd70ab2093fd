"""Tests what the platform renders from the template of a node's settings."""

import json
import re
import unittest
from pathlib import Path

TEMPLATE = Path(__file__).resolve().parents[2] / "deploy" / "node.json.template"
# The fields of a deployment without a usage interface.
VALUES = {
    "nodeName": "n1", "zone": "ikeja", "service": "items", "ip": "10.0.0.1",
    "listen": {"outbound": "10.0.0.1:8000", "control": "10.0.0.1:8001", "ready": "10.0.0.1:8002"},
    "portRange": {"0": "9000", "1": "9001"}, "platform": {"address": "10.0.0.2:7000"},
    "zones": ["ikeja", "lekki"],
    "bounds": {"graceS": "6", "budgetWindowS": "10", "retryBudgetSlack": "50"},
}
USAGE = {
    "cloudApi": {"address": "10.0.0.9:8080", "duties": ["usage", "other"], "dutyPerS": "50"},
    "bounds": {**VALUES["bounds"], "reportWindowS": "5", "usageLateS": "10", "leaseS": "3"},
}
SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)


def lookup(values, path):
    for name in path.split("."):
        values = values.get(name) if isinstance(values, dict) else None
    return values


def render(text, values):
    """Renders a template in the platform's language, as far as the template uses it."""

    def section(match):
        kind, path, body = match.groups()
        value = lookup(values, path)
        if kind == "^":
            return "" if value else render(body, values)
        if not value:
            return ""
        if not isinstance(value, list):
            return render(body, values)
        entries = []
        for index, entry in enumerate(value):
            comma = "," if index + 1 < len(value) else ""
            entries.append(re.sub(r"\{\{[.@]\}\}", entry, body).replace("{{,}}", comma))
        return "".join(entries)

    text = SECTION.sub(section, text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(lookup(values, m[1]) or ""), text)


class SettingsTemplateTest(unittest.TestCase):
    # Deployments without a usage interface would get other settings than before.
    def test_renders_nothing_of_usage_reports_without_a_usage_interface(self):
        text = render(TEMPLATE.read_text(), VALUES)
        self.assertTrue(text.endswith(
            '  "repeats": {"windowSeconds": 10, "reserve": 50},\n  "seeds": []\n}\n'))
        settings = json.loads(text)
        self.assertNotIn("usageReports", settings)
        self.assertNotIn("duties", settings)

    # A template that does not fit the settings' schema keeps all nodes from starting.
    def test_renders_the_usage_interface_and_the_duties(self):
        settings = json.loads(render(TEMPLATE.read_text(), {**VALUES, **USAGE}))
        self.assertEqual(settings["usageReports"], {
            "receiver": "10.0.0.9:8080", "windowSeconds": "5", "lateSeconds": "10",
            "leaseSeconds": "3", "callsPerSecond": "50"})
        self.assertEqual(settings["duties"], ["usage", "other"])

    def test_renders_an_empty_list_without_duties(self):
        values = {**VALUES, **USAGE, "cloudApi": {"address": "10.0.0.9:8080"}}
        settings = json.loads(render(TEMPLATE.read_text(), values))
        self.assertEqual(settings["duties"], [])


if __name__ == "__main__":
    unittest.main()
