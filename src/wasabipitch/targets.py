"""What a database group must offer, whatever its kind.

``Connector`` opens connections to instances; ``TargetConn`` runs callers'
statements; ``ControlChannel`` gives the orders of failover and reads
positions. docs/TARGETS.md describes the duties behind each call.
"""

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Protocol

from wasabipitch.models import Address, Column, Position


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """What an instance reports of itself.

    Args:
        role: ``primary`` or ``replica``.
        term: the term in which it is primary, or which it follows.
        fence: the greatest term that it has taken.
        position: of the last entry that it has applied.
        member: whether it counts in majorities; a restarted empty one does not.
        leader: the address that it follows, or empty.
        running: statements that it executes now.
        accepted: whether it carried out the order that this answers.
        reason: why it refused the order, or empty.
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
        """Whether it takes writes: primary, and not fenced at a later term."""
        return self.role == "primary" and self.fence <= self.term


@dataclass(frozen=True, slots=True)
class Answer:
    """A target's whole answer to a statement.

    Args:
        columns: empty for a statement that returns no rows.
        rows: blocks of rows; each value is its MySQL text form, or None.
    """

    columns: tuple[Column, ...] = ()
    rows: Sequence[Sequence[bytes | None]] = ()
    affected_rows: int = 0
    last_insert_id: int = 0
    in_transaction: bool = False


class TargetConn(Protocol):
    """One connection to an instance; it carries one session's work at a time."""

    @property
    def usable(self) -> bool:
        """Whether its state is known and it may be used again."""

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction was open when the target last said so."""

    async def run(self, statement: str) -> Answer:
        """Run a statement and return its whole answer.

        Raises:
            TargetError: the target refused it; the connection stays usable.
            TargetLost: the connection broke; it may have run.
        """

    def stream(self, statement: str) -> AsyncIterator[Answer]:
        """Run a statement and yield its answer in blocks of rows."""

    def close(self) -> None:
        """Close it at once; whatever it was doing is rolled back."""


class ControlChannel(Protocol):
    """Orders and reports of one instance, beside the statements' slots.

    Every call raises ``TargetDown`` or ``TargetLost`` if the instance gives no
    answer within ``timeout_s``.
    """

    async def status(self, timeout_s: float = ...) -> InstanceStatus:
        """Return what the instance reports of itself now."""

    async def wait(self, position: Position, timeout_s: float) -> InstanceStatus:
        """Return its status once it has reached a position, or at the timeout."""

    async def fence(self, term: int, timeout_s: float = ...) -> InstanceStatus:
        """Order it to take no log from a term lower than this one."""

    async def promote(self, term: int, timeout_s: float = ...) -> InstanceStatus:
        """Order it to become the primary of a term that fenced it."""

    async def follow(
        self, leader: Address, term: int, timeout_s: float = ...
    ) -> InstanceStatus:
        """Order it to follow the primary of a term."""

    async def join(self, term: int, timeout_s: float = ...) -> InstanceStatus:
        """Order it to count in majorities once it holds an entry of the term."""

    async def close(self) -> None:
        """Close the channel."""


class Connector(Protocol):
    """Opens connections to the instances of one kind of group."""

    async def connect(self, address: Address, database: str) -> TargetConn:
        """Open a connection for callers' statements.

        Raises:
            TargetDown: if the instance can't be reached or refuses.
        """

    def open_control(self, name: str, address: Address) -> ControlChannel:
        """Return a control channel; it connects when first used."""
