import tempfile
import unittest
from pathlib import Path

from wasabipitch import settings
from wasabipitch.exceptions import SettingsError
from wasabipitch.settings import EntrySettings, PoolSettings


class SettingsTest(unittest.TestCase):
    def load(self, text, kind):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "settings.yaml")
            path.write_text(text, encoding="utf-8")
            return settings.load(str(path), kind)

    def test_defaults_apply_to_omitted_settings(self):
        text = 'host: pool-1\ndata_centre: rome\nplatform: "127.0.0.1:9"\n'
        cfg = self.load(text, PoolSettings)
        self.assertEqual((cfg.host, cfg.link), ("pool-1", settings.ANY_PORT))
        self.assertFalse(cfg.fault_injection)

    def test_error_message_lists_every_error_with_its_path(self):
        text = "host: Pool 1\ndata_centre: rome\nplatform: x\nlogs: {level: loud}\nz: 1"
        with self.assertRaises(SettingsError) as caught:
            self.load(text, EntrySettings)
        for path in ("host:", "platform:", "logs.level:", "z:"):
            self.assertIn(path, caught.exception.message)

    def test_unreadable_file_is_named_in_the_error(self):
        with self.assertRaises(SettingsError) as caught:
            settings.load("/nowhere/settings.yaml", PoolSettings)
        self.assertIn("/nowhere/settings.yaml", caught.exception.message)
