"""A host's connections to one instance, and what it knows of that instance."""

import asyncio
from collections import deque
from collections.abc import Callable

from wasabipitch import tasks
from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import InstanceEntry
from wasabipitch.exceptions import (
    ConnectionRefused,
    InstanceLost,
    NoConnectionLeft,
    TargetDown,
    WrongInstance,
)
from wasabipitch.instances.connection import InstanceConnection, connect
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.policy.placement import FailureShare, LaggingBackoff, Slowness
from wasabipitch.policy.window import ConcurrencyWindow
from wasabipitch.wire.codecs import InstanceCodec
from wasabipitch.wire.messages import SessionState

MIN_RETRY_S = 0.05
MAX_RETRY_S = 0.5
# At its limit an instance stays so until somebody's connection ends.
LIMIT_RETRY_S = 0.1
# A host that has no connection to an instance gets one within a few tries.
OVERFLOW_PAUSE_S = 1.0
# Held at rest. After a loss of power instances keep the old connections for 3 s,
# so that what hosts hold at rest is missing when all of them return.
MIN_IDLE_CONNECTIONS = 1
# Connections beyond those are given back when idle for this long, or, beyond the
# host's own part, for the shorter time.
IDLE_TIMEOUT_S = 1.0
OVERFLOW_IDLE_TIMEOUT_S = 0.3
# A statement given up on keeps its connection until its answer, or for this long.
ABANDONED_TIMEOUT_S = 3.0


