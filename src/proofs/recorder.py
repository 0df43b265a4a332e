"""Callers that record their requests and the outcomes."""

import asyncio
import contextlib
import random
import re
import time
from collections.abc import Callable, Sequence

import asyncmy

from proofs.history import Attempt, History, Outcome, Work
from wasabipitch.models import Address

# Longer than the deadlines of all request classes.
ATTEMPT_TIMEOUT_S = 12.0
CONNECT_TIMEOUT_S = 2.0
CONNECT_PAUSE_S = 0.1
THINK_TIME_S = 0.03
MAX_REPEATS = 5
FILLER_ROWS = 200
GROUP = "workshop"
SCHEMA = (
    "CREATE TABLE jobs (id INTEGER PRIMARY KEY AUTO_INCREMENT, "
    "session VARCHAR(40), value VARCHAR(40))",
    "CREATE TABLE payments (id INTEGER PRIMARY KEY AUTO_INCREMENT, "
    "session VARCHAR(40), value VARCHAR(40))",
    "CREATE TABLE pairs (id INTEGER PRIMARY KEY AUTO_INCREMENT, "
    "session VARCHAR(40), side VARCHAR(8), value VARCHAR(40))",
    "CREATE TABLE filler (n INTEGER PRIMARY KEY)",
    "INSERT INTO filler VALUES " + ", ".join(f"({n})" for n in range(FILLER_ROWS)),
)

_VERDICT = re.compile(r"\(verdict: (\w+)\)\s*$")
_REQUEST_ERRORS = (asyncmy.errors.Error, OSError, EOFError, TimeoutError, RuntimeError)

ListEntries = Callable[[], Sequence[Address]]


