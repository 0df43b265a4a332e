"""Accounts for the memory that callers' connections hold."""

import asyncio
from collections import deque
from itertools import count

import msgspec

from wasabipitch.clock import now_s
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.operations.listeners import ListenerLog
from wasabipitch.operations.measures import Gauge, Measures
from wasabipitch.policy.memory_budget import (
    ADMISSION_WAIT_S,
    CHECK_INTERVAL_S,
    MALFORMED,
    OUT_OF_MEMORY,
    SMALL_BYTES,
    STALLED_CHECKS,
    STATEMENT_COPIES,
    TOO_MANY,
    Closure,
    Holding,
    MemoryPlan,
    Newcomer,
    Progress,
    choose_closures,
    choose_replaced,
    find_stall,
    may_start,
)
from wasabipitch.wire.lines import LineStream


class ConnectionMemory:
    """What one caller's connection holds.

    Attributes:
        key: Identifies the connection within the budget.
        stream: The connection.
        opened_at_s: When it was accepted, in seconds of ``now_s``.
        started: Whether its startup message was read.
        used: Whether it has sent a statement.
        held: The bytes that are counted, without those of a statement that runs.
        kept: The bytes that the session keeps between statements.
        running: The bytes of the statement that runs, if they are counted.
        progress: How far the connection had come at the last check.

    Args:
        budget: The budget that the bytes are counted towards.
        key: Identifies the connection within the budget.
    """

    def __init__(self, budget: "MemoryBudget", key: int) -> None:
        self.key = key
        self.stream = LineStream(self, SMALL_BYTES)
        self.opened_at_s = now_s()
        self.started = False
        self.used = False
        self.held = 0
        self.kept = 0
        self.running = 0
        self.progress = Progress()
        self._budget = budget
        self._in_stream = 0
        self._message = 0

    def hold(self, size: int) -> None:
        """Set the bytes that were received and not handled, or written and not sent."""
        self._in_stream = size
        self._update()

    def keep(self, change: int) -> None:
        """Add to the bytes that the session keeps between statements."""
        self.kept += change
        self._update()

    async def begin_statement(self, size: int) -> bool:
        """Wait for the memory that a large statement needs while it runs.

        Returns:
            False if the memory did not become free in time, or the connection was
            closed meanwhile.
        """
        # The message itself is held until the statement ends.
        cost = STATEMENT_COPIES * (size + self.kept) - size
        self.keep(size)
        admitted = False
        try:
            admitted = await self._budget.admit(cost)
        finally:
            if not admitted:
                self.keep(-size)
        if not admitted:
            return False
        self.running, self._message = cost, size
        if not self._budget.is_open(self):
            self.end_statement()
            return False
        return True

    def end_statement(self) -> None:
        """Free the memory of the statement that has run."""
        cost, self.running = self.running, 0
        self.keep(-self._message)
        self._budget.release(cost)

    def close(self) -> None:
        """Free everything but the memory of a statement that still runs."""
        self._budget.remove(self)

    def _update(self) -> None:
        held = self._in_stream + self.kept
        if held < SMALL_BYTES:
            held = 0
        if held != self.held:
            self._budget.change(self, held)


