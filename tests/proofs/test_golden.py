"""Runs each golden session and compares its transcript with the golden file."""

import unittest
from pathlib import Path

from proofs.golden import compare, mask
from proofs.sessions import SESSIONS, record_session

DIRECTORY = Path(__file__).resolve().parent.parent / "golden"


class GoldenSessions(unittest.IsolatedAsyncioTestCase):
    async def check(self, name):
        difference = compare(DIRECTORY / f"{name}.yaml", await record_session(name))
        hint = "run tools/update_golden.py if the change is intended"
        self.assertEqual(difference, "", f"\n{difference}\n{hint}")

    async def test_ordinary_day(self):
        await self.check("ordinary_day")

    async def test_roaming_session(self):
        await self.check("roaming_session")

    async def test_primary_lost_mid_write(self):
        await self.check("primary_lost_mid_write")

    async def test_entry_lost_mid_transaction(self):
        await self.check("entry_lost_mid_transaction")

    async def test_platform_outage(self):
        await self.check("platform_outage")

    async def test_two_operators(self):
        await self.check("two_operators")


class GoldenText(unittest.TestCase):
    def test_every_session_has_a_file(self):
        files = sorted(path.stem for path in DIRECTORY.glob("*.yaml"))
        self.assertEqual(files, sorted(SESSIONS))

    def test_a_difference_is_shown_line_by_line(self):
        difference = compare(DIRECTORY / "ordinary_day.yaml", "title: other\n")
        self.assertIn("+title: other", difference)

    def test_what_differs_from_run_to_run_is_masked(self):
        self.assertEqual(mask("at 127.0.0.1:4711"), "at <address>")
        self.assertEqual(
            mask("SET wasabipitch_token = 'AbC='"), "SET wasabipitch_token = '<token>'"
        )
