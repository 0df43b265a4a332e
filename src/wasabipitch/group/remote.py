"""Runs statements on another host that owns the group.

``RemoteRunner`` sends statements to owners; ``StatementService`` runs them there.
"""

import asyncio
from collections.abc import Callable

import msgspec
from msgspec.structs import replace

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import Route
from wasabipitch.exceptions import LinkDown, LinkError, LinkLost
from wasabipitch.group.request import NO_PRIMARY
from wasabipitch.group.runner import GroupRunner
from wasabipitch.group.session import SessionContext, Transaction
from wasabipitch.links import RemoteError
from wasabipitch.models import Host
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.peer_links import PeerLinks
from wasabipitch.peer_messages import EndTransaction, RunStatement, StatementReply
from wasabipitch.wire.messages import (
    Code,
    Failure,
    Reply,
    SessionState,
    Statement,
    Verb,
)

# Added to the statement's own time limit for the reply to travel back.
REPLY_MARGIN_S = 0.05
# A read is sent to another owner too after this share of its response-time objective.
# The first owner hedges the read on a second of its instances before that.
HEDGE_OBJECTIVE_SHARE = 0.75
# An owner that did not answer is tried after all others for this long.
AVOID_OWNER_S = 2.0
MAX_OWNERS_TRIED = 3


class RemoteTransaction:
    """Stands for a transaction's checkout while it runs on an owner.

    Args:
        owner: The host that runs the transaction.
        end: Tells that host that the transaction is over.
    """

    def __init__(self, owner: Host, end: Callable[[Host], None]) -> None:
        self.owner = owner
        self._notify_end = end

    def release(self) -> None:
        """Tell the owner that the transaction is over, so that it rolls back."""
        self._notify_end(self.owner)


