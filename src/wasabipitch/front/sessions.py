"""Reads the statements of one caller's session and answers them in order."""

import asyncio
from collections.abc import Callable
from itertools import count
from typing import Any, Protocol

from wasabipitch.accounts.authentication import Authentication
from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import Account, Configuration, Route
from wasabipitch.exceptions import MalformedMessage
from wasabipitch.group.session import SessionContext
from wasabipitch.operations.measures import Measures
from wasabipitch.policy.authorization import Refused
from wasabipitch.policy.memory_budget import SMALL_BYTES
from wasabipitch.wire.codecs import CallerCodec
from wasabipitch.wire.lines import LineStream
from wasabipitch.wire.messages import (
    Code,
    Failure,
    Quit,
    Ready,
    Reply,
    SessionState,
    Shape,
    Startup,
    Statement,
    Verb,
)

DEFAULT_IDLE_TRANSACTION_S = 3.0
_session_numbers = count(1)
_TRANSACTION_END_VERBS = (Verb.COMMIT, Verb.ROLLBACK)
# The bookkeeping of one session value or prepared statement.
_ENTRY_BYTES = 200


def _measure(name: bytes, entry: bytes | Shape | None) -> int:
    """Return the bytes that a session value or prepared statement takes."""
    if entry is None:
        return 0
    text = entry.text if isinstance(entry, Shape) else entry
    return len(name) + len(text) + _ENTRY_BYTES


class OperationLimits(Protocol):
    """Admits the operations of accounts within their limits."""

    async def acquire(self, account: Account) -> str | None:
        """Return None if an operation may start, or the reason why it may not."""


