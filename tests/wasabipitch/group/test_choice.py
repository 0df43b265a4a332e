import unittest
from types import SimpleNamespace
from unittest.mock import AsyncMock

from wasabipitch.coordination.documents import (
    GroupRecord,
    GroupSettings,
    InstanceEntry,
    Phase,
)
from wasabipitch.coordination.members import Membership
from wasabipitch.group.choice import SuccessorChoice
from wasabipitch.group.state import GroupState
from wasabipitch.models import ORIGIN, Address, Position
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.wire.messages import InstanceReport

RECORD = GroupRecord(Phase.CHANGING, "old", 1, 1, "holder")


def make_report(is_primary, index, fenced_term=0, term=1):
    return InstanceReport(is_primary, term, Position(1, index), fenced_term, 0.0, 0, 1)


class SuccessorChoiceTest(unittest.IsolatedAsyncioTestCase):
    """The old primary answers and steps down; one replica doesn't answer."""

    def setUp(self):
        self.state = GroupState(
            GroupSettings("ledger", 16, 1), lambda: 0.0, DecisionLog("host")
        )
        for name in ("old", "near", "far"):
            address = Address("127.0.0.1", 1)
            self.state.entries[name] = InstanceEntry(
                name, "ledger", address, "rome", 2, False, name == "old", 0, 1
            )
        self.reports = {"old": make_report(True, 9), "near": make_report(False, 9)}
        self.fenced = {"near": make_report(False, 9, 2)}
        self.control = SimpleNamespace(
            fetch_reports=AsyncMock(side_effect=self.fetch_reports),
            step_down=AsyncMock(return_value=make_report(False, 9)),
            fence_all=AsyncMock(side_effect=self.fence_all),
            resume=AsyncMock(),
            failures={},
        )
        self.limit = Position(1, 9)
        self.acknowledged = Position(1, 7)
        self.live_hosts = SimpleNamespace(
            all_relinquished=lambda group, revision: True,
            find_acknowledged_position=lambda group, revision: self.acknowledged,
            describe_reports=lambda group, revision: {},
        )
        self.writers = SimpleNamespace(
            find_limit=lambda group, revision: self.limit,
            find_unreported=lambda group, revision: [],
        )
        self.choice = SuccessorChoice(
            self.state,
            self.control,
            self.live_hosts,
            self.writers,
            SimpleNamespace(find=lambda group: Membership()),
            self.wait_relinquished,
            AsyncMock(side_effect=lambda revision: self.is_holder),
        )
        self.is_holder = True
        self.commands = []

    async def wait_relinquished(self, revision):
        self.commands.append("relinquished")
        return True

    async def fetch_reports(self, entries, patience_s=None):
        return self.reports

    async def fence_all(self, entries, term):
        self.commands.append("fenced")
        return self.fenced

    async def choose(self):
        return await self.choice.run(RECORD, 5, self.reports, set())

    async def test_the_log_end_counts_where_hosts_saw_less_acknowledged(
        self,
    ):
        # The hosts had read answers up to 7; the primary acknowledged 8 and 9, which
        # the other replica had confirmed, before it stepped down.
        self.limit = Position(1, 7)
        self.fenced = {"near": make_report(False, 7, 2)}
        found = await self.choose()
        self.assertIsNone(found.instance, found.reason)

    async def test_the_end_of_the_log_is_enough_without_the_reports_of_hosts(self):
        self.limit = None
        self.assertEqual((await self.choose()).instance, "near")

    async def test_an_old_primary_that_started_again_empty_gives_no_limit(self):
        # Its registration still shows the run before. Its empty log let a replica be
        # promoted that lacks what the silent one had confirmed.
        self.limit = None
        self.acknowledged = Position(1, 7)
        self.reports["old"] = make_report(False, 0)
        self.control.step_down.return_value = InstanceReport(
            False, 0, ORIGIN, 0, 0.0, 0, 1
        )
        found = await self.choose()
        self.assertIsNone(found.instance, found.reason)

    async def test_a_primary_cut_off_from_its_replicas_is_stopped(self):
        # Its commits reach no replica and stay unanswered, so that no limit is known.
        # All replicas answer, and one of them holds what was acknowledged.
        self.limit = None
        self.reports = {
            "old": make_report(True, 12),
            "near": make_report(False, 9),
            "far": make_report(False, 8),
        }
        self.control.step_down.return_value = make_report(False, 12)
        self.fenced = {
            "near": make_report(False, 9, 2),
            "far": make_report(False, 8, 2),
        }
        self.assertEqual((await self.choose()).instance, "near")

    async def test_a_primary_that_alone_holds_the_commits_is_not_stopped(self):
        self.limit = None
        self.reports = {"old": make_report(True, 12), "near": make_report(False, 9)}
        self.assertEqual((await self.choose()).instance, "old")
        self.control.step_down.assert_not_awaited()

    async def test_replicas_are_fenced_once_all_hosts_have_relinquished(self):
        # The holder of an earlier claim may end a fence until it has relinquished.
        await self.choose()
        self.assertEqual(self.commands, ["relinquished", "fenced"])

    async def test_fences_stay_while_the_old_primary_does_not_answer(self):
        # It may still run. A holder that was suspended ended the fences of a later
        # one, and a replica confirmed commits that the successor lacks.
        del self.reports["old"]
        self.limit = None
        self.assertIsNone((await self.choose()).instance)
        self.control.resume.assert_not_awaited()

    async def test_fences_end_for_a_primary_that_answers_again(self):
        self.reports["near"] = make_report(False, 7, 2)
        await self.choose()
        self.control.resume.assert_awaited_once_with(self.state.entries["near"])

    async def test_a_holder_that_was_taken_over_ends_no_fence(self):
        self.reports["near"] = make_report(False, 7, 2)
        self.is_holder = False
        await self.choose()
        self.control.resume.assert_not_awaited()
