"""Callers: client sessions at the entries that send the scheduled requests."""

import asyncio
import contextlib
import random
import time
from collections import Counter
from collections.abc import Sequence

import asyncmy
from asyncmy.errors import MySQLError

from bench.recording import Outcome, Recorder
from bench.schedule import Arrival
from wasabipitch.deployment import Deployment
from wasabipitch.models import Address

USER = "app"
CONNECT_TIMEOUT_S = 5.0
# The caller waits this long past the deadline, since the verdict of an expired
# request arrives only after its deadline.
ANSWER_GRACE_S = 5.0
ER_QUERY_TIMEOUT = 3024
EXPIRED_TEXT = "deadline passed"
UNSURE_TEXT = "MAY_HAVE_RUN"
RECONNECT_PAUSE_S = 0.05
TOKEN_QUERY = "SELECT @@wasabipitch_token"

ANSWER_ERRORS = (MySQLError, OSError, asyncio.IncompleteReadError)


async def connect(address: Address, group: str, user: str = USER):
    """Return a connection to an entry or an instance, in autocommit mode."""
    return await asyncmy.connect(
        host=address.ip,
        port=address.port,
        user=user,
        database=group,
        autocommit=True,
        connect_timeout=CONNECT_TIMEOUT_S,
    )


class Caller:
    """A client session that sends one request at a time.

    Args:
        number: the number of the caller within its group, and the id of the row
            that only this caller writes.
        group: the name of the database group.
        entries: the addresses of the entries that it may connect to.
        deployment: gives the deadline of each request class.
        queue: the arrivals of the group, shared with the group's other callers.
        recorder: receives the outcome of each request.
        rng: seeded; varies the delay before a reconnection.
    """

    def __init__(
        self,
        number: int,
        group: str,
        entries: Sequence[Address],
        deployment: Deployment,
        queue: asyncio.Queue[Arrival],
        recorder: Recorder,
        rng: random.Random,
    ) -> None:
        self._number = number
        self._group = group
        self._entries = entries
        self._entry = number % len(entries)
        self._deployment = deployment
        self._queue = queue
        self._recorder = recorder
        self._rng = rng
        self._conn = None
        self._last_written: Counter[str] = Counter()
        self._count = 0
        self._sent_s = 0.0

    async def open(self) -> None:
        """Connect to an entry."""
        self._conn = await connect(self._entries[self._entry], self._group)

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    async def run(self) -> None:
        """Send queued arrivals until cancelled."""
        while True:
            arrival = await self._queue.get()
            self._recorder.started(arrival)
            try:
                await self._process_arrival(arrival)
            except asyncio.CancelledError:
                self._recorder.record(arrival, Outcome.UNANSWERED)
                raise
            finally:
                self._queue.task_done()

    async def _process_arrival(self, arrival: Arrival) -> None:
        deadline_s = self._deployment.request_class(arrival.work.name).deadline_s
        left_s = deadline_s - self._recorder.age_s(arrival)
        if left_s <= 0:
            self._recorder.record(arrival, Outcome.UNSENT)
            return
        self._sent_s = time.monotonic()
        try:
            async with asyncio.timeout(left_s + ANSWER_GRACE_S):
                await self._prepare(arrival)
                outcome = await self._send(arrival, deadline_s)
        except TimeoutError:
            outcome = Outcome.UNANSWERED
            self.close()
        except ANSWER_ERRORS as exc:
            outcome = self._classify_error(arrival, exc)
        exchange_s = time.monotonic() - self._sent_s
        self._recorder.record(arrival, outcome, exchange_s)

    async def _prepare(self, arrival: Arrival) -> None:
        if self._conn is None:
            await asyncio.sleep(RECONNECT_PAUSE_S * self._rng.random())
            self._entry = (self._entry + 1) % len(self._entries)
            await self.open()
        elif arrival.roams:
            await self._roam(arrival.with_token)

    async def _roam(self, with_token: bool) -> None:
        token = await self._query(TOKEN_QUERY) if with_token else ()
        self.close()
        self._entry = (self._entry + 1) % len(self._entries)
        await self.open()
        if token:
            await self._query(f"SET wasabipitch_token = '{token[0]}'")

    async def _send(self, arrival: Arrival, deadline_s: float) -> Outcome:
        work = arrival.work
        self._count += 1
        # The exchange time excludes the time for a reconnection.
        self._sent_s = time.monotonic()
        row = await self._query(self._build_statement(arrival))
        if work.raises:
            self._last_written[work.raises] = self._count
        if work.reads and int(row[0]) < self._last_written[work.reads]:
            return Outcome.STALE
        in_time = self._recorder.age_s(arrival) <= deadline_s
        return Outcome.GOOD if in_time else Outcome.LATE

    def _build_statement(self, arrival: Arrival) -> str:
        work = arrival.work
        hints = []
        if work.hint:
            hints.append(f"class={work.name}")
        if work.with_id:
            hints.append(f"id={self._group}-{self._number}-{self._count}")
        text = work.statement.format(own=self._number, n=self._count)
        hint = f"/* wasabipitch: {', '.join(hints)} */ " if hints else ""
        return f"{hint}{text} /* work_ms={work.work_ms} */"

    async def _query(self, sql: str) -> Sequence:
        async with self._conn.cursor() as cursor:
            await cursor.execute(sql)
            if cursor.description is None:
                return ()
            rows = await cursor.fetchall()
        return rows[0] if rows else ()

    def _classify_error(self, arrival: Arrival, exc: Exception) -> Outcome:
        code = exc.args[0] if exc.args else 0
        text = str(exc)
        if not isinstance(exc, MySQLError) or code in (2003, 2006, 2013):
            self.close()
            return Outcome.FAILED
        if UNSURE_TEXT in text:
            return Outcome.UNSURE
        if code == ER_QUERY_TIMEOUT:
            self._recorder.record_refusal(arrival, str(exc.args[-1]))
            return Outcome.EXPIRED if EXPIRED_TEXT in text else Outcome.REFUSED
        self._recorder.record_error(text)
        return Outcome.FAILED


@contextlib.asynccontextmanager
async def running(callers: Sequence[Caller]):
    """Connect the callers and run them within the context, then close them."""
    for start in range(0, len(callers), 50):
        await asyncio.gather(*(c.open() for c in callers[start : start + 50]))
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for caller in callers:
            caller.close()
