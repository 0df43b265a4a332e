"""State of one database instance: role, terms, log, data and write transactions."""

import asyncio
import random
import re
import sqlite3
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from standins.database import Database
from standins.exceptions import LOCK_WAIT_TIMEOUT, READ_ONLY, SqlError
from standins.log import (
    Entry,
    Log,
    LoggedStatement,
    Position,
    StatementInputs,
)
from standins.signals import Signal
from standins.slots import Slots

REBUILD_BATCH_ENTRIES = 200  # entries replayed before other tasks get a turn
FIRST_TERM = 1
_ADDRESS_PATTERN = re.compile(r"[\w.:\[\]]+:\d+")


@dataclass(frozen=True)
class TargetConfig:
    """Settings of one instance.

    Attributes:
        name: Name of the instance, and its MySQL user towards its leader.
        host: IP number to listen on.
        port: Port to listen on; 0 lets the kernel choose.
        data_centre: Data centre of the instance.
        slots: Statements that may execute at once.
        connections: Connections that may be open at once.
        connect_ms: Delay of each handshake, in milliseconds.
        lag_ms: Time from a commit to its application here, in milliseconds.
        work_ms: Simulated execution time of every statement, in milliseconds.
        initial: Whether it is a founding member of its group.
        primary: Whether it starts as primary of the first term.
        lock_wait_s: Longest wait for the write lock, in seconds.
        user: The only user let in besides replicas and the test user; '' for any.
        password: Password of that user.
    """

    name: str = "target"
    host: str = "127.0.0.1"
    port: int = 0
    data_centre: str = ""
    slots: int = 2
    connections: int = 16
    connect_ms: float = 12
    lag_ms: float = 5
    work_ms: float = 0
    initial: bool = True
    primary: bool = False
    lock_wait_s: float = 10
    user: str = ""
    password: str = ""


@dataclass
class Transaction:
    """An open write transaction; it holds the write lock until it ends.

    Attributes:
        statements: What it has run so far.
        aborted: Why the instance rolled it back; '' while it may commit.
    """

    statements: list[LoggedStatement] = field(default_factory=list)
    aborted: str = ""


