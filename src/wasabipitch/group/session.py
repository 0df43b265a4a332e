"""What a caller's session carries from one statement to the next."""

from dataclasses import dataclass, field

from wasabipitch.instances.dispatcher import Loan
from wasabipitch.models import ORIGIN, Position
from wasabipitch.wire.messages import SessionState, Shape


@dataclass(eq=False)
class Transaction:
    """An open transaction of a session.

    Args:
        read_only: whether it was begun so.
        arrived_s: when its first statement was read.
        checkout: the connection that carries it, once a statement has run.
        revision: of the group record when it began on the instance.
        wrote: whether it may have written.
    """

    read_only: bool
    arrived_s: float
    checkout: Loan | None = None
    revision: int = 0
    wrote: bool = False


@dataclass(eq=False)
class SessionContext:
    """A session's values, prepared statements, floor and transaction."""

    session: str
    database: str
    values: dict[bytes, bytes] = field(default_factory=dict)
    prepared: dict[bytes, Shape] = field(default_factory=dict)
    floor: Position = ORIGIN
    transaction: Transaction | None = None
    failed: bool = False

    @property
    def state(self) -> SessionState:
        """Where the session stands, as its caller sees it."""
        if self.failed:
            return SessionState.FAILED_TRANSACTION
        if self.transaction is not None:
            return SessionState.IN_TRANSACTION
        return SessionState.IDLE

    def drop_transaction(self) -> None:
        """Give up the transaction; its connection is rolled back or closed."""
        transaction, self.transaction = self.transaction, None
        if transaction is not None and transaction.checkout is not None:
            transaction.checkout.release()
