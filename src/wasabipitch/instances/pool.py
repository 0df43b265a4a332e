"""Connection pool of one instance, with the measurements taken on it."""

import asyncio
from collections import Counter
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
from wasabipitch.policy.connection_use import (
    ACTIVE_S,
    IdleConnection,
    PoolUse,
    choose_closed,
)
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
# Idle timeout where connections belong to accounts. An account that needs the room
# closes another's idle connection, so that one kept for long blocks nobody and saves
# its account a handshake.
ACCOUNT_IDLE_TIMEOUT_S = 15.0
# An instance without an answer for this long is shown to be back by a new connection
# if no account uses it meanwhile.
SILENCE_PROBE_S = 1.0
# With accounts, no connection is opened without a request for this long after the
# start, when requests that have waited for the host need all handshakes.
START_S = 0.5
# A statement without an answer for this long no longer counts as running: it is five
# rounds of the longest statements at an instance at its limit. Answers are lost
# without any sign, and statements that wait for them would close the window.
OVERDUE_S = 0.25
# Time that an abandoned statement has to end before its connection is closed. The
# answer to a commit is worth waiting for, since it shows what a successor must hold.
ABANDONED_TIMEOUT_S = 0.25
ABANDONED_COMMIT_TIMEOUT_S = 3.0
# A closed connection counts against the limit until the instance can have seen its
# end, which takes one way of a round trip of up to 1 ms and a turn of its event loop.
CLOSE_SETTLE_S = 0.002
# An instance may see the end only after the statement that runs on the connection.
BUSY_CLOSE_SETTLE_S = 0.25
# A share that has grown is used after this time. The owner that lost it learns of the
# change by a watch that lags at most 0.6 s, or by a check of the store's head after
# 0.45 s, and closes its idle connections within 0.1 s.
SHARE_TAKEOVER_S = 1.2


