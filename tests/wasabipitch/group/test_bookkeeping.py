import asyncio
import unittest
from types import SimpleNamespace
from unittest.mock import AsyncMock, patch

from standins.memory_store import MemoryStore
from wasabipitch.coordination.documents import (
    GROUPS_PREFIX,
    MEMBERS_PREFIX,
    WRITERS_PREFIX,
    GroupRecord,
    GroupSettings,
    Member,
    MembersRecord,
    Phase,
    WriterRecord,
    decode,
    encode,
)
from wasabipitch.coordination.members import GroupMembers
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.writers import CommitWriters
from wasabipitch.exceptions import InstanceLost
from wasabipitch.group.bookkeeping import SuccessionBookkeeping
from wasabipitch.group.state import GroupState
from wasabipitch.group.unanswered import STATEMENT_END_S
from wasabipitch.models import ORIGIN, Position
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.wire.messages import InstanceReport

GROUP = "ledger"
KEY = GROUPS_PREFIX + GROUP
WRITER = f"{WRITERS_PREFIX}{GROUP}/a.1"
RECORD = GroupRecord(Phase.STEADY, "i-0", 1, 3)


def make_entry(name, born_ms=1, leaving=False):
    return SimpleNamespace(name=name, born_ms=born_ms, leaving=leaving)


def report(is_primary, index, term=3):
    return InstanceReport(is_primary, term, Position(term, index), 0, 0.0, 0, 1)


