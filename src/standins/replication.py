"""Replicates the log of the leader to a replica.

The replica requests the entries after its last position by the control call
`wasabipitch_log`, which waits for new entries, and applies each after the set lag.
"""

import asyncio
import contextlib
import logging
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial

import asyncmy
from asyncmy.connection import Connection
from asyncmy.errors import Error as MysqlClientError

from standins.controls import LogRow, decode_entry, decode_header
from standins.exceptions import LinkCutError
from standins.instance import Instance
from standins.log import Entry, Position

REPLICATION_PROGRAM = "standin-replication"
BATCH_ENTRIES = 500
LONG_POLL_MS = 500
ANSWER_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05

logger = logging.getLogger(__name__)


class Replicator:
    """Runs one task that pulls the log of the leader that the instance follows."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._task: asyncio.Task[None] | None = None

    def restart(self) -> None:
        """Replicate from the present leader, or stop if there is none."""
        if self._task is not None:
            self._puller.stopped = True
            self._task.cancel()
            self._task = None
        if self._instance.leader:
            self._puller = Puller(self._instance)
            self._task = asyncio.get_running_loop().create_task(self._puller.run())

    async def stop(self) -> None:
        """Stop the replication and wait until its task has ended."""
        if self._task is None:
            return
        self._puller.stopped = True
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self._task = None


class Puller:
    """Pulls the log of the leader that the instance follows at the start.

    Attributes:
        stopped: Set together with the cancellation of the task. The cancellation
            alone isn't enough: the client library connects under
            ``asyncio.wait_for``, which in Python 3.11 loses a cancellation that
            arrives just as the connection opens.
    """

    def __init__(self, instance: Instance) -> None:
        self.stopped = False
        self._instance = instance
        self._address = instance.leader
        self._term = instance.term
        self._leader_name = ""

    async def run(self) -> None:
        """Pull until stopped, and reconnect after each failure."""
        while not self.stopped:
            try:
                async with self._connect() as conn:
                    await self._pull(conn)
            except (MysqlClientError, OSError, LinkCutError) as exc:
                logger.info("replication from %s: %s", self._address, exc)
            except Exception:
                # Nothing restarts this task, so it has to survive every error.
                logger.exception("replication from %s failed", self._address)
            await asyncio.sleep(RETRY_DELAY_S)

    @contextlib.asynccontextmanager
    async def _connect(self) -> AsyncIterator[Connection]:
        self._check_link()
        host, _, port = self._address.rpartition(":")
        conn = await asyncmy.connect(
            host=host,
            port=int(port),
            user=self._instance.cfg.name,
            connect_timeout=CONNECT_TIMEOUT_S,
            autocommit=True,
            program_name=REPLICATION_PROGRAM,
        )
        try:
            yield conn
        finally:
            conn.close()

    async def _pull(self, conn: Connection) -> None:
        requested = self._instance.position
        while True:
            rows = await self._request_rows(conn, requested)
            header = decode_header(rows[0])
            self._leader_name = header.name
            self._check_link()
            if not self._accepts_term(rows[0].leader_term):
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if not header.known:
                # The logs differ at this position. The next request starts at an
                # older position that both logs may contain.
                leader_position = Position(rows[0].term, rows[0].index)
                requested = self._instance.log.greatest_up_to(leader_position)
                continue
            accepts = partial(self._accepts_term, rows[0].leader_term)
            await self._instance.rewind(requested, accepts)
            await self._apply_all(rows[1:], accepts)
            requested = self._instance.position

    async def _request_rows(
        self, conn: Connection, requested: Position
    ) -> list[LogRow]:
        poll_ms = LONG_POLL_MS if requested == self._instance.position else 0
        sql = (
            f"CALL wasabipitch_log({requested.term}, {requested.index}, "
            f"{BATCH_ENTRIES}, {poll_ms})"
        )
        rows = await _with_timeout(ANSWER_TIMEOUT_S, _query(conn, sql))
        return [LogRow(*row) for row in rows]

    async def _apply_all(self, rows: list[LogRow], accepts: Callable[[], bool]) -> None:
        for entry in [decode_entry(row) for row in rows]:
            await self._wait_until_due(entry)
            self._check_link()
            if not accepts():
                return
            self._instance.apply(entry)

    async def _wait_until_due(self, entry: Entry) -> None:
        due_at = entry.committed_at + self._instance.lag_ms / 1000
        delay = due_at - time.monotonic()
        if delay > 0:
            await asyncio.sleep(delay)

    def _accepts_term(self, leader_term: int) -> bool:
        inst = self._instance
        follows_leader = not inst.is_primary and inst.leader == self._address
        return follows_leader and leader_term >= max(inst.fence_term, 1)

    def _check_link(self) -> None:
        if self.stopped:
            raise LinkCutError("replication has stopped")
        if self._leader_name in self._instance.partitioned_users:
            raise LinkCutError(f"network partition from {self._leader_name}")


async def _query(conn: Connection, sql: str) -> list[tuple]:
    async with conn.cursor() as cursor:
        await cursor.execute(sql)
        return list(await cursor.fetchall())


async def _with_timeout(timeout_s: float, work: Awaitable[list[tuple]]) -> list[tuple]:
    try:
        async with asyncio.timeout(timeout_s):
            return await work
    except TimeoutError:
        raise LinkCutError(f"no answer within {timeout_s} s") from None
