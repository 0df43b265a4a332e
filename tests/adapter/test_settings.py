import json
import os
import subprocess
import sys
import tempfile
import unittest
import unittest.mock
from pathlib import Path

from adapter import settings
from adapter.listener import listen_for_callers
from tests.adapter import PLATFORM
from wasabipitch.exceptions import SettingsError
from wasabipitch.models import Address

FIELDS = {
    "Node": "front-rome-1",
    "Ip": "127.0.0.1",
    "Zone": "rome",
    "Listen": {
        "Front": "127.0.0.1:0",
        "Ready": "127.0.0.1:8785",
        "Control": "127.0.0.1:8782",
    },
    "Seeds": ["127.0.0.1:8782"],
    "Bounds": {"GraceS": 6},
    "platform": {"Addr": "127.0.0.1:1"},
    "Cloud": {"Addr": "127.0.0.1:2"},
    "Unknown": {"is": "ignored"},
}


class SettingsTest(unittest.TestCase):
    def write(self, text):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(folder) / "settings.json"
        path.write_text(text, encoding="utf-8")
        return str(path)

    def test_fields_are_decoded(self):
        cfg = settings.load(self.write(json.dumps(FIELDS)))
        self.assertEqual((cfg.host, cfg.data_centre), ("front-rome-1", "rome"))
        self.assertEqual(cfg.store, Address("127.0.0.1", 1))
        self.assertEqual(cfg.grace_s, 6.0)

    def test_a_missing_field_is_named(self):
        fields = {k: v for k, v in FIELDS.items() if k != "Zone"}
        with self.assertRaisesRegex(SettingsError, "Zone"):
            settings.load(self.write(json.dumps(fields)))

    def test_the_listener_opens_before_other_imports(self):
        listener = listen_for_callers(self.write(json.dumps(FIELDS)))
        self.addCleanup(listener.close)
        self.assertNotEqual(listener.getsockname()[1], 0)

    def test_broken_settings_end_the_program_with_one_line(self):
        for text, reason in [("{", "JSON"), ("{}", "Listen"), ("", "JSON")]:
            with self.subTest(text=text):
                done = subprocess.run(
                    [sys.executable, str(PLATFORM / "main.py")],
                    env={**os.environ, "WASABIPITCH_SETTINGS": self.write(text)},
                    capture_output=True,
                    text=True,
                    timeout=30,
                    check=False,
                )
                self.assertEqual(done.returncode, 2)
                self.assertEqual(len(done.stderr.splitlines()), 1, done.stderr)
                self.assertIn(reason, done.stderr)

    def test_the_cost_of_a_crossing_is_read_from_the_environment(self):
        path = self.write(json.dumps(FIELDS))
        variable = settings.CROSSING_COST_VARIABLE
        with unittest.mock.patch.dict(os.environ, {variable: "20"}):
            self.assertEqual(settings.load(path).crossing_cost_s, 0.02)
        for text in ("-1", "nan", "inf", "much"):
            with (
                self.subTest(text=text),
                unittest.mock.patch.dict(os.environ, {variable: text}),
                self.assertRaisesRegex(SettingsError, variable),
            ):
                settings.load(path)
