"""Open transactions, each with a connection pinned to it until it ends."""

import time
from dataclasses import dataclass, field

from wasabipitch.connections import InstanceConnections
from wasabipitch.targets import TargetConn

IDLE_TIMEOUT_S = 60.0


@dataclass(eq=False)
class Transaction:
    """An open transaction and the connection that is pinned to it.

    Args:
        session: The session's name.
        peer: The link connection on which the session's requests arrive.
        instance: The primary on which it runs.
        term: The primary's term when it began.
        conn: The pinned connection.
        connections: The pool of the connection.
        request_id: The request id recorded in it, or an empty string.
        wrote: Whether it has run any statement other than a read.
        busy: Whether a statement is running in it.
        used_at_s: The monotonic time at which its latest statement ended.
    """

    session: str
    peer: object
    instance: str
    term: int
    conn: TargetConn
    connections: InstanceConnections
    request_id: str = ""
    wrote: bool = False
    busy: bool = False
    used_at_s: float = field(default_factory=time.monotonic)

    def dispose(self, *, reuse: bool) -> None:
        """Unpin the connection, and close it unless it may be reused."""
        if not reuse:
            self.conn.close()
        self.connections.unpin(self.conn)


class TransactionRegistry:
    """The open transactions of one group, at most one for each session."""

    def __init__(self) -> None:
        self._open: dict[str, Transaction] = {}

    def __len__(self) -> int:
        return len(self._open)

    def find(self, session: str) -> Transaction | None:
        """Return a session's open transaction, or None."""
        return self._open.get(session)

    def add(self, transaction: Transaction) -> None:
        """Register a transaction that has begun."""
        self._open[transaction.session] = transaction

    def remove(self, transaction: Transaction, *, reuse: bool) -> None:
        """Remove a transaction and return its connection, or close it."""
        if self._open.pop(transaction.session, None) is transaction:
            transaction.dispose(reuse=reuse)

    def abort_session(self, session: str) -> None:
        """Roll back a session's transaction by closing its connection."""
        transaction = self._open.get(session)
        if transaction is not None:
            self.remove(transaction, reuse=False)

    def abort_peer(self, peer: object) -> list[str]:
        """Roll back all transactions of one link connection.

        Returns:
            The names of their sessions.
        """
        lost = [t for t in self._open.values() if t.peer is peer]
        for transaction in lost:
            self.remove(transaction, reuse=False)
        return [t.session for t in lost]

    def abort_idle(self, now_s: float) -> list[str]:
        """Roll back transactions that have passed the idle timeout.

        Args:
            now_s: The monotonic time.

        Returns:
            The names of their sessions.
        """
        idle = [
            t
            for t in self._open.values()
            if not t.busy and now_s - t.used_at_s > IDLE_TIMEOUT_S
        ]
        for transaction in idle:
            self.remove(transaction, reuse=False)
        return [t.session for t in idle]

    def abort_all(self) -> None:
        """Roll back every transaction."""
        for transaction in list(self._open.values()):
            self.remove(transaction, reuse=False)
