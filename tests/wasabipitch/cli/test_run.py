import subprocess
import sys
import tempfile
import unittest
from pathlib import Path


def run(program, *arguments):
    command = [sys.executable, "-m", f"wasabipitch.cli.{program}", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


class CommandLineTest(unittest.TestCase):
    def test_wrong_use_ends_with_code_2_and_says_why(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "bad.yaml")
            path.write_text("host: X\nlisten: here\nextra: 1\n", encoding="utf-8")
            cases = [
                (["--settings", str(path)], "listen: "),
                (["--settings", str(path)], "extra: "),
                (["--settings", str(path), "--bogus", "3"], "bogus"),
                (["--settings", f"{folder}/none.yaml"], "none.yaml"),
                ([], "settings"),
            ]
            for arguments, message in cases:
                with self.subTest(arguments, message=message):
                    done = run("entry", *arguments)
                    self.assertEqual(done.returncode, 2)
                    self.assertIn(message, done.stderr)

    def test_help_says_what_it_does(self):
        for program in ("entry", "pool"):
            done = run(program, "--help")
            self.assertEqual(done.returncode, 0)
            self.assertIn("SIGTERM", done.stdout + done.stderr)
