import contextlib
import io
import unittest
from unittest import mock

from bench.commands import Commands
from wasabipitch.cli import bench
from wasabipitch.exceptions import SettingsError


class CommandTests(unittest.TestCase):
    def test_wrong_arguments_are_named(self):
        commands = Commands()
        for text, call in (
            ("can't read nowhere.yaml", lambda: commands.run("nowhere.yaml")),
            ("no slope is named 'x'", lambda: commands.slopes("x")),
            ("0 is not a whole number", lambda: commands.failover(kills=0)),
            ("'burn' is not one of", lambda: commands.failover(loss="burn")),
            ("no variant is named 'x'", lambda: commands.failover(variant="x")),
        ):
            with self.assertRaisesRegex(SettingsError, text):
                call()

    def test_program_exits_with_the_usage_code(self):
        errors = io.StringIO()
        with (
            mock.patch("sys.argv", ["wasabipitch-bench", "slopes", "x"]),
            contextlib.redirect_stderr(errors),
            self.assertRaises(SystemExit) as caught,
        ):
            bench.main()
        self.assertEqual(bench.EXIT_USAGE, caught.exception.code)
        self.assertIn("known: connections", errors.getvalue())
