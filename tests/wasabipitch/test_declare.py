import io
import runpy
import unittest
from pathlib import Path

from wasabipitch import declare, deployment
from wasabipitch.exceptions import SettingsError

EXAMPLES = Path(__file__).parents[2] / "examples"


class DeclareTests(unittest.TestCase):
    def test_errors_name_the_declared_item(self):
        with self.assertRaisesRegex(SettingsError, "instance Bad.*name"):
            declare.instance("Bad", "127.0.0.1:1", "north")
        with self.assertRaisesRegex(SettingsError, "payment.*weight"):
            declare.payment(weight=0)
        with self.assertRaisesRegex(SettingsError, "policy.*fair"):
            declare.deployment("shop", groups=[], fair=True)

    def test_duplicate_names_are_refused(self):
        one = declare.instance("a", "127.0.0.1:1", "north")
        with self.assertRaisesRegex(SettingsError, "instance a is declared twice"):
            declare.deployment("shop", groups=[declare.group("orders", [one, one])])

    def test_classes(self):
        self.assertFalse(declare.payment().idempotent)
        self.assertFalse(declare.write_once("booking").idempotent)
        self.assertTrue(declare.write("card").idempotent)
        self.assertEqual(3, declare.replica_read("status", max_age_s=3).max_age_s)
        self.assertTrue(declare.report("history").long)


class ExampleTests(unittest.TestCase):
    def check(self, name, connections, data_centres):
        example = runpy.run_path(str(EXAMPLES / f"{name}.py"))
        built = example["build"]()
        file = io.StringIO()
        declare.print_yaml(built, file)
        self.assertEqual(built, deployment.parse(file.getvalue()))
        printed = (EXAMPLES / f"{name}.yaml").read_text(encoding="utf-8")
        self.assertEqual(printed, file.getvalue())
        self.assertEqual([3, 3, 3], [len(g.instances) for g in built.groups])
        self.assertEqual({2}, {g.slots for g in built.groups})
        self.assertEqual({connections}, {g.connections for g in built.groups})
        used = {i.data_centre for g in built.groups for i in g.instances}
        self.assertEqual(set(data_centres), used)

    def test_wheelcraft(self):
        self.check("wheelcraft", 16, ("thonburi", "bangna", "chatuchak"))

    def test_cooperative(self):
        self.check("cooperative", 30, ("dalton", "gainesville", "rome", "marietta"))
