"""Accepts callers' connections and runs one task for each of them."""

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from wasabipitch import sockets, tasks
from wasabipitch.accounts.authentication import Authentication
from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import Configuration, Route
from wasabipitch.exceptions import MalformedMessage
from wasabipitch.front.budget import MemoryBudget
from wasabipitch.front.sessions import CallerSession, OperationLimits
from wasabipitch.group.session import SessionContext
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.operations.measures import Measures
from wasabipitch.policy.authorization import Refused
from wasabipitch.wire.codecs import CallerCodec
from wasabipitch.wire.lines import LineStream
from wasabipitch.wire.messages import (
    Code,
    Failure,
    Reply,
    Startup,
    Statement,
)

# A connection that sends no startup message is closed after this time. It is longer
# than the 2 s after which callers give up on an unanswered startup.
STARTUP_TIMEOUT_S = 10.0
# A host that has just started reads the configuration within tens of
# milliseconds; a caller that connects earlier waits for it at most this long.
CONFIGURATION_WAIT_S = 1.5
CONFIGURATION_POLL_S = 0.02
# A caller may send a name of any length up to that of a message.
MAX_LOGGED_CHARS = 100


class StatementRunner(Protocol):
    """Runs the statements of a group that need an instance."""

    async def run(
        self,
        session: SessionContext,
        statement: Statement,
        route: Route,
        arrived_s: float,
    ) -> Reply:
        """Run a statement and return the answer for its caller.

        Args:
            session: The caller's session.
            statement: What to run.
            route: The consistency and limits of the caller's database.
            arrived_s: When the statement was read, in seconds of ``now_s``.
        """


class CallerServer:
    """Listens for callers and keeps track of their sessions.

    Args:
        codec: Encodes and decodes the messages of callers.
        decisions: Logs the sessions that are refused.
        read_configuration: Returns the configuration in force, or None as long
            as the host has none.
        find_runner: Returns the runner of a group, or None if it is unknown.
        measures: Counts refused sessions and times the statements.
        authentication: Decides which account each statement is served for.
        budget: Bounds the connections and the memory that they hold.
        limits: Admits the operations of accounts, or None to admit all.
    """

    def __init__(
        self,
        codec: CallerCodec,
        decisions: DecisionLog,
        read_configuration: Callable[[], Configuration | None],
        find_runner: Callable[[str], StatementRunner | None],
        measures: Measures,
        authentication: Authentication,
        budget: MemoryBudget,
        limits: OperationLimits | None = None,
    ) -> None:
        self._measures = measures
        self._authentication = authentication
        self._budget = budget
        self._limits = limits
        self.sessions: set[CallerSession] = set()
        self._codec = codec
        self._decisions = decisions
        self._read_configuration = read_configuration
        self._find_runner = find_runner
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        # The number of callers whose startup message was read and is not answered.
        self._starting = 0

    async def start(self, listener: socket.socket) -> None:
        """Accept callers on a socket that is already listening."""
        loop = asyncio.get_running_loop()
        sockets.limit_buffers(listener, self._budget.plan.socket_bytes)
        self._server = await loop.create_server(self._make_stream, sock=listener)

    def stop_accepting(self) -> None:
        """Stop accepting callers; existing sessions continue."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the sessions without a statement or transaction in progress."""
        for session in list(self.sessions):
            session.close_if_idle()

    def abort_transactions(self) -> None:
        """Roll back the open transactions in which no statement runs."""
        for session in list(self.sessions):
            session.abort_transaction()

    @property
    def busy(self) -> int:
        """The number of sessions that start, or have work in progress."""
        return self._starting + sum(not session.is_idle for session in self.sessions)

    async def close(self) -> None:
        """Stop accepting callers and cancel all sessions."""
        self.stop_accepting()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _make_stream(self) -> asyncio.Protocol:
        memory = self._budget.open()
        if memory is None:
            return sockets.RefusedConnection()
        stream = memory.stream
        task = tasks.spawn(self._serve(stream), "session")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return stream

    async def _serve(self, stream: LineStream) -> None:
        try:
            startup = await self._read_startup(stream)
            if startup is not None:
                await self._run_session(stream, startup)
        except MalformedMessage as exc:
            self._budget.record_malformed()
            stream.write(
                self._codec.encode_failure(
                    Failure(Code.MALFORMED, exc.message.encode("ascii", "replace"))
                )
            )
        finally:
            stream.close()

    async def _read_startup(self, stream: LineStream) -> Startup | None:
        try:
            async with asyncio.timeout(STARTUP_TIMEOUT_S):
                line = await stream.read_line()
        except TimeoutError:
            return None
        if line is None:
            return None
        message = self._codec.decode(line)
        if not isinstance(message, Startup):
            raise MalformedMessage("the first message of a session must be its startup")
        return message

    async def _run_session(self, stream: LineStream, startup: Startup) -> None:
        self._starting += 1
        try:
            configuration = await self._wait_for_configuration(startup.database)
        finally:
            self._starting -= 1
        if configuration is None or startup.database not in configuration.routes:
            self._refuse_database(stream, startup, configuration)
            return
        refusal = self._authentication.check(startup)
        if isinstance(refusal, Refused):
            self._refuse_caller(stream, startup, refusal)
            return
        session = CallerSession(
            stream,
            self._codec,
            startup,
            self._read_configuration,
            self._find_runner,
            self._measures,
            self._authentication,
            self._limits,
        )
        self.sessions.add(session)
        stream.memory.started = True
        stream.memory.keep(len(startup.database) + len(startup.key))
        try:
            await session.run()
        finally:
            self.sessions.discard(session)

    async def _wait_for_configuration(self, database: str) -> Configuration | None:
        until_s = now_s() + CONFIGURATION_WAIT_S
        while now_s() < until_s and (
            self._read_configuration() is None
            or self._authentication.is_awaiting_proof(database)
        ):
            await asyncio.sleep(CONFIGURATION_POLL_S)
        return self._read_configuration()

    def _refuse_caller(
        self, stream: LineStream, startup: Startup, refusal: Refused
    ) -> None:
        self._measures.count("sessions_refused", reason=refusal.code.value)
        self._authentication.report(
            "session refused", refusal, database=startup.database
        )
        text = refusal.reason.encode("ascii", "replace")
        stream.write(self._codec.encode_failure(Failure(refusal.code, text)))

    def _refuse_database(
        self,
        stream: LineStream,
        startup: Startup,
        configuration: Configuration | None,
    ) -> None:
        code = Code.BUSY if configuration is None else Code.NO_DATABASE
        self._measures.count("sessions_refused", reason=code.value)
        self._decisions.request(
            "session refused",
            database=startup.database[:MAX_LOGGED_CHARS],
            code=code.value,
            version=configuration.version if configuration else None,
            at=round(now_s(), 3),
        )
        stream.write(self._codec.encode_failure(Failure(code, b"no such database")))