class RemoteRunner:
    """Runs a group's statements on its owners.

    Args:
        group: The name of the group.
        links: The links to the peers.
        find_owners: Returns the other owners in the order in which to try them.
        decisions: The log of decisions.
        find_account_owners: Returns them in the order for the statements of an
            account, or None if accounts make no difference.
    """

    def __init__(
        self,
        group: str,
        links: PeerLinks,
        find_owners: Callable[[], list[Host]],
        decisions: DecisionLog,
        find_account_owners: Callable[[str], list[Host]] | None = None,
    ) -> None:
        self._group = group
        self._links = links
        self._find_owners = find_owners
        self._find_account_owners = find_account_owners
        self._decisions = decisions
        self._avoid_until_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()

    async def run(
        self,
        session: SessionContext,
        statement: Statement,
        route: Route,
        arrived_s: float,
    ) -> Reply:
        """Run a statement and return the answer for its caller."""
        message = self._make_message(session, statement, route, arrived_s)
        transaction = session.transaction
        if transaction is not None and transaction.checkout is not None:
            return await self._run_pinned(session, message, transaction)
        if transaction is None and not _writes(message):
            return await self._run_read(session, message, route)
        return await self._run_once(session, message, transaction)

    async def _run_pinned(
        self, session: SessionContext, message: RunStatement, transaction: Transaction
    ) -> Reply:
        owner = transaction.checkout.owner
        transaction.wrote = transaction.wrote or _writes(message)
        try:
            reply = await self._ask(owner, message)
        except LinkError as exc:
            unknown = message.statement.verb is Verb.COMMIT and transaction.wrote
            code = Code.UNKNOWN if unknown else Code.ABORTED
            return self._fail(session, message, code, str(exc))
        return self._apply_reply(session, reply)

    async def _run_once(
        self,
        session: SessionContext,
        message: RunStatement,
        transaction: Transaction | None,
    ) -> Reply:
        if transaction is not None:
            transaction.wrote = _writes(message)
        for owner in self._order_owners(session.account):
            if transaction is not None:
                # Set before the answer is known: an owner must be told of the end of
                # a transaction, too, if its answer came too late or is never read.
                transaction.checkout = self._pin(session, transaction, owner)
            try:
                reply = await self._ask(owner, message)
            except LinkDown:
                if transaction is not None:
                    transaction.checkout = None
                continue
            except LinkError as exc:
                # The owner rolls back a transaction whose commit was not sent, so its
                # outcome is known.
                in_open_transaction = (
                    transaction is not None
                    and message.statement.verb is not Verb.COMMIT
                )
                code = Code.ABORTED if in_open_transaction else Code.UNKNOWN
                return self._fail(session, message, code, str(exc))
            if reply.text == NO_PRIMARY.encode():
                # The statement did not run, and another owner may reach the primary.
                self._avoid_until_s[owner.name] = now_s() + AVOID_OWNER_S
                if transaction is not None:
                    transaction.checkout = None
                continue
            return self._apply_reply(session, reply)
        return self._fail(session, message, Code.BUSY, "no owner can be reached")

    async def _run_read(
        self, session: SessionContext, message: RunStatement, route: Route
    ) -> Reply:
        hedge_after_s = route.objective_s * HEDGE_OBJECTIVE_SHARE
        tasks: set[asyncio.Task[StatementReply]] = set()
        try:
            for owner in self._order_owners(session.account):
                tasks.add(asyncio.ensure_future(self._ask(owner, message)))
                reply = await self._await_first(tasks, hedge_after_s)
                if reply is not None:
                    return self._apply_reply(session, reply)
            reply = await self._await_first(tasks, message.left_s)
            if reply is not None:
                return self._apply_reply(session, reply)
        finally:
            for task in tasks:
                task.cancel()
        return self._fail(session, message, Code.BUSY, "no owner answers")

    async def _await_first(
        self, tasks: set[asyncio.Task[StatementReply]], timeout_s: float
    ) -> StatementReply | None:
        """Return the first answer, or None; removes finished tasks from ``tasks``."""
        until_s = now_s() + timeout_s
        while tasks:
            done, _ = await asyncio.wait(
                tasks,
                timeout=max(0.0, until_s - now_s()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                return None
            for task in done:
                tasks.discard(task)
                if task.exception() is None:
                    return task.result()
        return None

    async def _ask(self, owner: Host, message: RunStatement) -> StatementReply:
        timeout_s = message.left_s + REPLY_MARGIN_S
        try:
            async with asyncio.timeout(timeout_s):
                return await self._links.find(owner).call(message, timeout_s)
        except TimeoutError as exc:
            self._avoid_until_s[owner.name] = now_s() + AVOID_OWNER_S
            raise LinkLost(f"no answer of {owner.name}") from exc
        except RemoteError as exc:
            raise LinkLost(f"{owner.name}: {exc.message}") from exc
        except LinkError:
            self._avoid_until_s[owner.name] = now_s() + AVOID_OWNER_S
            raise

    def is_avoided(self, owner: Host) -> bool:
        """Return whether an owner did not answer lately."""
        return self._avoid_until_s.get(owner.name, 0.0) > now_s()

    def _order_owners(self, account: str) -> list[Host]:
        at_s = now_s()
        if account and self._find_account_owners is not None:
            owners = self._find_account_owners(account)
        else:
            owners = self._find_owners()
        owners.sort(key=lambda owner: self._avoid_until_s.get(owner.name, 0.0) > at_s)
        return owners[:MAX_OWNERS_TRIED]

    def _make_message(
        self,
        session: SessionContext,
        statement: Statement,
        route: Route,
        arrived_s: float,
    ) -> RunStatement:
        transaction = session.transaction
        if statement.verb is Verb.EXECUTE:
            # The owner executes its own name for the shape with these arguments, which
            # the text would only repeat.
            statement = replace(statement, text=b"")
        return RunStatement(
            session=session.session,
            statement=statement,
            route=route,
            left_s=max(0.0, route.timeout_s - (now_s() - arrived_s)),
            values=session.values,
            shape=session.prepared.get(statement.name),
            floor=session.floor,
            in_transaction=transaction is not None,
            read_only=transaction is not None and transaction.read_only,
            begins=transaction is not None and transaction.checkout is None,
            transaction=transaction.number if transaction is not None else 0,
            account=session.account,
        )

    def _pin(
        self, session: SessionContext, transaction: Transaction, owner: Host
    ) -> RemoteTransaction:
        end = EndTransaction(session.session, transaction.number)
        return RemoteTransaction(owner, lambda host: self._notify_end(end, host))

    def _apply_reply(self, session: SessionContext, reply: StatementReply) -> Reply:
        session.floor = max(session.floor, reply.floor)
        transaction = session.transaction
        if transaction is not None and reply.state is not SessionState.IN_TRANSACTION:
            # The owner has ended the transaction.
            session.transaction = None
            session.failed = reply.state is SessionState.FAILED_TRANSACTION
        failure = Failure(reply.code, reply.text) if reply.code else None
        return Reply(reply.rows, reply.signature, failure, session.state)

    def _fail(
        self, session: SessionContext, message: RunStatement, code: Code, reason: str
    ) -> Reply:
        if session.transaction is not None:
            session.drop_transaction()
            session.failed = message.statement.verb is not Verb.COMMIT
        self._decisions.request(
            "request failed",
            request=message.statement.request_id.decode("ascii", "replace"),
            session=session.session,
            account=session.account,
            group=self._group,
            code=code.value,
            reason=reason,
        )
        failure = Failure(code, reason.encode("ascii", "replace"))
        return Reply(failure=failure, state=session.state)

    def _notify_end(self, end: EndTransaction, owner: Host) -> None:
        task = asyncio.ensure_future(self._send_end(end, owner))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_end(self, end: EndTransaction, owner: Host) -> None:
        try:
            await self._links.find(owner).call(end)
        except (LinkError, RemoteError) as exc:
            # The owner ends the transaction by itself when the link closes or the
            # transaction has been idle for too long.
            self._decisions.routine("end not sent", owner=owner.name, reason=str(exc))


def _writes(message: RunStatement) -> bool:
    if message.statement.verb is Verb.EXECUTE:
        return message.shape is not None and message.shape.writes
    return message.statement.verb is Verb.WRITE


class OwnedTransaction(msgspec.Struct, eq=False):
    """A transaction that this host runs for a session of another host.

    Args:
        context: The state of the session that the transaction needs.
        number: The number of the transaction in its session.
        running: Whether one of its statements runs now.
    """

    context: SessionContext
    number: int
    running: bool = True


class StatementService:
    """Runs statements that other hosts send to this host as an owner.

    A host that forwards statements may give one up while it runs here, or after its
    answer was sent. So a transaction goes on only with statements of its own number,
    and any other statement of its session shows that it is over.

    Args:
        find_runner: Returns the runner of a group, or None if the group is unknown.
    """

    def __init__(self, find_runner: Callable[[str], GroupRunner | None]) -> None:
        self._find_runner = find_runner
        # The latest transaction of each session, by link and session id.
        self._transactions: dict[tuple[object, str], OwnedTransaction] = {}

    async def run(self, connection: object, message: RunStatement) -> StatementReply:
        """Run a statement and return its answer.

        Args:
            connection: The link that the statement arrived over.
            message: The statement with the state of its session.
        """
        key = (connection, message.session)
        if not message.in_transaction:
            self._end(key)
            return await self._run(self._make_context(message), message)
        owned = self._transactions.get(key)
        if owned is not None and owned.number != message.transaction:
            self._end(key)
            owned = None
        if owned is None:
            if not message.begins:
                return _refuse("the transaction has ended", aborted=True)
            context = self._make_context(message)
            context.transaction = Transaction(
                message.read_only, now_s(), number=message.transaction
            )
            owned = OwnedTransaction(context, message.transaction)
            self._transactions[key] = owned
        elif owned.running:
            self._end(key)
            return _refuse("a statement of the transaction still runs", aborted=True)
        return await self._run_in_transaction(key, owned, message)

    async def _run_in_transaction(
        self,
        key: tuple[object, str],
        owned: OwnedTransaction,
        message: RunStatement,
    ) -> StatementReply:
        owned.running = True
        try:
            return await self._run(owned.context, message)
        finally:
            owned.running = False
            if self._transactions.get(key) is not owned:
                # It was ended while the statement ran.
                owned.context.drop_transaction()
            elif owned.context.transaction is None:
                del self._transactions[key]

    def _make_context(self, message: RunStatement) -> SessionContext:
        database, account = message.route.database, message.account
        return SessionContext(message.session, database, account=account)

    async def _run(
        self, context: SessionContext, message: RunStatement
    ) -> StatementReply:
        runner = self._find_runner(message.route.group)
        if runner is None:
            context.drop_transaction()
            return _refuse("the group is not known", message.in_transaction)
        arrived_s = now_s() - message.route.timeout_s + message.left_s
        context.values, context.account = message.values, message.account
        context.floor = max(context.floor, message.floor)
        if message.shape is not None:
            context.prepared[message.statement.name] = message.shape
        try:
            reply = await runner.run(
                context, message.statement, message.route, arrived_s
            )
        except asyncio.CancelledError:
            context.drop_transaction()
            raise
        return StatementReply(
            rows=reply.rows,
            signature=reply.signature,
            code=reply.code,
            text=reply.failure.text if reply.failure else b"",
            state=reply.state,
            floor=context.floor,
        )

    def refuse(
        self, connection: object, message: RunStatement, reason: str
    ) -> StatementReply:
        """Refuse a statement that has not run, and roll its transaction back."""
        self._end((connection, message.session))
        return _refuse(reason, message.in_transaction)

    def end(self, connection: object, session: str, number: int) -> None:
        """Roll back a transaction of a session, unless it is over.

        Args:
            connection: The link that its statements arrived over.
            session: The session's id.
            number: The number of the transaction in its session.
        """
        owned = self._transactions.get((connection, session))
        if owned is not None and owned.number == number:
            self._end((connection, session))

    async def end_all(self, connection: object) -> None:
        """Roll back all transactions that arrived over a link that has closed."""
        for key in [key for key in self._transactions if key[0] is connection]:
            self._end(key)

    def _end(self, key: tuple[object, str]) -> None:
        owned = self._transactions.pop(key, None)
        # A statement that still runs holds the connection; its end drops it.
        if owned is not None and not owned.running:
            owned.context.drop_transaction()


def _refuse(reason: str, aborted: bool) -> StatementReply:
    return StatementReply(
        rows=(),
        signature=None,
        code=Code.ABORTED if aborted else Code.BUSY,
        text=reason.encode(),
        state=SessionState.FAILED_TRANSACTION if aborted else SessionState.IDLE,
    )
