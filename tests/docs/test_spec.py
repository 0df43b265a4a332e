import importlib
import re
import unittest
from pathlib import Path

PAGE = Path(__file__).resolve().parents[2] / "docs" / "SPEC.md"
DOTTED = re.compile(r"`((?:wasabipitch|standins)\.[\w.]+)`")


def find(path: str):
    parts = path.split(".")
    thing = importlib.import_module(".".join(parts[:2]))
    for end, name in enumerate(parts[2:], start=3):
        if not hasattr(thing, name):
            # A module of a package is its attribute only once it was imported.
            importlib.import_module(".".join(parts[:end]))
        thing = getattr(thing, name)
    return thing


class MappingTest(unittest.TestCase):
    def test_every_function_of_the_mapping_exists(self):
        text = PAGE.read_text(encoding="utf-8")
        table = text.split("## From the specification to the product")[1]
        names = DOTTED.findall(table)
        self.assertGreater(len(names), 15)
        for name in names:
            with self.subTest(name):
                self.assertTrue(callable(find(name)))
