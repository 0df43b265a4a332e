"""Connection pool of one instance, with the measurements taken on it."""

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
# An instance at its connection limit accepts no connection until another one closes.
LIMIT_RETRY_S = 0.1
# Time without overflow connections after another host found the instance at its
# limit. It is long enough for that host to connect within a few attempts.
OVERFLOW_PAUSE_S = 1.0
# Connections kept open without traffic. The number is small because instances keep
# their old connections for 3 s after a power failure; these count against the
# connection limit while all hosts reconnect.
MIN_IDLE_CONNECTIONS = 1
# Idle timeout of the connections above MIN_IDLE_CONNECTIONS. Overflow connections,
# those above the host's own share, have the shorter one.
IDLE_TIMEOUT_S = 1.0
OVERFLOW_IDLE_TIMEOUT_S = 0.3
# Time that an abandoned statement has to end before its connection is closed.
ABANDONED_TIMEOUT_S = 3.0


class InstancePool:
    """Pool of a host's connections to one instance.

    Attributes:
        entry: The instance's registration.
        limit: The host's own share of the instance's connections.
        overflow_limit: The share plus the permitted overflow connections.
        slowness: The ratio of its service times to the group's mean.
        lagging: The backoff after it rejected a read because it lags.
        failures: The share of its recent statements that failed.
        window: The limit on the host's statements at the instance.
        refused_at_s: When the address last refused a connection or belonged to
            another instance, or None since a connection was opened.
        failing_since_s: Since when connections can't be opened, or None.
        answered_at_s: When the instance last answered.
        silent_since_s: When the statement was sent that the instance has left
            unanswered, or None.

    Args:
        entry: The instance's registration.
        codec: The codec of the instance's protocol.
        decisions: The log of state changes.
        on_change: Called when a connection may have become free or an attempt to
            open one has ended.
        on_connection_limit: Called with the instance's name when this host has no
            connection in the pool and the instance is at its connection limit.
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
        """The instance's name."""
        return self.entry.name

    @property
    def open(self) -> int:
        """The number of connections that are open or being opened."""
        return len(self._idle) + len(self._checked_out) + self._opening

    @property
    def checked_out(self) -> int:
        """The number of connections that are checked out."""
        return len(self._checked_out)

    @property
    def running(self) -> int:
        """The number of connections whose statements have no answer yet."""
        return sum(conn.outstanding > 0 for conn in self._checked_out)

    @property
    def connections(self) -> list[InstanceConnection]:
        """All open connections, idle and checked out."""
        return [*self._idle, *self._checked_out]

    def has_idle(self) -> bool:
        """Return whether a connection can be checked out at once."""
        if self.running >= self.window.size:
            return False
        while self._idle and not self._idle[-1].is_clean:
            self._idle.pop().close()
        return bool(self._idle)

    def check_out(self) -> InstanceConnection:
        """Check out an idle connection; ``has_idle`` must have returned True."""
        conn = self._idle.pop()
        self._checked_out.add(conn)
        return conn

    def release(self, conn: InstanceConnection) -> None:
        """Return a connection to the pool.

        A connection with an open transaction or an unanswered statement is rolled
        back first, and closed if that fails.
        """
        if conn not in self._checked_out:
            return
        if conn.is_open and not conn.is_clean and not self._closed:
            self._spawn(self._clean(conn))
            return
        self._return_to_pool(conn)

    def open_up_to(self, count: int) -> None:
        """Open connections in the background, up to a number of open connections.

        One connection is opened at a time, and none before the next retry is due
        after a failure.
        """
        if self._closed or now_s() < self._retry_at_s:
            return
        if now_s() < self._overflow_paused_until_s:
            count = min(count, self.limit)
        while self.open < count and not self._opening:
            self._opening += 1
            self._spawn(self._open())

    def close_idle(self) -> None:
        """Close broken connections and those past their idle timeout."""
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
        """Close unused connections so that another host can connect.

        Overflow connections are not opened for ``OVERFLOW_PAUSE_S`` afterwards.
        """
        self._overflow_paused_until_s = now_s() + OVERFLOW_PAUSE_S
        while self.open > MIN_IDLE_CONNECTIONS and self._idle:
            self._idle.popleft().close()

    def record_answer(self) -> None:
        """Record that the instance has answered, which ends a silence."""
        self.answered_at_s = now_s()
        self.silent_since_s = None

    def record_silence(self, since_s: float) -> None:
        """Record a silence: a statement has no answer yet.

        Args:
            since_s: When the statement was sent.
        """
        if since_s > self.answered_at_s and self.silent_since_s is None:
            self.silent_since_s = since_s

    def close(self) -> None:
        """Close all connections and open no new ones."""
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
                # Answers come in order, so this one follows those of all statements
                # sent before.
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