class CallerSession:
    """Serves a caller's connection after its startup message.

    Args:
        stream: The caller's connection.
        codec: Encodes and decodes the messages of callers.
        startup: The first message, which names the database and the caller's key.
        read_configuration: Returns the configuration in force, or None.
        find_runner: Returns the runner of a group, or None if it is unknown.
        measures: Counts and times the statements.
        authentication: Decides which account each statement is served for.
        limits: Admits the operations of accounts, or None to admit all.
    """

    def __init__(
        self,
        stream: LineStream,
        codec: CallerCodec,
        startup: Startup,
        read_configuration: Callable[[], Configuration | None],
        find_runner: Callable[[str], Any],
        measures: Measures,
        authentication: Authentication,
        limits: OperationLimits | None = None,
    ) -> None:
        self._measures = measures
        self._startup = startup
        self._authentication = authentication
        self._limits = limits
        self._stream = stream
        self._memory = stream.memory
        self._codec = codec
        self._read_configuration = read_configuration
        self._find_runner = find_runner
        self._context = SessionContext(
            f"session-{next(_session_numbers)}", startup.database
        )
        self._route: Route | None = None
        self._runner: Any = None
        self._answering = False
        # True once this host has rolled a transaction back, until a statement of the
        # caller has failed with ``Code.ABORTED`` for it.
        self._abort_unreported = False
        # Whether the caller's key was refused, which ends the session.
        self._unauthenticated = False

    @property
    def is_idle(self) -> bool:
        """Whether no statement and no transaction is in progress."""
        busy = self._answering or self._stream.has_line
        return not busy and self._context.state is SessionState.IDLE

    def close_if_idle(self) -> None:
        """Close the connection, unless a statement or transaction is in progress."""
        if self.is_idle:
            self._stream.close()

    def abort_transaction(self) -> None:
        """Roll an open transaction back, unless one of its statements runs now.

        The caller's next statement, unless it is a ROLLBACK, fails with
        ``Code.ABORTED``.
        """
        if self._context.transaction is not None and not self._answering:
            self._context.drop_transaction()
            self._context.failed = True
            self._abort_unreported = True

    async def run(self) -> None:
        """Serve the session until the caller or this host ends it.

        Raises:
            MalformedMessage: If the caller sends a message that is not valid, after
                which its connection must be closed.
        """
        self._stream.write(self._codec.encode_ready(Ready(SessionState.IDLE)))
        try:
            while True:
                line = await self._read_line()
                if line is None:
                    return
                self._answering = True
                if not await self._answer_with_memory(line):
                    return
                self._answering = False
                await self._stream.drain()
        finally:
            self._context.drop_transaction()

    async def _read_line(self) -> bytes | None:
        while True:
            if self._context.transaction is None:
                return await self._stream.read_line()
            try:
                async with asyncio.timeout(self._idle_transaction_s()):
                    return await self._stream.read_line()
            except TimeoutError:
                self.abort_transaction()

    def _idle_transaction_s(self) -> float:
        configuration = self._read_configuration()
        if configuration is None:
            return DEFAULT_IDLE_TRANSACTION_S
        return configuration.idle_transaction_s

    async def _answer_with_memory(self, line: bytes) -> bool:
        """Answer a message once there is memory for it."""
        self._memory.used = True
        arrived_s = now_s()
        if len(line) + self._memory.kept < SMALL_BYTES:
            return await self._answer_line(line, arrived_s)
        if not await self._memory.begin_statement(len(line)):
            self._refuse_for_memory()
            return True
        try:
            return await self._answer_line(line, arrived_s)
        finally:
            self._memory.end_statement()

    def _refuse_for_memory(self) -> None:
        code = Code.BUSY
        if self._context.transaction is not None:
            # The caller can't go on as if the statement had run.
            self._context.drop_transaction()
            self._context.failed = True
            code = Code.ABORTED
        reply = self._make_failure_reply(code, "no memory is left for the statement")
        self._stream.write(self._codec.encode_reply(reply))

    async def _answer_line(self, line: bytes, arrived_s: float) -> bool:
        """Answer a message and return whether the session continues."""
        message = self._codec.decode(line)
        if isinstance(message, Quit):
            return False
        if isinstance(message, Startup):
            raise MalformedMessage("the session has already started")
        reply = self._refuse_unauthorized(message)
        if reply is None:
            reply = await self._run_statement(message, arrived_s)
        if reply is None:
            self._measures.count("statements_abandoned", verb=message.verb.value)
            return False
        self._record_latency(message, reply, now_s() - arrived_s)
        self._stream.write(self._codec.encode_reply(reply))
        return not self._unauthenticated

    def _refuse_unauthorized(self, statement: Statement) -> Reply | None:
        """Return the answer to a statement that its caller may not run, or None.

        The account of the session changes only between operations, since a transaction
        runs on a connection that belongs to its account.
        """
        context = self._context
        in_transaction = context.transaction is not None
        decision = self._authentication.check(
            self._startup, context.account if in_transaction else None
        )
        if not isinstance(decision, Refused):
            context.account = decision.account
            return None
        self._unauthenticated = decision.code is Code.NOT_AUTHENTICATED
        context.drop_transaction()
        if self._unauthenticated or statement.verb in _TRANSACTION_END_VERBS:
            context.failed = False
        else:
            context.failed = context.failed or in_transaction
        self._authentication.report(
            "request failed",
            decision,
            request=statement.request_id.decode("ascii", "replace"),
            session=context.session,
            database=context.database,
            verb=statement.verb.value,
        )
        return self._make_failure_reply(decision.code, decision.reason)

    def _record_latency(
        self, statement: Statement, reply: Reply, seconds: float
    ) -> None:
        route = self._route
        self._measures.observe(
            "statement_seconds",
            seconds,
            kind=route.consistency.value if route else "",
            verb=statement.verb.value,
            group=route.group if route else "",
            outcome=reply.code.value if reply.code else "ok",
        )

    async def _run_statement(
        self, statement: Statement, arrived_s: float
    ) -> Reply | None:
        """Run a statement and return its answer, or None if the caller disconnected."""
        context = self._context
        if context.failed and statement.verb not in _TRANSACTION_END_VERBS:
            aborted, self._abort_unreported = self._abort_unreported, False
            code = Code.ABORTED if aborted else Code.MALFORMED
            return self._make_failure_reply(code, "the transaction has failed")
        match statement.verb:
            case Verb.SET:
                self._store(context.values, statement.name, statement.value)
            case Verb.PREPARE:
                self._store(context.prepared, statement.name, statement.shape)
            case Verb.DEALLOCATE:
                self._store(context.prepared, statement.name, None)
            case Verb.BEGIN | Verb.BEGIN_READ:
                return self._begin(statement, arrived_s)
            case Verb.ROLLBACK:
                context.drop_transaction()
                context.failed = False
            case Verb.COMMIT if context.failed:
                context.failed = False
                return self._make_failure_reply(
                    Code.ABORTED, "the transaction had failed"
                )
            case _:
                return await self._run_on_group(statement, arrived_s)
        return Reply(state=context.state)

    def _store(
        self, entries: dict[bytes, Any], name: bytes, entry: bytes | Shape | None
    ) -> None:
        """Keep a session value or prepared statement, or remove it if it is None."""
        before = _measure(name, entries.get(name))
        if entry is None:
            entries.pop(name, None)
        else:
            entries[name] = entry
        self._memory.keep(_measure(name, entry) - before)

    def _begin(self, statement: Statement, arrived_s: float) -> Reply:
        # The transaction begins on an instance only with its first statement, so
        # that a caller that pauses after BEGIN holds no connection.
        if self._context.transaction is not None:
            return self._make_failure_reply(
                Code.MALFORMED, "a transaction is already open"
            )
        route = self._find_route()
        if route is None:
            return self._make_failure_reply(
                Code.NO_DATABASE, "the database was removed"
            )
        self._runner = None
        read_only = statement.verb is Verb.BEGIN_READ
        self._context.begin(read_only, arrived_s)
        return Reply(state=self._context.state)

    async def _run_on_group(
        self, statement: Statement, arrived_s: float
    ) -> Reply | None:
        if statement.verb is Verb.COMMIT and self._context.transaction is None:
            return self._make_failure_reply(Code.MALFORMED, "no transaction is open")
        in_transaction = self._context.transaction is not None
        route = self._route if in_transaction else self._find_route()
        if route is None:
            return self._make_failure_reply(
                Code.NO_DATABASE, "the database was removed"
            )
        runner = self._runner if in_transaction else None
        runner = runner or self._find_runner(route.group)
        if runner is None:
            return self._make_failure_reply(Code.BUSY, "the group is not known yet")
        # A transaction keeps its runner, even if the group gets another owner.
        self._runner = runner if in_transaction else None
        run_task = asyncio.ensure_future(
            self._run_within_limit(runner, statement, route, arrived_s)
        )
        return await self._wait_unless_closed(run_task)

    async def _run_within_limit(
        self, runner: Any, statement: Statement, route: Route, arrived_s: float
    ) -> Reply:
        """Run a statement, unless it begins an operation above its account's limit."""
        context = self._context
        reason = await self._admit(statement)
        if reason is None:
            return await runner.run(context, statement, route, arrived_s)
        if context.transaction is not None:
            context.drop_transaction()
            context.failed = True
        return self._make_failure_reply(Code.BUSY, reason)

    async def _admit(self, statement: Statement) -> str | None:
        """Take a token for the statement if it begins an operation with a limit.

        Returns:
            None if the statement may run, or the reason why it may not.
        """
        transaction = self._context.transaction
        configuration = self._read_configuration()
        if self._limits is None or configuration is None:
            return None
        account = configuration.accounts.get(self._context.account)
        if account is None or account.rate_per_s is None:
            return None
        if transaction is not None:
            # An empty transaction's COMMIT reaches no instance.
            if transaction.is_admitted or statement.verb is Verb.COMMIT:
                return None
            transaction.is_admitted = True
        return await self._limits.acquire(account)

    async def _wait_unless_closed(self, run_task: asyncio.Task) -> Reply | None:
        closed = asyncio.ensure_future(self._stream.closed.wait())
        try:
            await asyncio.wait([run_task, closed], return_when=asyncio.FIRST_COMPLETED)
            return run_task.result() if run_task.done() else None
        finally:
            closed.cancel()
            if not run_task.done():
                run_task.cancel()

    def _find_route(self) -> Route | None:
        configuration = self._read_configuration()
        if configuration is not None:
            self._route = configuration.routes.get(self._context.database)
        return self._route

    def _make_failure_reply(self, code: Code, reason: str) -> Reply:
        failure = Failure(code, reason.encode("ascii", "replace"))
        return Reply(failure=failure, state=self._context.state)
