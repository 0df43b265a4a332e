import asyncio
import unittest
from types import SimpleNamespace
from unittest.mock import AsyncMock

from msgspec import structs

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import (
    GroupRecord,
    GroupSettings,
    Member,
    Phase,
)
from wasabipitch.group.replacement import (
    Replacement,
    find_later_leader,
    find_restarted_primary,
)
from wasabipitch.group.state import GroupState
from wasabipitch.models import Position
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.policy.recovery import VERIFY_AFTER_S
from wasabipitch.policy.succession import Choice
from wasabipitch.wire.messages import InstanceReport

ASKED = frozenset({Member("third", 1)})
RECORD = GroupRecord(Phase.CHANGING, "second", 1, 2, "holder")


def report(is_primary, term, index=9):
    return InstanceReport(is_primary, term, Position(term, index), 0, 0.0, 0, 1)


class FindLaterLeaderTest(unittest.TestCase):
    def test_primary_of_an_earlier_term_is_no_later_leader(self):
        # The first primary is cut off from its replicas and still reports itself
        # primary at term 1. The second one is too busy to report. The first must not
        # count as its successor. The fault was found in the Wheelcraft run trouble-1
        # with seed 830042208225.
        reports = {"first": report(True, 1), "third": report(False, 2)}
        self.assertIsNone(find_later_leader(RECORD, reports))

    def test_instance_promoted_at_a_later_term_is_the_leader(self):
        reports = {"second": report(True, 2), "third": report(True, 3)}
        self.assertEqual(find_later_leader(RECORD, reports), "third")
        del reports["second"]
        self.assertEqual(find_later_leader(RECORD, reports), "third")

    def test_primary_of_the_record_is_no_later_leader(self):
        self.assertIsNone(find_later_leader(RECORD, {"second": report(True, 4)}))


class FindRestartedPrimaryTest(unittest.TestCase):
    def test_a_primary_that_restarted_under_another_name_leads_on(self):
        reports = {"fourth": report(True, 2), "third": report(False, 2)}
        self.assertEqual(find_restarted_primary(RECORD, reports), "fourth")

    def test_a_leader_of_the_same_term_that_lacks_commits_is_no_leader(self):
        # It has started again with no or with an older log.
        reports = {"fourth": report(True, 2, 8), "third": report(False, 2, 9)}
        self.assertIsNone(find_restarted_primary(RECORD, reports))
        record = structs.replace(RECORD, start=Position(2, 10))
        self.assertIsNone(
            find_restarted_primary(record, {"fourth": report(True, 2, 9)})
        )

    def test_a_primary_that_answers_under_its_name_has_not_restarted(self):
        reports = {"second": report(False, 2), "fourth": report(True, 2)}
        self.assertIsNone(find_restarted_primary(RECORD, reports))
        unknown = structs.replace(RECORD, term=0)
        self.assertIsNone(find_restarted_primary(unknown, {"fourth": report(True, 0)}))


class RetainedPrimaryTest(unittest.IsolatedAsyncioTestCase):
    """The old primary is to lead on after another host may have replaced it.

    An order of the former holder that took effect later promoted a replica that
    lacked the commits which the old primary had acknowledged since.
    """

    def setUp(self):
        self.state = GroupState(
            GroupSettings("ledger", 16, 1), lambda: 0.0, DecisionLog("host")
        )
        self.state.set_record(RECORD, 9)
        self.replacement = Replacement(
            self.state, None, None, None, None, DecisionLog("host"), *[None] * 4
        )
        self.replacement._choice.run = AsyncMock(return_value=Choice("second", ""))
        self.replacement._fetch_reports = AsyncMock(return_value={})
        self.replacement._establish = AsyncMock(return_value=RECORD)

    async def test_it_leads_on_once_earlier_orders_have_taken_effect(self):
        self.assertIsNone(await self.replacement._attempt(RECORD, 9))
        self.state.record_since_s -= VERIFY_AFTER_S
        self.assertEqual(await self.replacement._attempt(RECORD, 9), RECORD)

    async def test_it_leads_on_at_once_if_no_promotion_was_ordered(self):
        record = structs.replace(RECORD, may_have_orders=False)
        self.assertEqual(await self.replacement._attempt(record, 9), RECORD)

    async def test_an_order_of_this_host_is_waited_for(self):
        record = structs.replace(RECORD, may_have_orders=False)
        self.replacement._ordered_at_s = now_s()
        self.assertIsNone(await self.replacement._attempt(record, 9))
        self.replacement._ordered_at_s -= VERIFY_AFTER_S
        self.assertEqual(await self.replacement._attempt(record, 9), RECORD)

    async def test_a_silent_instance_may_have_been_promoted_before(self):
        self.state.record_since_s -= VERIFY_AFTER_S
        self.state.entries = {"third": SimpleNamespace(name="third", born_ms=1)}
        self.assertIsNone(await self.replacement._attempt(RECORD, 9))
        self.replacement._fetch_reports.return_value = {"third": report(False, 2)}
        self.assertEqual(await self.replacement._attempt(RECORD, 9), RECORD)


class PromoteTest(unittest.IsolatedAsyncioTestCase):
    def make_replacement(self, check, promote):
        self.state = GroupState(
            GroupSettings("ledger", 16, 1), lambda: 0.0, DecisionLog("host")
        )
        self.state.set_record(RECORD, 9)
        self.register("third", 1)
        return Replacement(
            self.state,
            None,
            SimpleNamespace(promote=promote),
            SimpleNamespace(check=check, is_current=lambda revision: True),
            None,
            DecisionLog("host"),
            "holder",
            None,
            None,
            None,
        )

    def register(self, name, born_ms):
        self.state.entries = {name: SimpleNamespace(name=name, born_ms=born_ms)}

    async def test_a_promotion_follows_a_read_of_the_store_by_this_host(self):
        # A read that hosts share may be older than another host's claim. A holder that
        # had been suspended then promoted after it, under a lower token.
        checks, orders = [], []

        async def check(shared=True):
            checks.append(shared)
            return not shared

        async def promote(*order):
            orders.append(order)

        replacement = self.make_replacement(check, promote)
        async with asyncio.timeout(2):
            self.assertTrue(await replacement._promote("third", 9, ASKED))
        self.assertEqual(checks, [False])
        self.assertEqual(orders, [("ledger", "third", "holder", 9)])

    async def test_none_is_promoted_beside_an_instance_that_was_not_asked(self):
        # It has registered since the choice, is not fenced, and may confirm commits of
        # the old primary that the chosen one lacks.
        orders = []

        async def check(shared=True):
            fourth = SimpleNamespace(name="fourth", born_ms=1)
            self.state.entries = {**self.state.entries, "fourth": fourth}
            return True

        async def promote(*order):
            orders.append(order)

        replacement = self.make_replacement(check, promote)
        async with asyncio.timeout(2):
            self.assertFalse(await replacement._promote("third", 9, ASKED))
        self.assertEqual(orders, [])

    async def test_an_instance_that_starts_again_empty_is_not_promoted(self):
        # It was chosen for its log, and restarted while the store was silent.
        orders = []

        async def check(shared=True):
            self.register("third", 2)
            return True

        async def promote(*order):
            orders.append(order)

        replacement = self.make_replacement(check, promote)
        async with asyncio.timeout(2):
            self.assertFalse(await replacement._promote("third", 9, ASKED))
        self.assertEqual(orders, [])
