import random
import unittest

from soak.judge import LOST, LOWER_TOKEN, OLD_PRIMARY, Order, PromotionJudge
from soak.judged_group import JudgedGroup
from standins.line_group import Entry
from wasabipitch.exceptions import PromotionRefused


def make_log(*terms):
    return [
        Entry(term, n, (("x", f"{n}.w"),), "") for n, term in enumerate(terms, start=1)
    ]


class JudgeCase(unittest.TestCase):
    def setUp(self):
        self.judge = PromotionJudge("alpha")

    def acknowledge(self, *entries, at_s=10.0):
        for entry in entries:
            self.judge.record_acknowledged(entry, at_s, "alpha-0")

    def promote(self, log, others=(), token=5, term=2, at_s=11.0):
        order = Order("alpha-1", "host-1", token, at_s)
        self.judge.record_order(order)
        logs = {"alpha-1": log, **dict(others)}
        self.judge.record_promotion(order, term, at_s + 0.3, log, logs)

    def broken_promises(self):
        return [violation.promise for violation in self.judge.violations]


class LostCommitTest(JudgeCase):
    # A promoted log that lacks an acknowledged commit, which another instance holds.
    def test_a_commit_that_another_replica_holds_is_lost(self):
        log = make_log(1, 1)
        self.acknowledge(*log)
        self.promote(log[:1], {"alpha-2": log})
        self.assertEqual(self.broken_promises(), [LOST])
        detail = self.judge.violations[0].detail
        for part in ("1.2 (2.w)", "1.000 s before the order", "held by ['alpha-2']"):
            self.assertIn(part, detail)

    def test_a_log_with_every_acknowledged_commit_is_valid(self):
        log = make_log(1, 1)
        self.acknowledge(*log)
        self.promote(log)
        self.assertEqual(self.broken_promises(), [])

    def test_a_commit_that_was_not_acknowledged_may_be_missing(self):
        log = make_log(1, 1)
        self.acknowledge(log[0])
        self.promote(log[:1], {"alpha-0": log})
        self.assertEqual(self.broken_promises(), [])

    # The order was given before the commit, which the old primary still acknowledged.
    def test_a_commit_between_the_order_and_its_effect_is_lost(self):
        log = make_log(1, 1)
        self.acknowledge(log[0])
        self.acknowledge(log[1], at_s=11.2)
        self.promote(log[:1], {"alpha-2": log})
        self.assertEqual(self.broken_promises(), [LOST])
        self.assertIn("0.200 s after the order", self.judge.violations[0].detail)

    # The same position of another term is another commit.
    def test_a_commit_of_another_term_at_the_position_does_not_replace_it(self):
        log = make_log(1, 1)
        self.acknowledge(*log)
        self.promote([log[0], *make_log(1, 2)[1:]], term=3)
        self.assertEqual(self.broken_promises(), [LOST])

    def test_a_lost_commit_is_reported_once(self):
        log = make_log(1, 1)
        self.acknowledge(*log)
        self.promote(log[:1])
        self.promote(log[:1], token=6, term=3, at_s=20.0)
        self.assertEqual(self.broken_promises(), [LOST])


class FencingTokenTest(JudgeCase):
    def test_an_order_with_a_lower_token_is_reported(self):
        self.promote([])
        self.promote([], token=5, term=3)
        self.assertEqual(self.broken_promises(), [])
        self.promote([], token=4, term=4)
        self.assertEqual(self.broken_promises(), [LOWER_TOKEN])


class OldPrimaryTest(JudgeCase):
    # A caller is told the success of a commit that a promotion has replaced.
    def test_a_commit_at_an_old_primary_may_not_be_told_to_its_caller(self):
        self.promote([])
        self.acknowledge(*make_log(1), at_s=12.0)
        self.judge.check_late_commits({"2.w": "acknowledged to w/1"})
        self.assertEqual(self.broken_promises(), [])
        self.judge.check_late_commits({"1.w": "acknowledged to w/1"})
        self.assertEqual(self.broken_promises(), [OLD_PRIMARY])

    def test_a_commit_in_the_new_term_is_valid(self):
        self.promote([])
        self.acknowledge(*make_log(2), at_s=12.0)
        self.judge.check_late_commits({"1.w": "acknowledged to w/1"})
        self.assertEqual(self.broken_promises(), [])


class JudgedGroupTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.group = JudgedGroup("alpha", random.Random(1))
        self.group.promotion_delay_s = 0.0
        await self.group.start()
        self.addAsyncCleanup(self.group.stop)
        self.primary, self.deaf, self.other = self.group.instances.values()

    async def commit(self, data):
        await self.primary._commit("1", [("x", data)])

    # The commit reached one replica only, and the other one is promoted.
    async def test_promoting_a_replica_that_received_nothing_loses_commits(self):
        await self.commit("1.w")
        self.group._send_missing(self.primary, self.deaf)
        self.deaf.replication_blocked = True
        await self.commit("2.w")
        self.assertIs(self.group.find_confirmer(), self.other)
        self.group._lead(self.deaf, Order(self.deaf.name, "host-1", 1, 0.0))
        self.assertEqual([v.promise for v in self.group.judge.violations], [LOST])

    async def test_promoting_the_replica_that_confirmed_loses_nothing(self):
        self.deaf.replication_blocked = True
        await self.commit("1.w")
        self.group._lead(self.other, Order(self.other.name, "host-1", 1, 0.0))
        self.assertEqual(self.group.judge.violations, [])
        self.assertTrue(self.other.is_primary)

    async def test_no_commit_is_acknowledged_without_a_replica(self):
        self.deaf.go_dark()
        self.other.go_dark()
        entry = Entry(1, 1, (("x", "1.w"),), "")
        self.assertFalse(self.group.replicate(self.primary, entry))

    async def test_a_dark_instance_cannot_be_promoted(self):
        self.deaf.go_dark()
        with self.assertRaises(PromotionRefused):
            await self.group.promote("alpha", self.deaf.name, "host-1", 1)

    async def test_a_replaced_primary_comes_back_as_a_replica(self):
        await self.commit("1.w")
        self.primary.go_dark()
        self.group._lead(self.other, Order(self.other.name, "host-1", 1, 0.0))
        self.primary.wake()
        self.assertFalse(self.primary.is_primary)