class InstancePool:
    """Opens, lends and takes back the connections to one instance.

    Args:
        entry: the instance's registration.
        on_change: called when a connection becomes free or the pool learns
            something that matters to those who wait.
        on_connection_limit: called with the instance's name when it refuses this host's
            only connection because others hold too many.
    """

    def __init__(
        self,
        entry: InstanceEntry,
        codec: InstanceCodec,
        decisions: DecisionLog,
        on_change: Callable[[], None],
        on_connection_limit: Callable[[str], None] = lambda _: None,
    ) -> None:
        self.entry = entry
        self.limit = 1
        self.overflow_limit = 1
        self.slowness = Slowness()
        self.lagging = LaggingBackoff()
        self.failures = FailureShare()
        self.window = ConcurrencyWindow(1)
        self.refused_at_s: float | None = None
        self.failing_since_s: float | None = None
        self.answered_at_s = 0.0
        self.silent_since_s: float | None = None
        self._codec = codec
        self._decisions = decisions
        self._on_change = on_change
        self._on_connection_limit = on_connection_limit
        self._overflow_paused_until_s = 0.0
        self._idle: deque[InstanceConnection] = deque()
        self._checked_out: set[InstanceConnection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._opening = 0
        self._retry_at_s = 0.0
        self._retry_s = MIN_RETRY_S
        self._closed = False

    @property
    def name(self) -> str:
        """The instance's."""
        return self.entry.name

    @property
    def open(self) -> int:
        """How many connections are open or being opened."""
        return len(self._idle) + len(self._checked_out) + self._opening

    @property
    def checked_out(self) -> int:
        """How many connections are in use."""
        return len(self._checked_out)

    @property
    def running(self) -> int:
        """How many statements of this host are at the instance."""
        return sum(conn.outstanding > 0 for conn in self._checked_out)

    @property
    def connections(self) -> list[InstanceConnection]:
        """All open connections."""
        return [*self._idle, *self._checked_out]

    def has_idle(self) -> bool:
        """Return whether a connection can be lent at once."""
        if self.running >= self.window.size:
            return False
        while self._idle and not self._idle[-1].is_clean:
            self._idle.pop().close()
        return bool(self._idle)

    def check_out(self) -> InstanceConnection:
        """Return an idle connection; ``has_idle`` has just said there is one."""
        conn = self._idle.pop()
        self._checked_out.add(conn)
        return conn

    def release(self, conn: InstanceConnection) -> None:
        """Take a connection back; one that isn't clean is cleaned or closed."""
        if conn not in self._checked_out:
            return
        if conn.is_open and not conn.is_clean and not self._closed:
            self._spawn(self._clean(conn))
            return
        self._return_to_pool(conn)

    def open_up_to(self, count: int) -> None:
        """Open connections in the background until that many are open."""
        if self._closed or now_s() < self._retry_at_s:
            return
        if now_s() < self._overflow_paused_until_s:
            count = min(count, self.limit)
        while self.open < count and not self._opening:
            self._opening += 1
            self._spawn(self._open())

    def close_idle(self) -> None:
        """Close connections that have been idle for long, or are broken."""
        at_s = now_s()
        for conn in [conn for conn in self._idle if not conn.is_clean]:
            self._idle.remove(conn)
            conn.close()
        while self.open > min(MIN_IDLE_CONNECTIONS, self.limit) and self._idle:
            limit_s = (
                OVERFLOW_IDLE_TIMEOUT_S if self.open > self.limit else IDLE_TIMEOUT_S
            )
            if at_s - self._idle[0].used_at_s < limit_s:
                return
            self._idle.popleft().close()

    def release_unused(self) -> None:
        """Close what is unused, and borrow nothing for a while."""
        self._overflow_paused_until_s = now_s() + OVERFLOW_PAUSE_S
        while self.open > MIN_IDLE_CONNECTIONS and self._idle:
            self._idle.popleft().close()

    def record_answer(self) -> None:
        """Note that the instance has answered a statement."""
        self.answered_at_s = now_s()
        self.silent_since_s = None

    def record_silence(self, since_s: float) -> None:
        """Note that a statement sent at a time got no answer so far."""
        if since_s > self.answered_at_s and self.silent_since_s is None:
            self.silent_since_s = since_s

    def close(self) -> None:
        """Close all connections for good."""
        self._closed = True
        for task in self._tasks:
            task.cancel()
        for conn in self.connections:
            conn.close()
        self._idle.clear()
        self._checked_out.clear()

    def _spawn(self, coro) -> None:
        task = tasks.spawn(coro, f"connections to {self.name}")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _return_to_pool(self, conn: InstanceConnection) -> None:
        self._checked_out.discard(conn)
        if (
            self._closed
            or not conn.is_clean
            or conn.entry.born_ms != self.entry.born_ms
        ):
            conn.close()
        else:
            self._idle.append(conn)
        self._on_change()

    async def _clean(self, conn: InstanceConnection) -> None:
        try:
            async with asyncio.timeout(ABANDONED_TIMEOUT_S):
                # The answer to the rollback comes after all the others.
                reply = await conn.send(self._codec.rollback())
                if reply.state is not SessionState.IDLE:
                    conn.close()
        except (InstanceLost, TimeoutError):
            conn.close()
        finally:
            self._return_to_pool(conn)

    async def _open(self) -> None:
        try:
            conn = await connect(self.entry, self._codec)
        except TargetDown as exc:
            self._record_failure(exc)
        else:
            self._record_opened()
            if self._closed:
                conn.close()
                return
            self._idle.append(conn)
        finally:
            self._opening -= 1
            self._on_change()

    def _record_opened(self) -> None:
        if self.failing_since_s is not None:
            self._decisions.belief(
                "instance reachable", instance=self.name, group=self.entry.group
            )
        self.failing_since_s = None
        self.refused_at_s = None
        self._retry_s = MIN_RETRY_S
        self.record_answer()

    def _record_failure(self, exc: TargetDown) -> None:
        at_s = now_s()
        if isinstance(exc, NoConnectionLeft):
            self._retry_at_s = at_s + LIMIT_RETRY_S
            if not self._idle and not self._checked_out:
                self._on_connection_limit(self.name)
            return
        if self.failing_since_s is None:
            self.failing_since_s = at_s
            self._decisions.belief(
                "instance unreachable",
                instance=self.name,
                group=self.entry.group,
                reason=str(exc),
            )
        if isinstance(exc, (ConnectionRefused, WrongInstance)):
            self.refused_at_s = at_s
        self._retry_at_s = at_s + self._retry_s
        self._retry_s = min(MAX_RETRY_S, self._retry_s * 2)
