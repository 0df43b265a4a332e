"""State of one database instance: role, terms, log, data and write transactions.

A term is a number for the time in which one instance is the primary of its group. Each
instance also keeps a fence, the greatest term that it was ordered to accept. It takes
no log of a lower term, and a primary whose own term is below the fence refuses writes.
"""

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

REBUILD_BATCH_ENTRIES = 200  # replayed before the event loop runs other tasks
FIRST_TERM = 1
_ADDRESS_PATTERN = re.compile(r"[\w.:\[\]]+:\d+")


@dataclass(frozen=True)
class TargetConfig:
    """Settings of one instance.

    Attributes:
        name: Name of the instance; its replication connects to the leader as the
            MySQL user of this name.
        host: IP address to listen on.
        port: Port to listen on; 0 lets the kernel choose.
        data_centre: Data centre of the instance.
        slots: Number of statements that can execute at once.
        connections: Number of connections that can be open at once, apart from those
            of replicas and of the test user.
        connect_ms: Delay of each handshake, in milliseconds.
        lag_ms: Delay between a commit on the leader and its application on this
            replica, in milliseconds.
        work_ms: Simulated execution time of every statement, in milliseconds.
        initial: Whether the instance is a founding member of its group.
        primary: Whether the instance starts as the primary of the first term.
        lock_wait_s: Timeout of a wait for the write lock, in seconds.
        user: The only user that may connect besides replicas and the test user;
            empty to accept any user.
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
    """An open write transaction, which holds the write lock until it ends.

    Attributes:
        statements: Statements that the transaction has run, in order.
        aborted: Reason for which the instance rolled the transaction back; empty
            while the transaction can commit.
    """

    statements: list[LoggedStatement] = field(default_factory=list)
    aborted: str = ""


class Instance:
    """State of one instance and the operations that change it.

    Methods that are not coroutines take effect before they return.

    Args:
        cfg: Settings of the instance.
        directory: Private directory for the database files.

    Attributes:
        role: `primary` or `replica`.
        term: Term that the instance leads as primary or follows as replica.
        fence_term: Greatest term that the instance has accepted.
        member: Whether the instance is a member of the group. Others can replicate
            but refuse to be fenced or promoted.
        leader: Address of the leader as `ip:port`; empty if there is none.
        lag_ms: Present replication delay, in milliseconds.
        work_ms: Present simulated execution time of statements, in milliseconds.
        connect_ms: Present delay of each handshake, in milliseconds.
        partitioned_users: Users and instance names that a simulated network partition
            separates from this instance.
        log: Replication log.
        slots: Execution slots for statements.
        connection_count: Open connections that count against the limit.
        changed: Notified after each change of this state.
        database: Data, replaced as a whole by `rewind`.
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
        """Position of the last entry in the log; all entries in it are applied."""
        return self.log.last

    @property
    def queued(self) -> int:
        """Number of statements that wait for a slot or for the write lock."""
        return self.slots.queued + self._lock_waiters

    @property
    def is_primary(self) -> bool:
        """Whether the role is primary, even if a greater term has fenced it."""
        return self.role == "primary"

    # Write transactions

    def check_writable(self) -> None:
        """Raise unless the instance is a primary that no greater term has fenced.

        Raises:
            SqlError: The instance is a replica or a fenced primary.
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
            SqlError: The wait for the lock timed out, or the instance refuses writes.
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
        """Run one statement in an open write transaction and record it for the log.

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

        A transaction without statements leaves no entry.

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
        """Roll a transaction back; this has no effect after its end."""
        if self._open_transaction is not tx:
            return
        self.database.writer.raw.execute("ROLLBACK")
        self.database.update_schema(stmt.sql for stmt in tx.statements)
        self._close_transaction()

    # Orders to the instance. Each returns the reason of a refusal, or an empty string.

    def fence(self, term: int) -> str:
        """Accept a greater term and refuse the writes and the log of lower terms."""
        if not self.member:
            return "not a member"
        if term <= self.fence_term:
            return f"term {term} is not above the fence {self.fence_term}"
        self._raise_fence(term)
        return ""

    def promote(self, term: int) -> str:
        """Become the primary of the fenced term; its first log entry is empty."""
        if not self.member:
            return "not a member"
        if term != self.fence_term:
            return f"term {term} is not the fence {self.fence_term}"
        if self.is_primary and self.term == term:
            return f"already primary at term {term}"
        self._open_term(term)
        return ""

    def follow(self, leader: str, term: int) -> str:
        """Become a replica of a leader.

        Args:
            leader: Address of the leader as `ip:port`.
            term: Term that the leader leads.

        Returns:
            The reason of a refusal, or an empty string.
        """
        if not _ADDRESS_PATTERN.fullmatch(leader):
            return f"leader address {leader!r} is not of the form ip:port"
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
        """Become a member of the group as soon as the log is recent enough.

        Args:
            term: The last entry of the log must be of this or a greater term.

        Returns:
            The reason of a refusal, or an empty string. Membership itself may come
            later.
        """
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

        The rebuild runs in batches, so that the state can change in the meantime.

        Args:
            position: Position of an entry in the log.
            still_valid: Called before the new data and log replace the present ones;
                if it returns False, the present ones are kept.
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
        """Wait until the log reaches a position; return False after the timeout."""
        return await self.changed.wait_for(lambda: self.position >= position, timeout_s)

    def close(self) -> None:
        """Roll back an open transaction and close the database."""
        self._abort("the instance is stopping")
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
    """Return the present time and a new random seed as inputs of one statement."""
    now_ms = time.time_ns() // 1_000_000
    return StatementInputs(now_ms, random.getrandbits(63), last_insert_id)