class SuccessionBookkeepingTest(unittest.IsolatedAsyncioTestCase):
    """A host answers for another one that ended, whose knowledge is lost.

    It must have read the log of the present primary after the other one ended.
    """

    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.mirror = StoreMirror(self.store, DecisionLog("host"))
        self.live_hosts = SimpleNamespace(
            find_incarnation=lambda name: (f"{name}.2", 1 << 30),
            is_named=lambda name: True,
        )
        self.writers = CommitWriters(self.mirror, self.live_hosts)
        self.members = GroupMembers(self.mirror)
        self.state = GroupState(
            GroupSettings(GROUP, 16, 1), lambda: 0.0, DecisionLog("host")
        )
        self.store.put(KEY, encode(RECORD))
        self.store.put(WRITER, encode(WriterRecord()))
        self.members_key = MEMBERS_PREFIX + GROUP
        present = (Member("i-0", 1), Member("i-1", 1), Member("i-2", 1))
        self.store.put(self.members_key, encode(MembersRecord(present)))
        self.mirror._apply_all(self.store.items.values())
        self.state.set_record(RECORD, self.store.items[KEY].revision)
        self.enter(*(make_entry(f"i-{n}") for n in range(3)))
        self.reports = {"i-0": report(True, 9), "i-2": report(False, 9)}
        control = SimpleNamespace(
            status=AsyncMock(side_effect=lambda e: self.reports.get(e.name)),
            fetch_reports=AsyncMock(
                side_effect=lambda entries: {
                    e.name: self.reports[e.name]
                    for e in entries
                    if e.name in self.reports
                }
            ),
            close=lambda: None,
        )
        self.enterContext(
            patch("wasabipitch.group.bookkeeping.InstanceControl", return_value=control)
        )
        self.at_s = 100.0
        self.enterContext(
            patch("wasabipitch.group.bookkeeping.now_s", lambda: self.at_s)
        )
        self.bookkeeping = SuccessionBookkeeping(
            self.state,
            None,
            self.store,
            self.mirror,
            self.writers,
            self.members,
            DecisionLog("host"),
        )

    def enter(self, *entries):
        self.state.entries = {entry.name: entry for entry in entries}

    async def run_round(self):
        self.bookkeeping.find_work_since_s()
        self.at_s += STATEMENT_END_S
        self.bookkeeping.find_work_since_s()
        await self.bookkeeping.run(RECORD, self.state.record_revision)

    def read_members(self):
        record = decode(self.store.items[self.members_key].value, MembersRecord)
        return [(member.name, member.born_ms) for member in record.members]

    async def test_the_end_of_the_primarys_log_stands_for_what_the_host_knew(self):
        await self.run_round()
        self.assertNotIn(WRITER, self.store.items)
        self.assertEqual(self.state.covered, Position(3, 9))
        self.assertEqual(self.state.acknowledged, ORIGIN)
        self.assertEqual(self.writers.find_ended(GROUP), {})

    async def test_nobody_answers_for_it_while_its_statements_may_run(self):
        # A commit that it sent just before its end is not in the primary's log yet.
        self.bookkeeping.find_work_since_s()
        self.at_s += STATEMENT_END_S - 0.1
        await self.bookkeeping.run(RECORD, self.state.record_revision)
        self.assertIn(WRITER, self.store.items)
        self.assertEqual(self.state.covered, ORIGIN)
        self.at_s += 0.2
        self.bookkeeping.find_work_since_s()
        await self.bookkeeping.run(RECORD, self.state.record_revision)
        self.assertNotIn(WRITER, self.store.items)

    async def test_commits_that_wait_for_a_replica_are_in_the_end_that_is_read(self):
        self.state.samples.add(self.at_s + 60.0, Position(3, 7))
        await self.run_round()
        self.assertEqual(self.state.covered, Position(3, 9))

    async def test_nobody_answers_for_it_while_the_primary_is_silent(self):
        del self.reports["i-0"]
        await self.run_round()
        self.assertIn(WRITER, self.store.items)
        self.reports["i-0"] = report(False, 9)
        await self.run_round()
        self.assertIn(WRITER, self.store.items)

    async def test_nobody_answers_for_it_if_the_primary_is_replaced_meanwhile(self):
        self.store.put(KEY, encode(GroupRecord(Phase.CHANGING, "i-0", 1, 3, "b.1")))
        await self.run_round()
        self.assertIn(WRITER, self.store.items)

    async def test_nobody_answers_for_a_host_that_was_listed_again(self):
        self.store.put(WRITER, encode(WriterRecord()))
        await self.run_round()
        self.assertIn(WRITER, self.store.items)

    async def test_a_restarted_instance_is_another_member(self):
        self.enter(make_entry("i-0"), make_entry("i-1", born_ms=2), make_entry("i-2"))
        self.reports["i-2"] = report(False, 8)
        await self.run_round()
        everyone = [("i-0", 1), ("i-1", 1), ("i-1", 2), ("i-2", 1)]
        self.assertEqual(self.read_members(), everyone)
        self.reports["i-2"] = report(False, 9)
        await self.run_round()
        everyone.remove(("i-1", 1))
        self.assertEqual(self.read_members(), everyone)

    async def test_a_member_that_is_cut_off_from_the_store_only_is_not_dropped(self):
        # It goes on confirming commits, which the other replica may lack.
        self.bookkeeping.find_work_since_s()
        self.enter(make_entry("i-0"), make_entry("i-2"))
        self.reports["i-1"] = report(False, 9)
        await self.run_round()
        self.assertIn(("i-1", 1), self.read_members())
        del self.reports["i-1"]
        await self.run_round()
        self.assertNotIn(("i-1", 1), self.read_members())

    async def test_a_leaving_replica_is_no_reason_to_drop_a_member(self):
        self.enter(make_entry("i-0"), make_entry("i-2", leaving=True))
        await self.run_round()
        self.assertIn(("i-1", 1), self.read_members())

    async def test_the_end_of_an_earlier_primarys_log_is_cut(self):
        await self.run_round()
        successor = GroupRecord(Phase.STEADY, "i-2", 1, 4, start=Position(3, 8))
        self.state.set_record(successor, self.state.record_revision + 9)
        self.assertEqual(self.state.covered, Position(3, 8))

    async def lose_answer(self):
        fut = asyncio.get_running_loop().create_future()
        self.state.unanswered.watch(fut)
        fut.set_exception(InstanceLost("closed"))
        await asyncio.sleep(0)

    async def test_a_lost_answer_is_covered_by_a_log_end_that_is_read_later(self):
        # Without later writes the doubt would last, and with a silent replica no
        # successor could be chosen.
        with patch("wasabipitch.group.unanswered.now_s", lambda: self.at_s):
            await self.lose_answer()
            self.at_s += STATEMENT_END_S - 0.1
            self.assertFalse(self.state.unanswered.is_settleable)
            self.at_s += 0.1
            self.assertTrue(self.state.unanswered.is_settleable)
        await self.bookkeeping.settle(RECORD)
        self.assertTrue(self.state.unanswered.is_empty)
        self.assertEqual(self.state.covered, Position(3, 9))

    async def test_a_lost_answer_is_not_covered_while_the_primary_is_silent(self):
        del self.reports["i-0"]
        await self.lose_answer()
        await self.bookkeeping.settle(RECORD)
        self.assertFalse(self.state.unanswered.is_empty)

    async def test_there_is_no_work_once_all_is_written(self):
        self.assertIsNone(self.bookkeeping.find_work_since_s())
        self.at_s += STATEMENT_END_S
        self.assertIsNotNone(self.bookkeeping.find_work_since_s())
        await self.run_round()
        self.assertNotIn(WRITER, self.store.items)
        self.assertIsNone(self.bookkeeping.find_work_since_s())
