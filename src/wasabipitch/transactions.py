"""Transactions: one connection is one session's from BEGIN to the end."""

import time
from dataclasses import dataclass, field

from wasabipitch.connections import InstanceConnections
from wasabipitch.targets import TargetConn

IDLE_TIMEOUT_S = 60.0


@dataclass(eq=False)
class Transaction:
    """An open transaction and the connection that carries it.

    Args:
        session: whose it is.
        peer: the link connection that the session's requests come over.
        instance: the primary it runs on.
        term: the primary's term when it began.
        request_id: recorded in it, or empty.
        wrote: whether anything but a read has run in it.
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
        """Give the connection back, or close it if its state is unknown."""
        if not reuse:
            self.conn.close()
        self.connections.unpin(self.conn)


class TransactionRegistry:
    """The open transactions of one group, by session."""

    def __init__(self) -> None:
        self._open: dict[str, Transaction] = {}

    def __len__(self) -> int:
        return len(self._open)

    def find(self, session: str) -> Transaction | None:
        """Return a session's open transaction, or None."""
        return self._open.get(session)

    def add(self, transaction: Transaction) -> None:
        """Keep a transaction that has begun."""
        self._open[transaction.session] = transaction

    def remove(self, transaction: Transaction, *, reuse: bool) -> None:
        """Forget a transaction and give back or close its connection."""
        if self._open.pop(transaction.session, None) is transaction:
            transaction.dispose(reuse=reuse)

    def abort_session(self, session: str) -> None:
        """Roll back a session's transaction by closing its connection."""
        transaction = self._open.get(session)
        if transaction is not None:
            self.remove(transaction, reuse=False)

    def abort_peer(self, peer: object) -> list[str]:
        """Roll back all transactions that came over a link; return the sessions."""
        lost = [t for t in self._open.values() if t.peer is peer]
        for transaction in lost:
            self.remove(transaction, reuse=False)
        return [t.session for t in lost]

    def abort_idle(self, now_s: float) -> list[str]:
        """Roll back transactions that were idle too long; return the sessions."""
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