class Instance:
    """One instance; all methods that are not coroutines act at once.

    Args:
        cfg: Settings.
        directory: Private directory for the data.
    """

    def __init__(self, cfg: TargetConfig, directory: Path) -> None:
        self.cfg = cfg
        self.role = "replica"
        self.term = 0
        self.fence_term = 0
        self.member = cfg.initial
        self.leader = ""
        self.lag_ms = cfg.lag_ms
        self.work_ms = cfg.work_ms
        self.connect_ms = cfg.connect_ms
        self.partitioned_users: frozenset[str] = frozenset()
        self.log = Log()
        self.slots = Slots(cfg.slots)
        self.connection_count = 0
        self.changed = Signal()
        self.database = Database(directory)
        self._directory = directory
        self._write_lock = asyncio.Lock()
        self._lock_waiters = 0
        self._open_transaction: Transaction | None = None
        self._join_term: int | None = None
        if cfg.primary:
            self.fence_term = FIRST_TERM
            self._open_term(FIRST_TERM)

    @property
    def position(self) -> Position:
        """Position of the last applied entry."""
        return self.log.last

    @property
    def queued(self) -> int:
        """Statements that wait for a slot or for the write lock."""
        return self.slots.queued + self._lock_waiters

    @property
    def is_primary(self) -> bool:
        """Whether it is a primary, fenced or not."""
        return self.role == "primary"

    # Write transactions

    def check_writable(self) -> None:
        """Raise unless the instance is a primary that no greater term has fenced.

        Raises:
            SqlError: It is a replica or a fenced primary.
        """
        if not self.is_primary:
            raise SqlError(
                READ_ONLY, f"{self.cfg.name} is a replica: it runs with --read-only"
            )
        if self.fence_term > self.term:
            raise SqlError(READ_ONLY, self._fenced_reason())

    async def begin(self) -> Transaction:
        """Wait for the write lock and open a write transaction.

        Raises:
            SqlError: The lock wait timed out, or writes are refused here.
        """
        self.check_writable()
        await self._acquire_lock()
        try:
            self.check_writable()
            self.database.writer.raw.execute("BEGIN IMMEDIATE")
        except BaseException:
            self._write_lock.release()
            raise
        self._open_transaction = Transaction()
        return self._open_transaction

    def run(self, tx: Transaction, sql: str, last_insert_id: int) -> sqlite3.Cursor:
        """Run one writing statement in an open transaction.

        Raises:
            SqlError: The statement failed, or the transaction was rolled back.
        """
        self.check_open(tx)
        inputs = new_inputs(last_insert_id)
        cursor = self.database.writer.execute(sql, inputs)
        tx.statements.append(LoggedStatement(sql, inputs))
        self.database.update_schema([sql])
        return cursor

    def check_open(self, tx: Transaction) -> None:
        """Raise if the instance has rolled the transaction back.

        Raises:
            SqlError: The transaction was rolled back.
        """
        if tx.aborted:
            raise SqlError(READ_ONLY, f"transaction rolled back: {tx.aborted}")

    def commit(self, tx: Transaction) -> None:
        """Commit an open transaction and append its entry to the log.

        Raises:
            SqlError: The transaction was rolled back.
        """
        self.check_open(tx)
        self.database.writer.raw.execute("COMMIT")
        if tx.statements:
            position = Position(self.term, self.position.index + 1)
            self.log.append(Entry(position, tuple(tx.statements)))
        self._close_transaction()

    def rollback(self, tx: Transaction) -> None:
        """Roll a transaction back, unless it is over already."""
        if self._open_transaction is not tx:
            return
        self.database.writer.raw.execute("ROLLBACK")
        self.database.update_schema(stmt.sql for stmt in tx.statements)
        self._close_transaction()

    # Orders of the operator of the group; each returns why it is refused, or ''

    def fence(self, term: int) -> str:
        """Take a greater term and refuse writes and logs of lower ones."""
        if not self.member:
            return "not a member"
        if term <= self.fence_term:
            return f"term {term} is not above the fence {self.fence_term}"
        self._raise_fence(term)
        return ""

    def promote(self, term: int) -> str:
        """Become the primary of the fenced term and open it with an empty entry."""
        if not self.member:
            return "not a member"
        if term != self.fence_term:
            return f"term {term} is not the fence {self.fence_term}"
        if self.is_primary and self.term == term:
            return f"already primary at term {term}"
        self._open_term(term)
        return ""

    def follow(self, leader: str, term: int) -> str:
        """Become a replica of a leader, at `ip:port`, at a term."""
        if not _ADDRESS_PATTERN.fullmatch(leader):
            return f"leader {leader!r} is not ip:port"
        if term < self.fence_term:
            return f"term {term} is below the fence {self.fence_term}"
        if self.is_primary and self.term == term:
            return f"already primary at term {term}"
        if term > self.fence_term:
            self._raise_fence(term)
        self.role = "replica"
        self.term = term
        self.leader = leader
        self.changed.notify()
        return ""

    def join(self, term: int) -> str:
        """Become a member once it holds an entry of this or a greater term."""
        if self.member:
            return ""
        if not self.leader:
            return "not following a leader"
        self._join_term = max(term, self._join_term or 0)
        self._update_membership()
        return ""

    # Replication

    def apply(self, entry: Entry) -> None:
        """Apply the next entry of the leader's log."""
        self.database.replay(entry)
        self.log.append(entry)
        self._update_membership()
        self.changed.notify()

    async def rewind(self, position: Position, still_valid: Callable[[], bool]) -> None:
        """Drop all entries after a position by rebuilding the data from the log.

        Args:
            position: A position of the log.
            still_valid: Asked before the change; a false answer leaves all as is.
        """
        if position == self.position:
            return
        entries = self.log.up_to(position)
        database = Database(self._directory)
        try:
            for number, entry in enumerate(entries, start=1):
                database.replay(entry)
                if number % REBUILD_BATCH_ENTRIES == 0:
                    await asyncio.sleep(0)
            if still_valid():
                database, self.database = self.database, database
                self.log = Log(entries)
        finally:
            database.close()
        self.changed.notify()

    async def wait_for(self, position: Position, timeout_s: float) -> bool:
        """Wait until the position is at or above the given one."""
        return await self.changed.wait_for(lambda: self.position >= position, timeout_s)

    def close(self) -> None:
        """Roll back what is open and close the data."""
        self._abort("the instance stops")
        self.database.close()

    async def _acquire_lock(self) -> None:
        self._lock_waiters += 1
        try:
            async with asyncio.timeout(self.cfg.lock_wait_s):
                await self._write_lock.acquire()
        except TimeoutError:
            raise SqlError(
                LOCK_WAIT_TIMEOUT, "Lock wait timeout exceeded; try restarting"
            ) from None
        finally:
            self._lock_waiters -= 1

    def _close_transaction(self) -> None:
        self._open_transaction = None
        self._write_lock.release()
        self.changed.notify()

    def _abort(self, reason: str) -> None:
        if self._open_transaction is not None:
            self._open_transaction.aborted = reason
            self.rollback(self._open_transaction)

    def _raise_fence(self, term: int) -> None:
        self.fence_term = term
        self._abort(self._fenced_reason())
        self.changed.notify()

    def _fenced_reason(self) -> str:
        return (
            f"{self.cfg.name}, primary of term {self.term}, runs with --read-only: "
            f"it is fenced by term {self.fence_term}"
        )

    def _open_term(self, term: int) -> None:
        self.role = "primary"
        self.term = term
        self.leader = ""
        self.log.append(Entry(Position(term, self.position.index + 1)))
        self.changed.notify()

    def _update_membership(self) -> None:
        if self._join_term is None or self.position.term < self._join_term:
            return
        self.member = True
        self._join_term = None


def new_inputs(last_insert_id: int) -> StatementInputs:
    """Return fresh inputs for one statement of a session."""
    now_ms = time.time_ns() // 1_000_000
    return StatementInputs(now_ms, random.getrandbits(63), last_insert_id)
