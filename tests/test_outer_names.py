"""Checks that names which leave the process stay as they are.

``outer_names.txt`` lists the names in messages, stored records, settings, command
lines, metrics and log lines: other processes, saved data and operators rely on them.
"""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LIST = ROOT / "tests" / "outer_names.txt"
EXPLANATIONS = ROOT / "src" / "wasabipitch" / "operations" / "explanations.py"
REASONS_HEAD = "# Parts of reasons that ctl explain looks for in saved logs"
SOURCES = (("src", "*.py"), ("src", "*.capnp"), ("platform", "*.py"), ("deploy", "*"))


def read_sources():
    """Return the text of each source file, by its path."""
    return {
        path: path.read_text(encoding="utf-8")
        for folder, pattern in SOURCES
        for path in sorted((ROOT / folder).rglob(pattern))
        if path.is_file() and "__pycache__" not in path.parts
    }


def read_names(text):
    """Return the names in a list, whose heads begin with ``#``."""
    lines = (line.strip() for line in text.splitlines())
    return [line for line in lines if line and not line.startswith("#")]


def find_missing(names, text):
    """Return the names that don't occur as whole words."""
    words = set(re.findall(r"\w+", text))
    return [name for name in names if name not in words and not _occurs(name, text)]


def _occurs(name, text):
    # A prefix such as ``pool.errors.`` or ``wasabipitch_`` goes on after its end.
    start = r"(?<!\w)" if name[0].isalnum() else ""
    end = r"(?!\w)" if name[-1].isalnum() else ""
    return re.search(start + re.escape(name) + end, text) is not None


class OuterNamesTest(unittest.TestCase):
    def test_every_listed_name_occurs_in_the_sources(self):
        names = read_names(LIST.read_text(encoding="utf-8"))
        self.assertGreater(len(names), 500)
        self.assertEqual(find_missing(names, "\n".join(read_sources().values())), [])

    def test_reasons_that_explain_looks_for_are_given_elsewhere(self):
        text = LIST.read_text(encoding="utf-8")
        reasons = read_names(text.partition(REASONS_HEAD)[2].partition("\n#")[0])
        self.assertGreater(len(reasons), 5)
        sources = read_sources()
        explanations = sources.pop(EXPLANATIONS)
        self.assertEqual(find_missing(reasons, explanations), [])
        self.assertEqual(find_missing(reasons, "\n".join(sources.values())), [])

    def test_a_renamed_name_is_missed(self):
        text = (
            "class Hello(Struct):\n    incarnation_id: str\n    count('pool.errors.X')"
        )
        self.assertEqual(
            find_missing(["Hello", "incarnation", "pool.errors."], text),
            ["incarnation"],
        )