class Caller:
    """A caller that writes, reads, repeats requests and moves between entries.

    Args:
        name: The name of the caller, unique in the history.
        list_entries: Returns the current addresses of the entries.
        history: Records every attempt.
        seed: The seed of the caller's random choices.
    """

    def __init__(
        self, name: str, list_entries: ListEntries, history: History, seed: int
    ) -> None:
        self.name = name
        self._list_entries = list_entries
        self._history = history
        self._rng = random.Random(seed)
        self._number = 0
        self._others: tuple[str, ...] = (name,)
        self._conn: asyncmy.Connection | None = None
        self._arrival = 0
        self._entry = self._rng.randrange(100)
        self._steps = (
            (self._write_job, 4),
            (self._read_jobs, 4),
            (self._write_payment, 3),
            (self._write_pair, 3),
            (self._read_pairs, 3),
            (self._read_filler, 1),
            (self._roam_with_token, 1),
            (self._roam_without_token, 1),
        )

    def set_other_callers(self, others: Sequence[str]) -> None:
        """Set the callers whose rows this one reads besides its own."""
        self._others = tuple(others)

    async def run(self, stop: asyncio.Event) -> None:
        """Run random steps until the event is set; the current step is finished."""
        steps, weights = zip(*self._steps, strict=True)
        try:
            while not stop.is_set():
                (step,) = self._rng.choices(steps, weights)
                await step()
                await asyncio.sleep(self._rng.uniform(0, 2 * THINK_TIME_S))
        finally:
            self._disconnect()

    async def _write_job(self) -> None:
        value = self._next_value()
        insert = f"INSERT INTO jobs (session, value) VALUES ('{self.name}', '{value}')"
        await self._write(Work.JOB, value, insert)

    async def _write_payment(self) -> None:
        value = self._next_value()
        hint = f"/* wasabipitch: id={value}, class=payment */"
        insert = (
            f"{hint} INSERT INTO payments (session, value) "
            f"VALUES ('{self.name}', '{value}')"
        )
        for _ in range(MAX_REPEATS):
            outcome = await self._write(Work.PAYMENT, value, insert, request_id=value)
            if outcome not in (Outcome.MAY_HAVE_RUN, Outcome.NO_ANSWER):
                return
            await asyncio.sleep(CONNECT_PAUSE_S)

    async def _write(
        self, work: Work, value: str, statement: str, request_id: str = ""
    ) -> Outcome:
        await self._connect()
        sent_at_s = time.monotonic()
        outcome, error, affected = Outcome.OK, "", 1
        try:
            _, affected = await self._execute(statement)
        except _REQUEST_ERRORS as exc:
            outcome, error = self._classify_error(exc)
        self._history.add(
            Attempt(
                self.name,
                work,
                outcome,
                value,
                request_id,
                whole=affected == 1,
                sent_at_s=sent_at_s,
                answered_at_s=time.monotonic(),
                error=error or ("" if affected == 1 else f"{affected} rows affected"),
                arrival=self._arrival,
            )
        )
        return outcome

    async def _write_pair(self) -> None:
        value = self._next_value()
        request_id = value if self._rng.random() < 0.5 else ""
        undo = self._rng.random() < 0.3
        for _ in range(MAX_REPEATS if request_id else 1):
            outcome = await self._attempt_pair(value, request_id, undo)
            if outcome not in (Outcome.MAY_HAVE_RUN, Outcome.NO_ANSWER):
                return
            await asyncio.sleep(CONNECT_PAUSE_S)

    async def _attempt_pair(self, value: str, request_id: str, undo: bool) -> Outcome:
        await self._connect()
        sent_at_s = time.monotonic()
        hint = f"/* wasabipitch: id={request_id} */ " if request_id else ""
        outcome, error, committing = Outcome.ABORTED, "", False
        try:
            await self._execute(f"{hint}BEGIN")
            for side in ("left", "right"):
                await self._execute(
                    "INSERT INTO pairs (session, side, value) "
                    f"VALUES ('{self.name}', '{side}', '{value}')"
                )
            committing = not undo
            await self._execute("ROLLBACK" if undo else "COMMIT")
            outcome = Outcome.ABORTED if undo else Outcome.OK
        except _REQUEST_ERRORS as exc:
            outcome, error = self._classify_error(exc)
            # RAN means that an earlier attempt with this id took effect.
            if not committing and outcome is not Outcome.RAN:
                outcome = Outcome.ABORTED
            # The transaction may still be open; closing the connection ends it.
            self._disconnect()
        if outcome is Outcome.ABORTED and request_id and self._was_in_doubt(value):
            outcome = Outcome.NOT_RUN
        self._history.add(
            Attempt(
                self.name,
                Work.PAIR,
                outcome,
                value,
                request_id,
                sent_at_s=sent_at_s,
                answered_at_s=time.monotonic(),
                error=error,
                arrival=self._arrival,
            )
        )
        return outcome

    def _was_in_doubt(self, value: str) -> bool:
        in_doubt = (Outcome.MAY_HAVE_RUN, Outcome.NO_ANSWER)
        attempts = self._history.attempts
        return any(a.value == value and a.outcome in in_doubt for a in attempts)

    async def _read_jobs(self) -> None:
        await self._read(
            Work.READ_JOBS,
            self.name,
            f"SELECT value FROM jobs WHERE session = '{self.name}'",
        )

    async def _read_pairs(self) -> None:
        owner = self._rng.choice((self.name, *self._others))
        await self._read(
            Work.READ_PAIRS,
            owner,
            f"SELECT side || ':' || value FROM pairs WHERE session = '{owner}'",
        )

    async def _read_filler(self) -> None:
        await self._read(Work.READ_FILLER, "", "SELECT n FROM filler")

    async def _read(self, work: Work, owner: str, select: str) -> None:
        await self._connect()
        # The marker in each row shows that the reply belongs to this request.
        marker = f"{self.name}/{self._next_value()}"
        column, rest = select.removeprefix("SELECT ").split(" FROM ", 1)
        hint = "/* wasabipitch: class=lookup */ " if self._rng.random() < 0.5 else ""
        statement = (
            f"{hint}SELECT '{marker}', '' UNION ALL "
            f"SELECT '{marker}', {column} FROM {rest}"
        )
        sent_at_s = time.monotonic()
        outcome, error, rows = Outcome.OK, "", ()
        try:
            rows, _ = await self._execute(statement)
        except _REQUEST_ERRORS as exc:
            outcome, error = self._classify_error(exc)
        seen = tuple(str(row[1]) for row in rows if row[1] != "")
        whole = outcome is not Outcome.OK or _is_whole(work, marker, rows)
        self._history.add(
            Attempt(
                self.name,
                work,
                outcome,
                owner,
                seen=seen,
                whole=whole,
                sent_at_s=sent_at_s,
                answered_at_s=time.monotonic(),
                error=error,
                arrival=self._arrival,
            )
        )

    async def _roam_with_token(self) -> None:
        await self._connect()
        try:
            rows, _ = await self._execute("SELECT @@wasabipitch_token")
            self._roam()
            await self._connect()
            await self._execute(f"SET wasabipitch_token = '{rows[0][0]}'")
            self._arrival -= 1
        except _REQUEST_ERRORS:
            self._disconnect()

    async def _roam_without_token(self) -> None:
        self._roam()

    def _roam(self) -> None:
        self._disconnect()
        self._entry += 1

    async def _connect(self) -> None:
        while self._conn is None:
            entries = self._list_entries()
            address = entries[self._entry % len(entries)]
            try:
                self._conn = await asyncio.wait_for(
                    asyncmy.connect(
                        host=address.ip,
                        port=address.port,
                        user="app",
                        database=GROUP,
                        autocommit=True,
                        connect_timeout=CONNECT_TIMEOUT_S,
                    ),
                    CONNECT_TIMEOUT_S,
                )
                self._arrival += 1
            except _REQUEST_ERRORS:
                self._entry += 1
                await asyncio.sleep(CONNECT_PAUSE_S)

    def _disconnect(self) -> None:
        conn, self._conn = self._conn, None
        if conn is not None:
            with contextlib.suppress(*_REQUEST_ERRORS):
                conn.close()

    async def _execute(self, statement: str) -> tuple[tuple, int]:
        async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
            cursor = self._conn.cursor()
            await cursor.execute(statement)
            rows = await cursor.fetchall() if cursor.description else ()
            return tuple(rows), cursor.rowcount

    def _classify_error(self, exc: BaseException) -> tuple[Outcome, str]:
        """Return the outcome that an error means, and the text of the error.

        An error without a verdict closes the connection and moves the caller to
        the next entry.
        """
        text = str(exc) or type(exc).__name__
        message = str(exc.args[1]) if len(exc.args) > 1 else text
        match = _VERDICT.search(message)
        if match is None:
            self._disconnect()
            self._entry += 1
            return Outcome.NO_ANSWER, text
        return Outcome[match.group(1)], text

    def _next_value(self) -> str:
        self._number += 1
        return f"{self.name}-{self._number}"


class Recorder:
    """Runs concurrent callers and records their history.

    Args:
        list_entries: Returns the current addresses of the entries.
        callers: The number of callers.
        seed: The seed of all random choices.
    """

    def __init__(self, list_entries: ListEntries, callers: int, seed: int) -> None:
        self.history = History()
        self._stop = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        names = [f"s{seed}x{number}" for number in range(callers)]
        self._callers = [
            Caller(name, list_entries, self.history, seed * 1000 + number)
            for number, name in enumerate(names)
        ]
        for caller in self._callers:
            caller.set_other_callers(names)

    async def __aenter__(self) -> "Recorder":
        run = (caller.run(self._stop) for caller in self._callers)
        self._tasks = [asyncio.create_task(coro) for coro in run]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._stop.set()
        await asyncio.gather(*self._tasks)


def _is_whole(work: Work, marker: str, rows: Sequence[Sequence]) -> bool:
    if not rows or any(row[0] != marker for row in rows):
        return False
    if work is not Work.READ_FILLER:
        return True
    numbers = sorted(int(row[1]) for row in rows if row[1] != "")
    return numbers == list(range(FILLER_ROWS))
