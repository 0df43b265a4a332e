"""Decisions on the memory that callers' connections hold."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from wasabipitch.policy.memory_budget import (
    HALF_MESSAGE,
    MIB,
    MIN_PROGRESS_BYTES,
    MIN_REPLACED_AGE_S,
    NEVER_USED,
    NO_STARTUP,
    OUT_OF_MEMORY,
    SMALL_BYTES,
    STATEMENT_COPIES,
    UNREAD_ANSWERS,
    Holding,
    MemoryPlan,
    Newcomer,
    Progress,
    choose_closures,
    choose_replaced,
    find_stall,
    make_plan,
    may_start,
)

# A message with the other fields of its line.
LARGEST = MIB + 1024
HOLDINGS = st.lists(st.tuples(st.integers(0, 2 * MIB), st.booleans()), max_size=30).map(
    lambda pairs: [Holding(key, *pair) for key, pair in enumerate(pairs)]
)


class PlanTests(unittest.TestCase):
    def test_without_limits_of_the_machine_there_are_none(self):
        self.assertEqual(make_plan(0, 0), MemoryPlan())

    @given(st.integers(1, 1 << 40))
    def test_the_largest_statement_is_served_with_any_memory(self, memory):
        # A host that refused it whatever its load would break the protocol.
        budget = make_plan(memory, 0).budget_bytes
        self.assertGreaterEqual(budget, STATEMENT_COPIES * LARGEST + LARGEST)

    def test_a_weak_host(self):
        # 152 MB: some 40 messages of 1 MiB may arrive at the same time.
        plan = make_plan(152 * MIB, 1024)
        self.assertEqual(plan.budget_bytes, 44 * MIB)
        self.assertEqual(plan.connections, 1024 - 341)
        self.assertLessEqual(plan.connections * 2 * plan.socket_bytes, 64 * MIB)

    @given(st.integers(1, 1 << 40))
    def test_the_budget_leaves_memory_for_the_process(self, memory):
        budget = make_plan(memory, 0).budget_bytes
        if memory >= 80 * MIB:
            self.assertLess(budget + 64 * MIB, memory + 1)

    @given(st.integers(3, 1 << 20))
    def test_callers_never_take_all_descriptors(self, descriptors):
        self.assertLess(make_plan(0, descriptors).connections, descriptors)


class ClosureTests(unittest.TestCase):
    def test_the_connection_that_holds_most_goes_first(self):
        holdings = [Holding(1, MIB), Holding(2, 3 * MIB), Holding(3, 2 * MIB)]
        closures = choose_closures(holdings, MIB)
        self.assertEqual([closure.key for closure in closures], [2])
        self.assertEqual(closures[0].reason, OUT_OF_MEMORY)

    def test_running_statements_go_last(self):
        holdings = [Holding(1, 3 * MIB, running=True), Holding(2, MIB)]
        keys = [closure.key for closure in choose_closures(holdings, 2 * MIB)]
        self.assertEqual(keys, [2, 1])

    @given(HOLDINGS, st.integers(0, 40 * MIB))
    def test_no_more_than_needed_and_no_ordinary_caller_is_closed(
        self, holdings, excess
    ):
        closures = choose_closures(holdings, excess)
        sizes = {holding.key: holding.size for holding in holdings}
        freed = [sizes[closure.key] for closure in closures]
        self.assertTrue(all(size >= SMALL_BYTES for size in freed))
        self.assertTrue(not freed or sum(freed[:-1]) < excess)
        large = sum(size for size in sizes.values() if size >= SMALL_BYTES)
        self.assertGreaterEqual(sum(freed), min(excess, large))


class AdmissionTests(unittest.TestCase):
    def test_one_large_statement_always_runs(self):
        self.assertTrue(may_start(9 * MIB, 0, 8 * MIB))

    def test_more_run_only_within_their_share(self):
        self.assertTrue(may_start(2 * MIB, 2 * MIB, 8 * MIB))
        self.assertFalse(may_start(2 * MIB, 2 * MIB + 1, 8 * MIB))

    def test_without_a_budget_all_run(self):
        self.assertTrue(may_start(4 * MIB, 1 << 40, 0))


class ReplacementTests(unittest.TestCase):
    def test_a_connection_without_a_startup_goes_first(self):
        newcomers = [Newcomer(1, 9.0, started=True), Newcomer(2, 5.0, started=False)]
        self.assertEqual(choose_replaced(newcomers).key, 2)
        self.assertEqual(choose_replaced(newcomers).reason, NO_STARTUP)

    def test_then_the_oldest_session_without_a_statement(self):
        newcomers = [Newcomer(3, 9.0, started=True), Newcomer(4, 5.0, started=True)]
        self.assertEqual(choose_replaced(newcomers).key, 3)
        self.assertEqual(choose_replaced(newcomers).reason, NEVER_USED)

    def test_a_connection_that_was_just_opened_is_kept(self):
        young = MIN_REPLACED_AGE_S / 2
        self.assertIsNone(choose_replaced([Newcomer(1, young, started=False)]))


class StallTests(unittest.TestCase):
    def test_a_message_that_stops_half_way(self):
        before = Progress(awaits_rest=True, received=5000)
        now = Progress(awaits_rest=True, received=5000 + MIN_PROGRESS_BYTES - 1)
        self.assertEqual(find_stall(before, now), HALF_MESSAGE)

    def test_a_message_over_a_slow_link_makes_progress(self):
        before = Progress(awaits_rest=True, received=5000)
        now = Progress(awaits_rest=True, received=5000 + MIN_PROGRESS_BYTES)
        self.assertEqual(find_stall(before, now), "")

    def test_an_idle_session_is_not_stalled(self):
        idle = Progress(received=5000)
        self.assertEqual(find_stall(idle, idle), "")

    def test_answers_that_are_not_read(self):
        before, now = Progress(unsent=90_000), Progress(unsent=90_000)
        self.assertEqual(find_stall(before, now), UNREAD_ANSWERS)
        self.assertEqual(find_stall(before, Progress(unsent=80_000)), "")
        self.assertEqual(find_stall(before, Progress()), "")
