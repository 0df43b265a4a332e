"""The interfaces that every kind of database group implements.

``Connector`` opens connections to instances; ``TargetConn`` runs callers'
statements; ``ControlChannel`` sends the orders of a failover and reads log
positions. docs/TARGETS.md describes what each call must guarantee.
"""

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Protocol

from wasabipitch.models import Address, Column, Position


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """The status that an instance reports.

    Args:
        name: The name of the instance.
        role: ``primary`` or ``replica``.
        term: The term in which it is primary, or whose primary it follows.
        fence: The greatest term that it has accepted; it takes no log of lower terms.
        position: The log position of the last entry that it has applied.
        member: Whether it counts towards majorities; an instance that restarted empty
            does not.
        leader: The address of the primary that it follows, or empty.
        running: The number of statements that it executes now.
        queued: The number of statements that wait in its queue.
        connections: The number of connections that it has now.
        connection_limit: The greatest number of connections that it accepts.
        accepted: Whether it carried out the order that this status answers.
        reason: Why it refused the order, or empty.
    """

    name: str
    role: str
    term: int
    fence: int
    position: Position
    member: bool
    leader: str = ""
    running: int = 0
    queued: int = 0
    connections: int = 0
    connection_limit: int = 0
    accepted: bool = True
    reason: str = ""

    @property
    def is_primary(self) -> bool:
        """Whether it takes writes: it is primary and not fenced at a later term."""
        return self.role == "primary" and self.fence <= self.term


@dataclass(frozen=True, slots=True)
class Answer:
    """A target's answer to a statement, or one block of a streamed answer.

    Args:
        columns: The result columns; empty for a statement that returns no rows and in
            every block of a stream but the first.
        rows: The rows; each value is in the MySQL text form, or None for NULL.
        affected_rows: The number of rows that the statement changed.
        last_insert_id: The first AUTO_INCREMENT value that it generated, or 0.
        in_transaction: Whether a transaction is open after it.
    """

    columns: tuple[Column, ...] = ()
    rows: Sequence[Sequence[bytes | None]] = ()
    affected_rows: int = 0
    last_insert_id: int = 0
    in_transaction: bool = False


class TargetConn(Protocol):
    """A connection to an instance, used by one session at a time."""

    @property
    def usable(self) -> bool:
        """Whether the connection's state is known, so that it may be used again."""

    @property
    def in_transaction(self) -> bool:
        """Whether the target last reported an open transaction."""

    async def run(self, statement: str) -> Answer:
        """Run a statement and return its complete answer.

        Raises:
            TargetError: The target refused the statement; the connection stays usable.
            TargetLost: The connection broke; the statement may have run.
        """

    def stream(self, statement: str) -> AsyncIterator[Answer]:
        """Run a statement and yield its answer in blocks of rows."""

    def close(self) -> None:
        """Close the connection at once; the target rolls back what was in progress."""


class ControlChannel(Protocol):
    """Sends failover orders to one instance and reads its status.

    Control calls take none of the instance's slots for statements. Every call raises
    ``TargetDown`` or ``TargetLost`` if the instance gives no answer within
    ``timeout_s``.
    """

    async def status(self, timeout_s: float = ...) -> InstanceStatus:
        """Return the instance's current status."""

    async def wait(self, position: Position, timeout_s: float) -> InstanceStatus:
        """Return the status once the instance has reached a position, or at timeout."""

    async def fence(self, term: int, timeout_s: float = ...) -> InstanceStatus:
        """Order the instance to take no log from a term lower than this one."""

    async def promote(self, term: int, timeout_s: float = ...) -> InstanceStatus:
        """Order the instance to become primary of the term at which it is fenced."""

    async def follow(
        self, leader: Address, term: int, timeout_s: float = ...
    ) -> InstanceStatus:
        """Order the instance to follow the primary of a term."""

    async def join(self, term: int, timeout_s: float = ...) -> InstanceStatus:
        """Order the instance to count towards majorities.

        It counts from the moment at which it holds an entry of the term.
        """

    async def close(self) -> None:
        """Close the channel's connections."""


class Connector(Protocol):
    """Opens connections to the instances of one kind of group."""

    async def connect(self, address: Address, database: str) -> TargetConn:
        """Open a connection for callers' statements.

        Raises:
            TargetDown: The instance can't be reached or refuses the connection.
        """

    def open_control(self, name: str, address: Address) -> ControlChannel:
        """Return a control channel; it connects when first used."""
