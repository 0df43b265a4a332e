import unittest

from wasabipitch import deployment
from wasabipitch.exceptions import SettingsError, UnknownClass, UnknownGroup

VALID_YAML = """
name: wheelcraft
groups:
- name: workshop
  instances:
  - {name: w1, address: "127.0.0.1:1", data_centre: thonburi}
  - {name: w2, address: "127.0.0.1:2", data_centre: bangna}
  - {name: w3, address: "127.0.0.1:3", data_centre: chatuchak}
classes:
- {name: payment, idempotent: false, weight: 50}
"""


class DeploymentTest(unittest.TestCase):
    def test_yaml_round_trip(self):
        parsed = deployment.parse(VALID_YAML)
        self.assertEqual(deployment.parse(deployment.dump(parsed)), parsed)

    def test_json_round_trip_keeps_each_group_on_one_line(self):
        parsed = deployment.parse(VALID_YAML)
        encoded = deployment.dump_json(parsed)
        self.assertEqual(deployment.parse(encoded), parsed)
        lines = [ln for ln in encoded.splitlines() if '"workshop"' in ln]
        self.assertEqual(len(lines), 1)
        flow = deployment.parse("{name: wheelcraft, groups: []}")
        self.assertEqual(flow.groups, ())

    def test_all_errors_are_reported_with_their_paths(self):
        bad = VALID_YAML.replace("127.0.0.1:1", "nowhere").replace(
            "weight: 50", "wieght: 1"
        )
        with self.assertRaises(SettingsError) as caught:
            deployment.parse(bad + "extra: 1\n")
        text = caught.exception.message
        self.assertIn("groups.0.instances.0.address", text)
        self.assertIn("classes.0.wieght", text)
        self.assertIn("extra", text)

    def test_names_and_addresses_are_unique(self):
        with self.assertRaises(SettingsError) as caught:
            deployment.parse(VALID_YAML.replace("w2", "w1").replace(":3", ":2"))
        self.assertIn("groups.0.instances.1.name", caught.exception.message)
        self.assertIn("groups.0.instances.2.address", caught.exception.message)

    def test_invalid_yaml_is_rejected(self):
        with self.assertRaises(SettingsError):
            deployment.parse("name: [")

    def test_unknown_names(self):
        parsed = deployment.parse(VALID_YAML)
        self.assertEqual(parsed.request_class("").name, "default")
        self.assertRaises(UnknownClass, parsed.request_class, "other")
        self.assertRaises(UnknownGroup, parsed.group, "other")
