import asyncio
import unittest
from types import SimpleNamespace
from unittest.mock import AsyncMock, patch

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
            self.state, None, None, None, None, DecisionLog("host"), *[None] * 5
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
        self.state.ordered_at_s = now_s()
        self.assertIsNone(await self.replacement._attempt(record, 9))
        self.state.ordered_at_s -= VERIFY_AFTER_S
        self.assertEqual(await self.replacement._attempt(record, 9), RECORD)

    async def test_an_order_of_a_replacement_that_the_store_interrupted_counts(self):
        # Its host could not write its report, and begins anew under the same claim.
        record = structs.replace(RECORD, may_have_orders=False)
        self.state.entries = {"third": SimpleNamespace(name="third", born_ms=1)}
        self.replacement._mirror = SimpleNamespace(
            check=AsyncMock(return_value=True),
            is_current=lambda revision: True,
            is_confirmed_within=lambda age_s: True,
        )
        self.replacement._promoter = SimpleNamespace(promote=AsyncMock())
        async with asyncio.timeout(2):
            self.assertTrue(await self.replacement._promote("third", 9, ASKED))
        again = Replacement(
            self.state, None, None, None, None, DecisionLog("host"), *[None] * 5
        )
        self.assertIsNone(await again._attempt(record, 9))

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
        self.confirmed_ages_s = [0.1] * 9
        self.report = AsyncMock()
        self.register("third", 1)
        return Replacement(
            self.state,
            None,
            SimpleNamespace(promote=promote),
            SimpleNamespace(
                check=check,
                is_current=lambda revision: True,
                is_confirmed_within=lambda age_s: self.confirmed_ages_s.pop(0) <= age_s,
            ),
            None,
            DecisionLog("host"),
            "holder",
            None,
            None,
            None,
            self.report,
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

    async def test_a_confirmation_that_has_aged_allows_no_promotion(self):
        # The machine was suspended between the store's answer and its arrival here, and
        # another host has promoted meanwhile.
        orders = []

        async def promote(*order):
            orders.append((order, list(self.confirmed_ages_s)))

        replacement = self.make_replacement(AsyncMock(return_value=True), promote)
        self.confirmed_ages_s = [30.0, 0.1]
        async with asyncio.timeout(2):
            self.assertTrue(await replacement._promote("third", 9, ASKED))
        self.assertEqual(orders, [(("ledger", "third", "holder", 9), [])])

    async def test_a_holder_that_was_taken_over_resumes_no_replica(self):
        # It saw its promotion take effect after another holder had fenced the replicas.
        check = AsyncMock()
        replacement = self.make_replacement(check, AsyncMock())
        control = replacement._control = SimpleNamespace(
            status=AsyncMock(return_value=report(True, 3)), resume=AsyncMock()
        )
        fourth = SimpleNamespace(name="fourth", born_ms=1)
        self.state.entries = {**self.state.entries, "fourth": fourth}
        self.confirmed_ages_s = [30.0, 30.0]
        await replacement._establish("third", 9)
        control.resume.assert_not_awaited()
        check.assert_awaited_with(shared=False)
        self.confirmed_ages_s = [0.1, 0.1]
        await replacement._establish("third", 9)
        control.resume.assert_awaited_once_with(fourth)
        self.state.set_record(structs.replace(RECORD, holder="other"), 10)
        self.assertIsNone(await replacement._establish("third", 9))

    async def test_the_holder_reports_again_while_it_finds_no_successor(self):
        # It had reported commits without an answer, and waited for its own report to
        # change until another host took over.
        replacement = self.make_replacement(AsyncMock(), AsyncMock())
        steady = structs.replace(RECORD, phase=Phase.STEADY)
        attempts = AsyncMock(side_effect=[None, None, steady])
        with (
            patch.object(replacement, "_attempt", attempts),
            patch("wasabipitch.group.replacement.RETRY_S", 0.01),
        ):
            self.assertEqual(await replacement.run(RECORD), steady)
        self.assertEqual(self.report.await_count, 3)
