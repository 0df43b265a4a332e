"""Holds the state of a caller's session between statements."""

import msgspec

from wasabipitch.instances.dispatcher import Checkout
from wasabipitch.models import ORIGIN, Position
from wasabipitch.wire.messages import SessionState, Shape


class Transaction(msgspec.Struct, eq=False):
    """An open transaction of a session.

    Args:
        read_only: Whether it was begun as read-only.
        arrived_s: The time at which its first statement was received.
        checkout: The connection that it runs on, or None until its first statement
            is sent. A ``RemoteTransaction`` if another host runs it.
        revision: The revision of the group record when it began on the instance.
        wrote: Whether it may have written.
        number: Its number among the transactions of its session, from 1.
        is_admitted: Whether it was counted against its account's limit.
    """

    read_only: bool
    arrived_s: float
    checkout: Checkout | None = None
    revision: int = 0
    wrote: bool = False
    number: int = 0
    is_admitted: bool = False


class SessionContext(msgspec.Struct, eq=False):
    """The state that a session keeps between statements.

    Args:
        session: The identifier of the session.
        database: The database that its caller chose.
        values: The session values that were set, by name.
        prepared: The shapes of the prepared statements, by name.
        floor: The lowest log position that the session's reads must see, which is
            the position of its last commit.
        transaction: The open transaction, or None.
        failed: Whether a transaction has failed that the caller has not ended yet.
        account: The client account that the session belongs to, or an empty string.
        begun: The number of transactions that the session has begun.
    """

    session: str
    database: str
    values: dict[bytes, bytes] = msgspec.field(default_factory=dict)
    prepared: dict[bytes, Shape] = msgspec.field(default_factory=dict)
    floor: Position = ORIGIN
    transaction: Transaction | None = None
    failed: bool = False
    account: str = ""
    begun: int = 0

    @property
    def state(self) -> SessionState:
        """The transaction state that the caller is shown."""
        if self.failed:
            return SessionState.FAILED_TRANSACTION
        if self.transaction is not None:
            return SessionState.IN_TRANSACTION
        return SessionState.IDLE

    def begin(self, read_only: bool, arrived_s: float) -> None:
        """Open the session's next transaction; see ``Transaction``."""
        self.begun += 1
        self.transaction = Transaction(read_only, arrived_s, number=self.begun)

    def drop_transaction(self) -> None:
        """Forget the transaction and return its connection to the pool.

        The pool rolls the connection back or closes it. If another host runs the
        transaction, that host is told that the transaction is over.
        """
        transaction, self.transaction = self.transaction, None
        if transaction is not None and transaction.checkout is not None:
            transaction.checkout.release()
