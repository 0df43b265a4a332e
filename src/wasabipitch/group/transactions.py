"""Runs transactions, each on one connection from its first statement to its end.

A transaction begins on an instance only when its first statement arrives.
"""

import asyncio

from msgspec.structs import replace

from wasabipitch.clock import now_s
from wasabipitch.exceptions import InstanceLost, PrimaryReplaced
from wasabipitch.group.exchange import InstanceExchange
from wasabipitch.group.request import Request, StatementFailed
from wasabipitch.group.selection import ConnectionSelector
from wasabipitch.group.session import Transaction
from wasabipitch.group.state import GroupState
from wasabipitch.group.writes import WriteRunner
from wasabipitch.instances.dispatcher import Checkout
from wasabipitch.models import Position
from wasabipitch.wire.codecs import InstanceCodec
from wasabipitch.wire.messages import Code, Reply, SessionState, Verb


class TransactionRunner:
    """Runs the statements of open transactions on one group."""

    def __init__(
        self,
        state: GroupState,
        codec: InstanceCodec,
        exchange: InstanceExchange,
        selector: ConnectionSelector,
        writes: WriteRunner,
    ) -> None:
        self._state = state
        self._codec = codec
        self._exchange = exchange
        self._selector = selector
        self._writes = writes

    async def run(self, req: Request, transaction: Transaction) -> Reply:
        """Run a statement of a transaction and return its answer.

        Raises:
            StatementFailed: The statement was refused or failed, or the outcome of
                the commit is unknown.
        """
        session = req.session
        if req.statement.verb is Verb.EXECUTE and req.shape is None:
            raise StatementFailed(Code.NO_STATEMENT, "no such prepared statement")
        checkout = transaction.checkout
        if checkout is not None and checkout.conn.account != session.account:
            raise StatementFailed(
                Code.ABORTED, "the session's account changed during the transaction"
            )
        while True:
            first = transaction.checkout is None
            if first:
                await self._begin(req, transaction)
            reply = await self._send_in_transaction(req, transaction)
            if reply.failure is None:
                break
            session.drop_transaction()
            if not (first and self._exchange.is_retryable(req, None, reply)):
                raise StatementFailed(
                    reply.failure.code, reply.failure.text.decode("ascii", "replace")
                )
            # No statement of the transaction has run, so it may begin elsewhere.
            session.transaction = transaction = Transaction(
                transaction.read_only,
                transaction.arrived_s,
                number=transaction.number,
                is_admitted=transaction.is_admitted,
            )
            await self._exchange.wait_before_retry(req)
        if req.statement.verb is Verb.COMMIT:
            return self._finish_transaction(req, transaction, reply)
        return replace(reply, state=session.state, position=None)

    async def _begin(self, req: Request, transaction: Transaction) -> None:
        while True:
            floor = None
            if transaction.read_only:
                checkout, decision = await self._selector.acquire_for_read(
                    req, transaction.arrived_s
                )
                floor = decision.floor
            else:
                await self._selector.wait_for_lease(req, transaction.arrived_s)
                checkout = await self._selector.acquire_primary(req)
            if await self._begin_on(req, transaction, checkout, floor):
                return
            await self._exchange.wait_before_retry(req)

    async def _begin_on(
        self,
        req: Request,
        transaction: Transaction,
        checkout: Checkout,
        floor: Position | None,
    ) -> bool:
        state, name = self._state, checkout.pool.name
        try:
            synced = await self._exchange.apply_session_values(req, checkout.conn)
            if not synced or (
                floor is None
                and not self._selector.may_use_primary(req, name, transaction.arrived_s)
            ):
                checkout.release()
                return False
            revision, sent_at_s = state.record_revision, now_s()
            message = self._codec.begin(transaction.read_only, floor)
            reply = await self._exchange.ask(req, checkout, message)
        except (InstanceLost, TimeoutError):
            req.avoid.add(name)
            checkout.release()
            return False
        except asyncio.CancelledError:
            checkout.release()
            raise
        if reply.failure is not None:
            checkout.release()
            if not self._exchange.is_retryable(req, checkout, reply):
                raise StatementFailed(Code.BUSY, "the transaction did not begin")
            return False
        if reply.position is not None:
            state.update_position(name, revision, sent_at_s, reply.position)
        transaction.checkout, transaction.revision = checkout, revision
        return True

    async def _send_in_transaction(
        self, req: Request, transaction: Transaction
    ) -> Reply:
        conn = transaction.checkout.conn
        commits = req.statement.verb is Verb.COMMIT
        try:
            if not await self._exchange.apply_session_values(
                req, conn, in_transaction=True
            ):
                raise StatementFailed(Code.ABORTED, "session values were refused")
            transaction.wrote = transaction.wrote or req.writes
            message = self._exchange.encode(req, conn, None)
            if transaction.wrote and not self._state.may_commit(transaction.revision):
                transaction.checkout.conn.close()
                raise StatementFailed(
                    Code.ABORTED,
                    "this host stopped using the primary during the transaction",
                )
            if not (commits and transaction.wrote):
                return await self._exchange.ask(req, transaction.checkout, message)
            with self._state.track_commit(transaction.revision) as relinquished:
                return await self._exchange.ask(
                    req, transaction.checkout, message, relinquished
                )
        except (InstanceLost, PrimaryReplaced, TimeoutError) as exc:
            self._end_failed(req, transaction)
            unknown = commits and transaction.wrote
            code = Code.UNKNOWN if unknown else Code.ABORTED
            reason = (
                str(exc) or f"no answer of {transaction.checkout.pool.name} in time"
            )
            raise StatementFailed(code, reason) from exc

    def _end_failed(self, req: Request, transaction: Transaction) -> None:
        # Closing the connection makes the instance roll back, so that the answer
        # ABORTED is true. A commit that was sent may still succeed and is left alone.
        if req.statement.verb is not Verb.COMMIT:
            transaction.checkout.conn.close()
        req.session.drop_transaction()

    def _finish_transaction(
        self, req: Request, transaction: Transaction, reply: Reply
    ) -> Reply:
        req.session.drop_transaction()
        if transaction.wrote:
            return self._writes.finish_commit(
                req, transaction.checkout, reply, transaction.revision
            )
        return replace(reply, state=SessionState.IDLE, position=None)