class InstancePool:
    """Pool of a host's connections to one instance.

    Attributes:
        entry: The instance's registration.
        limit: The host's own share of the instance's connections.
        overflow_limit: The share plus the permitted overflow connections.
        has_accounts: Whether the configuration has client accounts.
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
        self.has_accounts = False
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
        # The idle connections by account, and all of them; the least recently used one
        # comes first in each.
        self._idle: dict[str, list[InstanceConnection]] = {}
        self._idle_order: dict[InstanceConnection, None] = {}
        self._checked_out: set[InstanceConnection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._opening = 0
        # The number of connections that are closed and still count.
        self._closing = 0
        # The number of connections by account: open or being opened, checked out, and
        # being opened.
        self._held_by: Counter[str] = Counter()
        self._used_by: dict[str, int] = {}
        self._opening_by: Counter[str] = Counter()
        # When each account last returned a connection, and the last one that took one.
        self._last_used_s: dict[str, float] = {}
        self._last_account = ""
        self._created_at_s = now_s()
        # Whether the share was set; the limit until a larger one may be used, and when
        # that is.
        self._is_sized = False
        self._limit_before = 0
        self._grows_at_s = 0.0
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
        return len(self._idle_order) + len(self._checked_out) + self._opening

    @property
    def held(self) -> int:
        """The number of connections that count against the limit.

        These are the open ones, those being opened, and those whose end the instance
        may not have seen yet.
        """
        return self.open + self._closing

    @property
    def allowed(self) -> int:
        """The number of connections that this host may hold now."""
        at_s = now_s()
        paused = at_s < self._overflow_paused_until_s
        limit = self.limit if paused else self.overflow_limit
        return min(limit, self._limit_before) if at_s < self._grows_at_s else limit

    @property
    def may_open(self) -> bool:
        """Whether an attempt to open a connection may be made now."""
        return not self._closed and now_s() >= self._retry_at_s

    @property
    def checked_out(self) -> int:
        """The number of connections that are checked out."""
        return len(self._checked_out)

    @property
    def running(self) -> int:
        """The number of connections whose statements occupy the instance.

        With accounts, a statement that is long overdue counts as lost.
        """
        if not self.has_accounts:
            return sum(conn.outstanding > 0 for conn in self._checked_out)
        overdue_s = now_s() - OVERDUE_S
        return sum(
            conn.outstanding > 0 and conn.used_at_s > overdue_s
            for conn in self._checked_out
        )

    @property
    def connections(self) -> list[InstanceConnection]:
        """All open connections, idle and checked out."""
        return [*self._idle_order, *self._checked_out]

    def resize(
        self,
        limit: int,
        overflow_limit: int,
        has_accounts: bool = False,
        is_joining: bool = False,
    ) -> None:
        """Update the number of connections that this host may hold.

        With accounts, a larger share is used only after ``SHARE_TAKEOVER_S``, when the
        host that lost it has closed its connections. Up to then a new owner holds one
        connection. A host that runs again has the share that it had before.

        Args:
            limit: The host's own share.
            overflow_limit: The share plus the permitted overflow connections.
            has_accounts: Whether the configuration has client accounts.
            is_joining: Whether this host joins others that hold connections.
        """
        grows = self._is_sized and overflow_limit > self.overflow_limit
        if has_accounts and (grows or is_joining):
            self._limit_before = 1 if is_joining else max(1, self.allowed)
            self._grows_at_s = now_s() + SHARE_TAKEOVER_S
        self._is_sized = True
        self.limit, self.overflow_limit = limit, overflow_limit
        self.has_accounts = has_accounts
        if has_accounts:
            self.close_idle()

    def has_idle(self, account: str = "") -> bool:
        """Return whether an account's connection can be checked out at once."""
        idle = self._idle.get(account)
        if not idle or self.running >= self.window.size:
            return False
        while idle and not idle[-1].is_clean:
            self._close_idle(idle[-1])
        return bool(idle)

    def can_serve(self, account: str = "") -> bool:
        """Return whether an account's connection is idle or can be opened at once."""
        if self.has_idle(account):
            return True
        if not self.has_accounts or not self.may_open:
            return False
        if self.running >= self.window.size:
            return False
        return self.has_room() or bool(self._idle_order)

    def has_room(self) -> bool:
        """Return whether a connection can be opened without closing another one."""
        return self.may_open and self.held < self.allowed

    def check_out(self, account: str = "") -> InstanceConnection:
        """Check out an account's idle connection.

        ``has_idle`` must have returned True.
        """
        conn = self._idle[account].pop()
        del self._idle_order[conn]
        self._checked_out.add(conn)
        self._used_by[account] = self._used_by.get(account, 0) + 1
        self._last_account = account
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

    def count_used(self, account: str) -> int:
        """Return how many of an account's connections are checked out."""
        return self._used_by.get(account, 0)

    def count_opening(self, account: str) -> int:
        """Return how many connections are being opened for an account."""
        return self._opening_by.get(account, 0)

    def has_capacity(self) -> bool:
        """Return whether a request may be served or a connection opened for one."""
        has_idle = bool(self._idle_order)
        if has_idle and self.running < self.window.size:
            return True
        if not self.may_open or self._opening >= self._max_opening:
            return False
        return has_idle or self.held < self.allowed

    @property
    def longest_idle_s(self) -> float:
        """For how long the least recently used idle connection has not been used."""
        conn = next(iter(self._idle_order), None)
        return 0.0 if conn is None else now_s() - conn.used_at_s

    @property
    def _max_opening(self) -> int:
        # A handshake occupies a slot, as a statement does.
        return max(1, min(self.entry.slots, self.window.size))

    def describe_use(self, account: str, others_active: bool) -> PoolUse:
        """Return the state of the pool as an account's request sees it.

        Args:
            account: The account of the request.
            others_active: Whether other accounts are active in the group.
        """
        own_idle = len(self._idle.get(account, ()))
        return PoolUse(
            limit=self.allowed,
            held=self.held,
            opening=self._opening,
            max_opening=self._max_opening,
            own=self._held_by.get(account, 0),
            own_idle=own_idle,
            others_idle=len(self._idle_order) - own_idle,
            others_active=others_active,
        )

    def are_others_active(self, account: str) -> bool:
        """Return whether another account uses a connection or did so lately."""
        used = len(self._checked_out) - self.count_used(account)
        if used or self._opening > self.count_opening(account):
            return True
        active_s = now_s() - ACTIVE_S
        # A connection that is open only to show a lost instance was never used. An
        # account whose connection made room is still active.
        return any(
            last_s > active_s and other != account
            for other, last_s in self._last_used_s.items()
        )

    def open_up_to(self, count: int, account: str = "") -> None:
        """Open connections in the background, up to a number of open connections.

        One connection is opened at a time, and none before the next retry is due
        after a failure.
        """
        if not self.may_open:
            return
        if now_s() < self._overflow_paused_until_s:
            count = min(count, self.limit)
        while self.open < count and not self._opening:
            self._start_opening(account)

    def open_for(self, account: str) -> None:
        """Open a connection for an account in the background; there must be room."""
        self._start_opening(account)

    def replace_for(self, account: str) -> str:
        """Close another account's idle connection and open one for an account.

        There must be an idle connection of another account.

        Returns:
            The account whose connection is closed.
        """
        at_s = now_s()
        others = [conn for conn in self._idle_order if conn.account != account]
        idle = [
            IdleConnection(self._held_by[conn.account], at_s - conn.used_at_s)
            for conn in others
        ]
        closed = others[choose_closed(idle, ACCOUNT_IDLE_TIMEOUT_S)]
        self._remove_idle(closed)
        self._forget(closed.account)
        closed.close()
        self._count("instance_connections_replaced")
        # The new connection takes the place of the closed one in the count.
        self._start_opening(account, CLOSE_SETTLE_S)
        return closed.account

    def open_minimum(self) -> None:
        """Open a connection if there is none, which also shows a lost instance."""
        if not self.has_accounts:
            self.open_up_to(min(MIN_IDLE_CONNECTIONS, self.limit))
        elif now_s() - self._created_at_s < START_S:
            return
        elif not self.held or self._is_unasked():
            count = min(self.held + MIN_IDLE_CONNECTIONS, self.allowed)
            self.open_up_to(count, self._last_account)

    def _is_unasked(self) -> bool:
        """Return whether the instance fell silent and nothing shows the end of it."""
        since_s = self.silent_since_s
        if since_s is None or self._checked_out or self._opening:
            return False
        return now_s() - since_s > SILENCE_PROBE_S

    def close_idle(self) -> None:
        """Close broken connections and those past their idle timeout."""
        at_s = now_s()
        for conn in [conn for conn in self._idle_order if not conn.is_clean]:
            self._close_idle(conn)
        while self.open > min(MIN_IDLE_CONNECTIONS, self.limit) and self._idle_order:
            conn = next(iter(self._idle_order))
            if at_s - conn.used_at_s < self._idle_timeout_s:
                return
            self._close_idle(conn)

    @property
    def _idle_timeout_s(self) -> float:
        if self.has_accounts:
            return ACCOUNT_IDLE_TIMEOUT_S if self.open <= self.allowed else 0.0
        return OVERFLOW_IDLE_TIMEOUT_S if self.open > self.limit else IDLE_TIMEOUT_S

    def release_unused(self) -> None:
        """Close unused connections so that another host can connect.

        Overflow connections are not opened for ``OVERFLOW_PAUSE_S`` afterwards. With
        accounts, a connection that was used within ``IDLE_TIMEOUT_S`` is in use.
        """
        at_s = now_s()
        self._overflow_paused_until_s = at_s + OVERFLOW_PAUSE_S
        while self.open > MIN_IDLE_CONNECTIONS and self._idle_order:
            conn = next(iter(self._idle_order))
            if self.has_accounts and at_s - conn.used_at_s < IDLE_TIMEOUT_S:
                return
            self._close_idle(conn)

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
        self._idle_order.clear()
        self._checked_out.clear()

    def _count(self, name: str) -> None:
        self._decisions.count(name, group=self.entry.group, instance=self.name)

    def _spawn(self, coro) -> None:
        task = tasks.spawn(coro, f"connections to {self.name}")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _return_to_pool(self, conn: InstanceConnection) -> None:
        if conn not in self._checked_out:
            # The pool was closed.
            return
        self._checked_out.discard(conn)
        self._last_used_s[conn.account] = now_s()
        self._used_by[conn.account] -= 1
        if (
            self._closed
            or not conn.is_clean
            or conn.entry.born_ms != self.entry.born_ms
            or (self.has_accounts and self.open >= self.allowed)
        ):
            self._close(conn)
        else:
            self._add_idle(conn)
        self._on_change()

    def _add_idle(self, conn: InstanceConnection) -> None:
        idle = self._idle.get(conn.account)
        if idle is None:
            idle = self._idle[conn.account] = []
        idle.append(conn)
        self._idle_order[conn] = None

    def _remove_idle(self, conn: InstanceConnection) -> None:
        self._idle[conn.account].remove(conn)
        del self._idle_order[conn]

    def _close_idle(self, conn: InstanceConnection) -> None:
        self._remove_idle(conn)
        self._close(conn)

    def _close(self, conn: InstanceConnection) -> None:
        """Close a connection that is neither idle nor checked out any more."""
        conn.close()
        self._forget(conn.account)
        self._count_closing(BUSY_CLOSE_SETTLE_S if conn.ended_busy else CLOSE_SETTLE_S)

    def _count_closing(self, settle_s: float) -> None:
        """Count a closed connection until the instance can have seen its end."""
        if self.has_accounts and not self._closed:
            self._closing += 1
            asyncio.get_running_loop().call_later(settle_s, self._end_closing)

    def _end_closing(self) -> None:
        self._closing -= 1
        if not self._closed:
            self._on_change()

    def _forget(self, account: str) -> None:
        self._held_by[account] -= 1
        if not self._held_by[account]:
            del self._held_by[account]

    async def _clean(self, conn: InstanceConnection) -> None:
        try:
            async with asyncio.timeout(
                ABANDONED_COMMIT_TIMEOUT_S
                if conn.has_unanswered_commit or not self.has_accounts
                else ABANDONED_TIMEOUT_S
            ):
                # Answers come in order, so this one follows those of all statements
                # sent before.
                reply = await conn.send(self._codec.rollback())
                if reply.state is not SessionState.IDLE:
                    conn.close()
                if self.has_accounts:
                    # Few accounts have a connection here that would show the end of a
                    # silence.
                    self.record_answer()
        except (InstanceLost, TimeoutError):
            conn.close()
        finally:
            self._return_to_pool(conn)

    def _start_opening(self, account: str, delay_s: float = 0.0) -> None:
        self._opening += 1
        self._opening_by[account] += 1
        self._held_by[account] += 1
        self._spawn(self._open(account, delay_s))

    async def _open(self, account: str, delay_s: float) -> None:
        conn = None
        try:
            if delay_s:
                await asyncio.sleep(delay_s)
            conn = await connect(self.entry, self._codec, account)
        except TargetDown as exc:
            self._record_failure(exc)
            if not isinstance(exc, (ConnectionRefused, NoConnectionLeft)):
                # The handshake may still wait for a slot of the instance.
                self._count_closing(BUSY_CLOSE_SETTLE_S)
        else:
            self._record_opened()
        finally:
            self._opening -= 1
            self._opening_by[account] -= 1
            if not self._opening_by[account]:
                del self._opening_by[account]
            self._add_opened(account, conn)
            self._on_change()

    def _add_opened(self, account: str, conn: InstanceConnection | None) -> None:
        if conn is None:
            self._forget(account)
        elif self._closed or (self.has_accounts and self.open >= self.allowed):
            # The pool was closed, or its share became smaller, meanwhile.
            self._close(conn)
        else:
            self._add_idle(conn)

    def _record_opened(self) -> None:
        if self.failing_since_s is not None:
            self._decisions.belief(
                "instance reachable", instance=self.name, group=self.entry.group
            )
        self._count("instance_connections_opened")
        self.failing_since_s = None
        self.refused_at_s = None
        self._retry_s = MIN_RETRY_S
        self.record_answer()

    def _record_failure(self, exc: TargetDown) -> None:
        at_s = now_s()
        if isinstance(exc, NoConnectionLeft):
            self._count("instance_connections_refused")
            self._retry_at_s = at_s + LIMIT_RETRY_S
            if not self._idle_order and not self._checked_out:
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
