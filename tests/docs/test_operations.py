import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
SOURCES = [
    path.read_text(encoding="utf-8")
    for path in (ROOT / "src" / "wasabipitch").rglob("*.py")
]
EVENT = re.compile(
    r"(?:\.(?:belief|request|late|limited|routine)|_log)"
    r'\(\s*(?:logging\.\w+, )?"([a-z ]+)"'
)
CHOSEN = re.compile(r'"([a-z ]+)" if \w+ else "([a-z ]+)"')
GAUGE = re.compile(r'Gauge\("(\w+)"')


def find_events():
    """Return the events that the code logs, chosen ones included."""
    found = set()
    for text in SOURCES:
        if "DecisionLog" not in text:
            continue
        found.update(EVENT.findall(text))
        for pair in CHOSEN.findall(text):
            found.update(event for event in pair if " " in event)
    return found


class OperationsTest(unittest.TestCase):
    def test_the_page_names_every_event_and_no_other(self):
        rows = re.findall(r"^\| (`[a-z` ,]+) \|", PAGE, re.MULTILINE)
        documented = {event for row in rows for event in re.findall(r"`([^`]+)`", row)}
        self.assertEqual(find_events(), documented)

    def test_the_page_names_metrics_that_exist(self):
        gauges = {name for text in SOURCES for name in GAUGE.findall(text)}
        for name in re.findall(r"^\| `wasabipitch_(\w+)`", PAGE, re.MULTILINE):
            with self.subTest(name=name):
                self.assertIn(name, gauges)
        self.assertIn('observe(\n            "statement_seconds"', "".join(SOURCES))
