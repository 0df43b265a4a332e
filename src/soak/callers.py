"""Callers that write and read, and check the replies."""

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from soak.history import NOT_RUN_CODES, AcknowledgedWrite, History
from wasabipitch.clock import now_s
from wasabipitch.models import Address

ANSWER_TIMEOUT_S = 4.0
CONNECT_TIMEOUT_S = 1.0
# The pause before a caller connects again after a failed attempt.
RETRY_PAUSE_S = 0.1
THINK_TIME_S = 0.02
# The key that callers use unless another one is given.
DEFAULT_KEY = "lasting"
_request_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class Database:
    """The read consistency of a database.

    Args:
        max_age_s: The maximum age of the data in seconds; 0 requires the latest.
        own_writes: Whether a session always sees its own writes.
    """

    max_age_s: float
    own_writes: bool


class Disconnected(Exception):
    """The connection to a host is closed, or no reply came in time."""


class Refused(Disconnected):
    """The host refused the session.

    Args:
        code: The error code.
    """

    def __init__(self, code: str) -> None:
        super().__init__(f"the host refused the session: {code}")
        self.code = code


class Connection:
    """A session with a host over the line protocol."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(
        cls, address: Address, database: str, key: str = DEFAULT_KEY
    ) -> "Connection":
        """Connect to a host and start a session.

        Raises:
            Refused: The host answers the startup with an error.
            Disconnected: The host does not accept the connection in time.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                streams = await asyncio.open_connection(address.ip, address.port)
        except (OSError, TimeoutError) as exc:
            raise Disconnected(str(exc)) from exc
        conn = cls(*streams)
        await conn._exchange(f"STARTUP {database} {key}\r\n")
        return conn

    async def execute(self, text: str) -> tuple[str, str]:
        """Run a statement.

        Returns:
            ``ok`` or an error code, and the first row or ``-``.

        Raises:
            Disconnected: The connection is closed, or no reply came in time.
        """
        lines = await self._exchange(f"QUERY {next(_request_numbers):x} {text}\r\n")
        row = next((ln[4:] for ln in lines if ln.startswith("ROW ")), "-")
        failure = next((ln for ln in lines if ln.startswith("ERROR ")), None)
        return ("ok" if failure is None else failure.split()[1]), row

    async def _exchange(self, message: str) -> list[str]:
        self._writer.write(message.encode())
        lines: list[str] = []
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while not lines or not lines[-1].startswith("READY"):
                    line = await self._reader.readline()
                    if not line and lines and lines[-1].startswith("ERROR "):
                        raise Refused(lines[-1].split()[1])
                    if not line:
                        raise Disconnected("connection closed by the host")
                    lines.append(line.decode().strip())
        except (OSError, TimeoutError) as exc:
            raise Disconnected(str(exc)) from exc
        return lines

    def send(self, text: str) -> None:
        """Send a statement without waiting for the reply."""
        request = f"{next(_request_numbers):x}"
        self._writer.write(f"QUERY {request} {text}\r\n".encode())

    def close(self) -> None:
        """Abort the connection."""
        self._writer.transport.abort()


class Caller:
    """A caller that is the only writer of two items and reads those of all callers.

    Args:
        name: The name of the caller, from which its items are named.
        databases: The databases that it may connect to, by name.
        read_addresses: Returns the addresses on which the hosts accept callers.
        all_items: The items of all callers.
        history: Records and checks the results.
        rng: The source of all random choices of the caller.
    """

    def __init__(
        self,
        name: str,
        databases: dict[str, Database],
        read_addresses: Callable[[], list[Address]],
        all_items: list[str],
        history: History,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.items = (f"{name}-a", f"{name}-b")
        self._databases = databases
        self._read_addresses = read_addresses
        self._all_items = all_items
        self._history = history
        self._rng = rng
        self._version = 0

    async def run(self) -> None:
        """Open sessions and run statements until cancelled."""
        while True:
            database = self._rng.choice(list(self._databases))
            address = self._rng.choice(self._read_addresses())
            try:
                conn = await Connection.open(address, database)
            except Disconnected as exc:
                self._history.outcomes["no session"] += 1
                if isinstance(exc, Refused):
                    self._history.check_refusal(exc.code)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            try:
                await self._run_session(conn, database)
            except Disconnected:
                self._history.outcomes["disconnected"] += 1
            finally:
                conn.close()

    async def _run_session(self, conn: Connection, database: str) -> None:
        # Own writes are per session: another session of the caller may miss them.
        session = f"{self.name}/{next(_request_numbers)}"
        for _ in range(self._rng.randint(1, 30)):
            work = self._rng.random()
            if work < 0.2:
                await self._write(conn, session)
            elif work < 0.35:
                await self._run_transaction(conn, session)
            else:
                await self._read(conn, session, self._databases[database])
            await asyncio.sleep(self._rng.expovariate(1 / THINK_TIME_S))

    async def _write(self, conn: Connection, session: str) -> None:
        item, data = self.items[0], self._next_data()
        code, _ = await conn.execute(f"WRITE {item} {data}")
        self._record_write(session, (item,), data, code)

    async def _run_transaction(self, conn: Connection, session: str) -> None:
        data = self._next_data()
        texts = ["BEGIN", *(f"WRITE {item} {data}" for item in self.items), "COMMIT"]
        for text in texts:
            code, _ = await conn.execute(text)
            if code != "ok":
                self._record_write(session, self.items, data, code)
                await conn.execute("ROLLBACK")
                return
            await asyncio.sleep(self._rng.expovariate(1 / THINK_TIME_S))
        self._record_write(session, self.items, data, "ok")

    async def _read(self, conn: Connection, session: str, database: Database) -> None:
        item, started_s = self._rng.choice(self._all_items), now_s()
        code, data = await conn.execute(f"READ {item}")
        self._history.outcomes[f"read {code}"] += 1
        self._history.check_refusal(code)
        if code == "ok":
            reader = session if database.own_writes else ""
            self._history.check_read(item, data, started_s, database.max_age_s, reader)

    def _next_data(self) -> str:
        self._version += 1
        return f"{self._version}.{self.name}"

    def _record_write(
        self, session: str, items: tuple[str, ...], data: str, code: str
    ) -> None:
        self._history.outcomes[f"write {code}"] += 1
        self._history.check_refusal(code)
        if code == "ok":
            write = AcknowledgedWrite(now_s(), self._version, session)
            self._history.record_acknowledged(items, write, data)
        elif code in NOT_RUN_CODES:
            self._history.record_not_run(data, code)
