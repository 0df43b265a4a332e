import json
import os
import subprocess
import sys
import sysconfig
import tomllib
import unittest

from tests.adapter import PLATFORM

ROOT = PLATFORM.parent
# Prints the modules that a host has imported when it begins to serve.
LIST_MODULES = """
import json, sys
sys.path[:0] = sys.argv[1:]
import main
main.import_program()
print(json.dumps(sorted(sys.modules)))
"""
# The packages outside the standard library that a host needs to serve; msgspec imports
# typing_extensions where it is installed.
LIBRARIES = {
    "httptools",
    "msgspec",
    "pythonjsonlogger",
    "typing_extensions",
    "uvloop",
    "xxhash",
}
# Each of these takes about as long to import as a read of the store, or longer.
SLOW_STANDARD_MODULES = {
    "email",
    "hashlib",
    "http",
    "ipaddress",
    "pathlib",
    "secrets",
    "tempfile",
    "urllib",
}


def list_modules() -> set[str]:
    """Return the names of the modules that a host imports before it serves."""
    paths = [str(PLATFORM), str(ROOT / "src")]
    environ = {**os.environ, "PYTHONPATH": sysconfig.get_path("purelib")}
    done = subprocess.run(
        [sys.executable, "-S", "-c", LIST_MODULES, *paths],
        env=environ,
        stdout=subprocess.PIPE,
        check=True,
        timeout=60,
    )
    return set(json.loads(done.stdout))


class StartupTests(unittest.TestCase):
    """Guards the time without service after all hosts lost power at once.

    Imports take most of a host's start, and callers wait for it.
    """

    @classmethod
    def setUpClass(cls):
        cls.modules = list_modules()
        cls.packages = {name.partition(".")[0] for name in cls.modules}

    def test_no_other_library_is_imported(self):
        own = {"adapter", "launch", "main", "wasabipitch", "__main__", "cython_runtime"}
        standard = sys.stdlib_module_names
        others = {
            name
            for name in self.packages - own - LIBRARIES - standard
            if not name.startswith("_")
        }
        self.assertEqual(others, set())

    def test_no_slow_standard_module_is_imported(self):
        self.assertEqual(self.packages & SLOW_STANDARD_MODULES, set())

    def test_no_data_class_is_compiled_at_import(self):
        # ``dataclass`` compiles the source of each class's methods when it is imported.
        sources = [
            ROOT / "src" / (name.replace(".", "/") + ".py")
            for name in self.modules
            if name.startswith("wasabipitch.")
        ]
        compiled = [
            source.name
            for source in sources
            if source.exists() and "@dataclass" in source.read_text()
        ]
        self.assertEqual(compiled, [])

    def test_the_interpreter_skips_the_site_module(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.assertIn("-S", deploy["roles"]["gateway"]["run"].split())


if __name__ == "__main__":
    unittest.main()