class MemoryBudget:
    """Keeps what callers' connections hold within the host's memory.

    Args:
        plan: The limits.
        decisions: Logs the connections that are closed or refused.
        measures: Counts them.
    """

    def __init__(
        self, plan: MemoryPlan, decisions: DecisionLog, measures: Measures
    ) -> None:
        self.plan = plan
        self.used = 0
        self._decisions = decisions
        self._measures = measures
        self._log = ListenerLog("callers", decisions, measures)
        self._keys = count(1)
        # In the order in which the connections were opened.
        self._connections: dict[int, ConnectionMemory] = {}
        # The bytes of the large statements that run.
        self._running = 0
        self._waiting: deque[tuple[int, asyncio.Future[None]]] = deque()

    def open(self) -> ConnectionMemory | None:
        """Return the memory of a new connection, or None if there are too many."""
        limit = self.plan.connections
        if limit and len(self._connections) >= limit and not self._make_room():
            self._log.record_refused(TOO_MANY, connections=len(self._connections))
            return None
        memory = ConnectionMemory(self, next(self._keys))
        self._connections[memory.key] = memory
        return memory

    def is_open(self, memory: ConnectionMemory) -> bool:
        """Return whether the connection counts towards the budget."""
        return memory.key in self._connections

    def change(self, memory: ConnectionMemory, held: int) -> None:
        """Count a connection's bytes anew, and close connections if it is too much."""
        if not self.is_open(memory):
            return
        grown = held - memory.held
        memory.held = held
        self.used += grown
        if grown > 0:
            self._enforce()
        else:
            self._admit_waiting()

    def remove(self, memory: ConnectionMemory) -> None:
        """Forget a connection that has ended."""
        if self._connections.pop(memory.key, None) is not None:
            self.used -= memory.held
            memory.held = 0
            self._admit_waiting()

    async def admit(self, cost: int) -> bool:
        """Take memory for a large statement, and wait for it if necessary.

        Returns:
            False if the memory did not become free in time.
        """
        if not self._waiting and self._fits(cost):
            self._take(cost)
            return True
        fut = asyncio.get_running_loop().create_future()
        entry = (cost, fut)
        self._waiting.append(entry)
        try:
            async with asyncio.timeout(ADMISSION_WAIT_S):
                await fut
        except TimeoutError:
            if entry in self._waiting:
                self._waiting.remove(entry)
                self._record_refusal(cost)
                return False
        except asyncio.CancelledError:
            if entry in self._waiting:
                self._waiting.remove(entry)
            else:
                self.release(cost)
            raise
        return True

    def release(self, cost: int) -> None:
        """Return the memory of a statement that was admitted."""
        self._running -= cost
        self.used -= cost
        self._admit_waiting()

    def check_progress(self) -> None:
        """Close the connections that have made no progress for several checks."""
        for memory in list(self._connections.values()):
            stream, before = memory.stream, memory.progress
            now = Progress(stream.awaits_rest, stream.received, stream.unsent)
            reason = find_stall(before, now)
            stalled = before.stalled + 1 if reason else 0
            memory.progress = msgspec.structs.replace(now, stalled=stalled)
            if stalled >= STALLED_CHECKS:
                self._close(Closure(memory.key, reason, stream.unread + now.unsent))

    async def run(self) -> None:
        """Check the connections' progress until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check_progress()

    def record_malformed(self) -> None:
        """Count and log a connection that is closed for a malformed message.

        Nothing of the message is logged, since it may contain a caller's key.
        """
        self._log.record_closed(MALFORMED)

    def read_gauges(self) -> list[Gauge]:
        """Return the gauges of the budget."""
        return [
            Gauge("connections", (), len(self._connections)),
            Gauge("memory_budget_bytes", (), self.plan.budget_bytes),
            Gauge("memory_used_bytes", (), self.used),
        ]

    def _fits(self, cost: int) -> bool:
        return may_start(cost, self._running, self.plan.budget_bytes)

    def _take(self, cost: int) -> None:
        self._running += cost
        self.used += cost
        self._enforce()

    def _admit_waiting(self) -> None:
        while self._waiting and self._fits(self._waiting[0][0]):
            cost, fut = self._waiting.popleft()
            if fut.done():
                # Its waiter is cancelled, and returns what it was given.
                self._waiting.appendleft((cost, fut))
                return
            self._take(cost)
            fut.set_result(None)

    def _enforce(self) -> None:
        excess = self.used - self.plan.budget_bytes
        if not self.plan.budget_bytes or excess <= 0:
            return
        holdings = [
            Holding(memory.key, memory.held, memory.running > 0)
            for memory in self._connections.values()
        ]
        for closure in choose_closures(holdings, excess):
            self._close(closure)

    def _make_room(self) -> bool:
        at_s = now_s()
        newcomers = [
            Newcomer(memory.key, at_s - memory.opened_at_s, memory.started)
            for memory in self._connections.values()
            if not memory.used
        ]
        closure = choose_replaced(newcomers)
        if closure is None:
            return False
        self._close(closure)
        return True

    def _close(self, closure: Closure) -> None:
        memory = self._connections.get(closure.key)
        if memory is None:
            return
        self._log.record_closed(closure.reason, size=closure.size, used=self.used)
        memory.close()
        memory.stream.discard()

    def _record_refusal(self, cost: int) -> None:
        self._measures.count("statements_refused", reason=OUT_OF_MEMORY)
        self._decisions.limited(
            "statement refused", reason=OUT_OF_MEMORY, size=cost, used=self.used
        )
