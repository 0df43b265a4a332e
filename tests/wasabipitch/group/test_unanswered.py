import asyncio
import unittest
from unittest.mock import patch

from wasabipitch.exceptions import InstanceLost
from wasabipitch.group.unanswered import STATEMENT_END_S, UnansweredCommits
from wasabipitch.models import Position
from wasabipitch.wire.messages import Code, Failure, Reply


class UnansweredCommitsTest(unittest.IsolatedAsyncioTestCase):
    """A commit counts as unanswered until its outcome is known."""

    def setUp(self):
        self.at_s = 100.0
        self.enterContext(
            patch("wasabipitch.group.unanswered.now_s", lambda: self.at_s)
        )
        self.acknowledged = []
        self.unanswered = UnansweredCommits(self.acknowledged.append)

    async def commit(self, reply=None, failure=None):
        fut = asyncio.get_running_loop().create_future()
        self.unanswered.watch(fut)
        self.assertFalse(self.unanswered.is_empty)
        if failure is not None:
            fut.set_exception(failure)
        else:
            fut.set_result(reply)
        await asyncio.sleep(0)

    async def refuse(self, code):
        await self.commit(Reply(failure=Failure(code, b"")))

    async def acknowledge(self, index):
        await self.commit(Reply(position=Position(1, index)))

    async def test_an_acknowledged_commit_is_answered(self):
        await self.acknowledge(7)
        self.assertTrue(self.unanswered.is_empty)
        self.assertEqual(self.acknowledged, [Position(1, 7)])

    async def test_a_commit_that_did_not_run_is_answered(self):
        # An execution whose preparation was refused fails with NO_STATEMENT.
        for code in (Code.BUSY, Code.READ_ONLY, Code.NO_STATEMENT):
            with self.subTest(code=code):
                await self.refuse(code)
                self.assertTrue(self.unanswered.is_empty)

    async def test_a_commit_that_failed_as_it_ran_may_be_acknowledged(self):
        await self.refuse(Code.FAILED)
        self.assertFalse(self.unanswered.is_empty)

    async def test_a_lost_connection_counts_until_a_later_commit_is_acknowledged(self):
        await self.commit(failure=InstanceLost("closed"))
        self.at_s += STATEMENT_END_S - 0.1
        await self.acknowledge(8)
        self.assertFalse(self.unanswered.is_empty)
        self.at_s += 0.1
        await self.acknowledge(9)
        self.assertTrue(self.unanswered.is_empty)

    async def test_a_commit_on_a_closed_connection_was_not_sent(self):
        fut = asyncio.get_running_loop().create_future()
        fut.set_exception(InstanceLost("closed"))
        self.unanswered.watch(fut)
        await asyncio.sleep(0)
        self.assertTrue(self.unanswered.is_empty)

    async def test_an_answer_of_a_replaced_primary_counts_no_more(self):
        # Its position may be in no log, and no successor would ever hold it.
        answered, lost = (asyncio.get_running_loop().create_future() for _ in "ab")
        self.unanswered.watch(answered)
        self.unanswered.watch(lost)
        self.unanswered.clear()
        answered.set_result(Reply(position=Position(1, 9)))
        lost.set_exception(InstanceLost("closed"))
        await asyncio.sleep(0)
        self.assertTrue(self.unanswered.is_empty)
        self.assertEqual(self.acknowledged, [])
