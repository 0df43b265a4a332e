"""The connections of one pool process to one instance."""

import asyncio
import logging
import time
from collections import deque

from wasabipitch.exceptions import TargetDown
from wasabipitch.models import Address
from wasabipitch.targets import Connector, TargetConn

# Reserved on each instance for two replicas and for the control connections of two
# pools.
RESERVED_CONNECTIONS = 6
MAX_CONCURRENT_CONNECTS = 2
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0

logger = logging.getLogger(__name__)


def connection_limit(declared: int, share: float) -> int:
    """Return how many connections a pool may open to an instance.

    Args:
        declared: The instance's limit for the connections of all clients.
        share: The pool's share of them, between 0 and 1.
    """
    usable = max(2, declared - RESERVED_CONNECTIONS)
    return max(1, int(usable * share))


class InstanceConnections:
    """Checks out connections to one instance and takes them back for reuse.

    Args:
        connector: Opens the connections.
        address: The address of the instance.
        database: The name of the group.
        limit: The greatest number of connections that may be open at once.
    """

    def __init__(
        self, connector: Connector, address: Address, database: str, limit: int
    ) -> None:
        self.limit = limit
        self._connector = connector
        self._address = address
        self._database = database
        self._idle: deque[TargetConn] = deque()
        self._checked_out: set[TargetConn] = set()
        self._pinned: set[TargetConn] = set()
        self._opened_at_s: dict[TargetConn, float] = {}
        self._opening = 0
        self._freed = asyncio.Event()
        self._connect_semaphore = asyncio.Semaphore(MAX_CONCURRENT_CONNECTS)
        self._closed = False

    @property
    def open(self) -> int:
        """The number of connections that are open or being opened."""
        return len(self._idle) + len(self._checked_out) + self._opening

    @property
    def checked_out(self) -> int:
        """The number of connections that are checked out."""
        return len(self._checked_out)

    def opened_at_s(self, conn: TargetConn) -> float:
        """Return the monotonic time at which an open connection was opened."""
        return self._opened_at_s[conn]

    async def acquire(self) -> TargetConn:
        """Check out a connection for one statement or transaction.

        The call waits while as many connections as the limit allows are checked out.

        Raises:
            TargetDown: The instance can't be reached.
        """
        while True:
            while self._idle:
                conn = self._idle.pop()
                if conn.usable:
                    self._checked_out.add(conn)
                    return conn
                self._discard(conn)
            if self.open < self.limit:
                conn = await self._open()
                self._checked_out.add(conn)
                return conn
            self._freed.clear()
            await self._freed.wait()

    def pin(self, conn: TargetConn) -> None:
        """Keep a connection checked out for a transaction, until ``unpin``."""
        self._pinned.add(conn)

    def unpin(self, conn: TargetConn) -> None:
        """Return the connection of a transaction that has ended."""
        self._pinned.discard(conn)
        self.release(conn)

    def release(self, conn: TargetConn) -> None:
        """Return a connection; one that can't be reused is closed.

        A pinned connection stays checked out until it is unpinned.
        """
        if conn in self._pinned:
            return
        self._checked_out.discard(conn)
        # A later statement must never run inside a transaction that was left open.
        reusable = conn.usable and not conn.in_transaction
        if reusable and not self._closed and self.open < self.limit:
            self._idle.append(conn)
        else:
            self._discard(conn)
        self._freed.set()

    async def open_ahead(self, count: int) -> None:
        """Open connections until ``count`` are open, within the limit.

        Raises:
            TargetDown: The instance can't be reached.
        """
        while self.open < min(count, self.limit) and not self._closed:
            conn = await self._open()
            self._idle.append(conn)
            self._freed.set()

    def drop_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._discard(self._idle.pop())

    def reset(self) -> None:
        """Close all open connections; new ones may be opened afterwards.

        A statement that was running on one of them may have taken effect.
        """
        self.drop_idle()
        for conn in list(self._checked_out):
            conn.close()

    def close(self) -> None:
        """Close all connections, including those that are checked out; open no more."""
        self._closed = True
        self.reset()

    async def _open(self) -> TargetConn:
        self._opening += 1
        try:
            async with self._connect_semaphore:
                conn = await self._connector.connect(self._address, self._database)
            self._opened_at_s[conn] = time.monotonic()
            return conn
        finally:
            self._opening -= 1
            self._freed.set()

    def _discard(self, conn: TargetConn) -> None:
        self._opened_at_s.pop(conn, None)
        conn.close()


async def keep_open(connections: InstanceConnections, count_wanted) -> None:
    """Keep connections open ahead of need, until cancelled.

    While the instance can't be reached, one connection at a time is tried, with
    exponential backoff, so that an instance that recovers meets no burst of connects.

    Args:
        connections: The connections to one instance.
        count_wanted: Returns how many connections should be open now.
    """
    delay_s = MIN_RETRY_DELAY_S
    while True:
        try:
            await connections.open_ahead(count_wanted())
            delay_s = MIN_RETRY_DELAY_S
        except TargetDown as exc:
            logger.debug("can't open connections ahead of need: %s", exc)
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)
        await asyncio.sleep(delay_s)
