"""Accounting of what callers' connections hold."""

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from tests.wasabipitch.wire.test_lines import Transport
from wasabipitch.front.budget import MemoryBudget
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.operations.measures import Measures
from wasabipitch.policy.memory_budget import (
    MIB,
    SMALL_BYTES,
    STALLED_CHECKS,
    MemoryPlan,
)

LARGE = b"x" * MIB


class BudgetTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.measures = Measures()
        self.decisions = DecisionLog("host-1", None, self.measures)

    def make(self, budget_bytes=8 * MIB, connections=0):
        plan = MemoryPlan(budget_bytes, 0, connections)
        return MemoryBudget(plan, self.decisions, self.measures)

    def open(self, budget):
        memory = budget.open()
        transport = Transport()
        memory.stream.connection_made(transport)
        return memory, transport

    def count(self, name):
        return {
            dict(labels)["reason"]: value
            for labels, value in self.measures.counters.get(name, {}).items()
        }

    async def test_halves_of_messages_are_closed_beyond_the_budget(self):
        budget = self.make()
        opened = [self.open(budget) for _ in range(12)]
        for memory, _ in opened:
            memory.stream.data_received(LARGE)
            self.assertLessEqual(budget.used, 8 * MIB)
        closed = sum(transport.aborted for _, transport in opened)
        self.assertEqual(closed, 4)
        self.assertEqual(self.count("connections_closed"), {"memory": 4})

    async def test_small_messages_are_not_counted(self):
        budget = self.make()
        memory, _ = self.open(budget)
        memory.stream.data_received(b"x" * (SMALL_BYTES - 1))
        self.assertEqual(budget.used, 0)
        memory.stream.data_received(b"x")
        self.assertEqual(budget.used, SMALL_BYTES)

    async def test_a_connection_that_ends_frees_its_bytes(self):
        budget = self.make()
        memory, _ = self.open(budget)
        memory.stream.data_received(LARGE)
        memory.keep(MIB)
        self.assertEqual(budget.used, 2 * MIB)
        memory.stream.connection_lost(None)
        memory.stream.connection_lost(None)
        self.assertEqual(budget.used, 0)
        memory.keep(MIB)
        self.assertEqual(budget.used, 0)

    async def test_a_line_that_is_read_frees_its_bytes(self):
        budget = self.make()
        memory, _ = self.open(budget)
        memory.stream.data_received(LARGE + b"\r\n")
        self.assertEqual(budget.used, MIB + 2)
        await memory.stream.read_line()
        self.assertEqual(budget.used, 0)

    async def test_answers_that_are_not_sent_are_counted(self):
        budget = self.make()
        memory, transport = self.open(budget)
        transport.unsent = 2 * MIB
        memory.stream.pause_writing()
        self.assertEqual(budget.used, 2 * MIB)
        transport.unsent = 0
        memory.stream.resume_writing()
        self.assertEqual(budget.used, 0)

    async def test_large_statements_wait_for_memory_in_their_order(self):
        budget = self.make(16 * MIB)
        (first, _), (second, _), (third, _) = (self.open(budget) for _ in range(3))
        self.assertTrue(await first.begin_statement(MIB))
        self.assertTrue(await second.begin_statement(MIB))
        task = asyncio.create_task(third.begin_statement(MIB))
        await asyncio.sleep(0)
        self.assertFalse(task.done())
        self.assertEqual(budget.used, 9 * MIB)
        first.end_statement()
        self.assertTrue(await task)
        self.assertEqual(budget.used, 8 * MIB)
        second.end_statement()
        third.end_statement()
        self.assertEqual(budget.used, 0)

    async def test_a_statement_without_memory_is_refused(self):
        budget = self.make()
        (first, _), (second, _) = self.open(budget), self.open(budget)
        self.assertTrue(await first.begin_statement(MIB + MIB // 2))
        self.assertFalse(await second.begin_statement(MIB))
        self.assertEqual(self.count("statements_refused"), {"memory": 1})
        first.end_statement()
        self.assertEqual(budget.used, 0)

    async def test_a_cancelled_wait_frees_what_it_was_given(self):
        budget = self.make()
        (first, _), (second, _) = self.open(budget), self.open(budget)
        self.assertTrue(await first.begin_statement(2 * MIB))
        for ends_first in (True, False):
            task = asyncio.create_task(second.begin_statement(MIB))
            await asyncio.sleep(0)
            if ends_first:
                first.end_statement()
            task.cancel()
            await asyncio.wait([task])
            self.assertTrue(task.cancelled())
            if ends_first:
                self.assertEqual(budget.used, 0)
                self.assertTrue(await first.begin_statement(2 * MIB))
        first.end_statement()
        self.assertEqual(budget.used, 0)

    async def test_a_connection_closed_while_it_waits_runs_nothing(self):
        budget = self.make()
        (first, _), (second, _) = self.open(budget), self.open(budget)
        self.assertTrue(await first.begin_statement(MIB + MIB // 2))
        task = asyncio.create_task(second.begin_statement(MIB))
        await asyncio.sleep(0)
        second.stream.connection_lost(None)
        first.end_statement()
        self.assertFalse(await task)
        self.assertEqual(budget.used, 0)

    async def test_connections_beyond_the_bound(self):
        budget = self.make(connections=2)
        (old, old_transport), (used, used_transport) = (
            self.open(budget) for _ in range(2)
        )
        # Both have just been opened, so that their startup may be under way.
        self.assertIsNone(budget.open())
        self.assertEqual(self.count("connections_refused"), {"too many connections": 1})
        old.opened_at_s -= 10
        used.opened_at_s -= 20
        used.used = True
        self.assertIsNotNone(budget.open())
        self.assertTrue(old_transport.aborted)
        self.assertFalse(used_transport.aborted)
        self.assertIsNone(budget.open())

    async def test_half_a_message_without_progress_is_closed(self):
        budget = self.make()
        memory, transport = self.open(budget)
        reading = asyncio.create_task(memory.stream.read_line())
        await asyncio.sleep(0)
        memory.stream.data_received(b"QUERY 1 ")
        await asyncio.sleep(0)
        for _ in range(STALLED_CHECKS):
            budget.check_progress()
        self.assertFalse(transport.aborted)
        budget.check_progress()
        self.assertTrue(transport.aborted)
        self.assertEqual(self.count("connections_closed"), {"half a message": 1})
        memory.stream.connection_lost(None)
        self.assertIsNone(await reading)

    async def test_an_idle_session_and_a_slow_statement_are_kept(self):
        budget = self.make()
        idle, idle_transport = self.open(budget)
        reading = asyncio.create_task(idle.stream.read_line())
        running, running_transport = self.open(budget)
        running.stream.data_received(b"QUERY 1 READ a\r\nQUERY 2")
        await running.stream.read_line()
        for _ in range(10 * STALLED_CHECKS):
            budget.check_progress()
        self.assertFalse(idle_transport.aborted or running_transport.aborted)
        reading.cancel()

    async def test_reading_stops_while_a_statement_runs(self):
        budget = self.make()
        memory, transport = self.open(budget)
        reading = asyncio.create_task(memory.stream.read_line())
        await asyncio.sleep(0)
        memory.stream.data_received(b"QUERY 1 READ a\r\n")
        await reading
        memory.stream.data_received(b"x" * (SMALL_BYTES - 1))
        self.assertFalse(transport.paused)
        memory.stream.data_received(b"x")
        self.assertTrue(transport.paused)
        reading = asyncio.create_task(memory.stream.read_line())
        await asyncio.sleep(0)
        self.assertFalse(transport.paused)
        # The rest of a message that is awaited is read whatever its size.
        memory.stream.data_received(LARGE)
        self.assertFalse(transport.paused)
        reading.cancel()

    async def test_without_limits_nothing_is_closed(self):
        budget = self.make(budget_bytes=0)
        opened = [self.open(budget) for _ in range(20)]
        for memory, _ in opened:
            memory.stream.data_received(LARGE)
            self.assertTrue(await memory.begin_statement(MIB))
        self.assertFalse(any(transport.aborted for _, transport in opened))


STEPS = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.sampled_from(["receive", "end line", "read", "keep", "unsent", "lose"]),
        st.integers(1, 3 * SMALL_BYTES),
    )
)


class AnyStepsTests(unittest.TestCase):
    @given(STEPS)
    def test_the_sum_is_what_the_connections_hold(self, steps):
        # A sum that drifts would close ordinary callers, or no one, for ever.
        asyncio.run(self.play(steps))

    async def play(self, steps):
        measures = Measures()
        plan = MemoryPlan(6 * SMALL_BYTES)
        budget = MemoryBudget(plan, DecisionLog("host-1", None, measures), measures)
        opened = {}
        for number, step, size in steps:
            if number not in opened:
                opened[number] = budget.open(), Transport()
                opened[number][0].stream.connection_made(opened[number][1])
            memory, transport = opened[number]
            stream = memory.stream
            if transport.aborted or step == "lose":
                stream.connection_lost(None)
                del opened[number]
            elif step == "receive":
                stream.data_received(b"x" * size)
            elif step == "end line":
                stream.data_received(b"\r\n")
            elif step == "read" and stream.has_line:
                await stream.read_line()
            elif step == "keep":
                memory.keep(size)
            elif step == "unsent":
                transport.unsent = size
                stream.pause_writing()
            held = [m.held for m, t in opened.values() if not t.aborted]
            self.assertEqual(budget.used, sum(held))
            self.assertLessEqual(budget.used, plan.budget_bytes)
        for memory, _ in opened.values():
            memory.stream.connection_lost(None)
        self.assertEqual(budget.used, 0)
