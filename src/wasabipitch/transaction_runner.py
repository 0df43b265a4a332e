"""Runs the statements of transactions on the connections pinned to them."""

import time

from wasabipitch import requests
from wasabipitch.deployment import RequestClass
from wasabipitch.exceptions import (
    ER_OPTION_PREVENTS_STATEMENT,
    InDoubt,
    RequestError,
    TargetError,
    TargetLost,
    TransactionLost,
    WasabipitchError,
)
from wasabipitch.limits import Ticket
from wasabipitch.messages import Execute, Kind, Result
from wasabipitch.parts import GroupParts, run_until
from wasabipitch.reads import make_result
from wasabipitch.transactions import Transaction
from wasabipitch.verdict import Verdict
from wasabipitch.writes import WriteRunner


class TransactionRunner:
    """Begins transactions on the primary, runs their statements and ends them.

    Args:
        parts: The components of the group.
        writes: Resolves the outcome of commits that are in doubt.
    """

    def __init__(self, parts: GroupParts, writes: WriteRunner) -> None:
        self._parts = parts
        self._writes = writes

    async def run(
        self, peer: object, req: Execute, cls: RequestClass, deadline_s: float
    ) -> Result:
        """Run a statement that begins, belongs to or ends a transaction.

        Args:
            peer: The link connection on which the session's requests arrive.
            req: The statement. Its request id, if any, is recorded in the transaction.
            cls: The request's class.
            deadline_s: A monotonic time.

        Raises:
            TransactionLost: The transaction is gone and has had no effect.
            WasabipitchError: The verdict says whether the transaction may have had an
                effect.
        """
        transaction = self._parts.transactions.find(req.session)
        if req.kind is Kind.BEGIN:
            return await self._commit_and_begin(peer, req, cls, deadline_s, transaction)
        if transaction is None:
            return await self._answer_without_transaction(req, cls)
        if transaction.busy:
            # A connection runs one statement at a time.
            raise InDoubt(f"a statement of session {req.session} is still running")
        transaction.busy = True
        try:
            return await self._run_in(transaction, req, cls, deadline_s)
        finally:
            transaction.busy = False
            transaction.used_at_s = time.monotonic()

    async def _answer_without_transaction(
        self, req: Execute, cls: RequestClass
    ) -> Result:
        if req.kind is Kind.COMMIT and req.in_doubt and req.request_id:
            # The transaction was open at another pool, which did not answer.
            requests.check_id(req.request_id)
            last_error = TargetLost(f"no answer to the commit of {req.request_id!r}")
            return await self._writes.resolve(req, cls, last_error)
        if req.kind is Kind.ROLLBACK or not req.in_transaction:
            return Result(position=req.floor or Result().position)
        raise TransactionLost(f"the transaction of session {req.session} is gone")

    async def _commit_and_begin(
        self,
        peer: object,
        req: Execute,
        cls: RequestClass,
        deadline_s: float,
        open_transaction: Transaction | None,
    ) -> Result:
        if open_transaction is not None:
            # As in MySQL, BEGIN commits a transaction that is already open.
            await self._commit(open_transaction, req, cls, deadline_s)
        if req.request_id:
            requests.check_id(req.request_id)
        while True:
            try:
                return await self._begin(peer, req, cls, deadline_s)
            except WasabipitchError as exc:
                await self._parts.wait_or_raise(exc, deadline_s)

    async def _begin(
        self, peer: object, req: Execute, cls: RequestClass, deadline_s: float
    ) -> Result:
        parts = self._parts
        ticket = self._writes.make_ticket(req, cls, deadline_s)
        may_write = ticket.may_run_on
        ticket.may_run_on = lambda name: (
            may_write(name) and self._has_connection_to_pin(name)
        )
        async with parts.lease(ticket) as lease:
            try:
                if req.request_id:
                    await self._writes.prepare_table(lease)
                await run_until(lease.conn, "BEGIN", deadline_s)
                record = None
                if req.request_id:
                    record = await requests.record_id(lease.conn, req.request_id)
            except TargetLost as exc:
                raise TargetLost(exc.message, verdict=Verdict.NOT_RUN) from exc
            if record is None:
                self._pin(peer, req, lease)
                return Result(in_transaction=True, target=lease.instance)
            await requests.roll_back(lease.conn)
        await parts.acks.wait_for_majority(lease.instance, lease.term, deadline_s)
        requests.check_ran(req.request_id, record)
        raise RequestError(
            f"request {req.request_id!r} has run already", verdict=Verdict.RAN
        )

    def _has_connection_to_pin(self, name: str) -> bool:
        parts = self._parts
        # As many connections as there are slots stay free for statements outside
        # transactions.
        limit = parts.connections[name].limit - parts.view.group.slots
        return len(parts.transactions) < max(1, limit)

    def _pin(self, peer: object, req: Execute, lease) -> None:
        connections = self._parts.connections[lease.instance]
        connections.pin(lease.conn)
        transaction = Transaction(
            session=req.session,
            peer=peer,
            instance=lease.instance,
            term=lease.term,
            conn=lease.conn,
            connections=connections,
            request_id=req.request_id,
        )
        self._parts.transactions.add(transaction)

    async def _run_in(
        self,
        transaction: Transaction,
        req: Execute,
        cls: RequestClass,
        deadline_s: float,
    ) -> Result:
        if req.kind is Kind.COMMIT:
            return await self._commit(transaction, req, cls, deadline_s)
        if req.kind is Kind.ROLLBACK:
            return await self._roll_back(transaction, req)
        try:
            if req.request_id and not transaction.request_id:
                await self._record_id(transaction, req)
            return await self._run_statement(transaction, req, cls, deadline_s)
        except TargetLost as exc:
            self._discard(transaction)
            raise TransactionLost(f"the transaction is gone: {exc.message}") from exc
        except TargetError as exc:
            if exc.code == ER_OPTION_PREVENTS_STATEMENT:
                self._discard(transaction)
                raise TransactionLost(
                    f"{transaction.instance} is no longer primary: {exc.message}"
                ) from exc
            raise

    async def _record_id(self, transaction: Transaction, req: Execute) -> None:
        requests.check_id(req.request_id)
        record = await requests.record_id(transaction.conn, req.request_id)
        if record is not None:
            raise RequestError(
                f"request {req.request_id!r} has run already, in another transaction",
                verdict=Verdict.RAN,
            )
        transaction.request_id = req.request_id

    async def _run_statement(
        self,
        transaction: Transaction,
        req: Execute,
        cls: RequestClass,
        deadline_s: float,
    ) -> Result:
        async with self._acquire_slot(transaction, req, cls, deadline_s):
            answer = await run_until(transaction.conn, req.statement, deadline_s)
        if req.kind is not Kind.READ:
            transaction.wrote = True
        position = self._parts.view.instances[transaction.instance].position
        floor = max(position, req.floor) if req.floor else position
        return make_result(answer, floor, transaction.instance)

    async def _commit(
        self,
        transaction: Transaction,
        req: Execute,
        cls: RequestClass,
        deadline_s: float,
    ) -> Result:
        try:
            async with self._acquire_slot(transaction, req, cls, deadline_s):
                await run_until(transaction.conn, "COMMIT", deadline_s)
        except TargetLost as exc:
            self._discard(transaction)
            return await self._resolve_commit(transaction, req, cls, exc)
        except TargetError as exc:
            self._discard(transaction)
            raise TransactionLost(f"the commit was refused: {exc.message}") from exc
        self._parts.transactions.remove(transaction, reuse=True)
        if not transaction.wrote and not transaction.request_id:
            return Result(target=transaction.instance)
        try:
            position = await self._parts.acks.wait_for_majority(
                transaction.instance, transaction.term, deadline_s
            )
        except WasabipitchError as exc:
            return await self._resolve_commit(transaction, req, cls, exc)
        return Result(position=position, target=transaction.instance)

    async def _resolve_commit(
        self,
        transaction: Transaction,
        req: Execute,
        cls: RequestClass,
        last_error: WasabipitchError,
    ) -> Result:
        if not transaction.wrote and not transaction.request_id:
            raise TransactionLost(f"the transaction is gone: {last_error.message}")
        if not transaction.request_id:
            raise last_error
        commit_request = Execute(
            group=req.group,
            session=req.session,
            statement="COMMIT",
            kind=Kind.COMMIT,
            request_class=req.request_class,
            request_id=transaction.request_id,
        )
        return await self._writes.resolve(commit_request, cls, last_error)

    async def _roll_back(self, transaction: Transaction, req: Execute) -> Result:
        await requests.roll_back(transaction.conn)
        self._parts.transactions.remove(transaction, reuse=True)
        return Result(position=req.floor or Result().position)

    def _acquire_slot(
        self,
        transaction: Transaction,
        req: Execute,
        cls: RequestClass,
        deadline_s: float,
    ):
        ticket = Ticket(
            session=req.session,
            request_class=cls,
            deadline_s=deadline_s,
            may_run_on=lambda name: name == transaction.instance,
            pinned=transaction.instance,
        )
        return _GrantedSlot(self._parts, ticket)

    def _discard(self, transaction: Transaction) -> None:
        self._parts.transactions.remove(transaction, reuse=False)


class _GrantedSlot:
    """Holds a slot while an ``async with`` block runs."""

    def __init__(self, parts: GroupParts, ticket: Ticket) -> None:
        self._parts = parts
        self._ticket = ticket
        self._grant = None

    async def __aenter__(self):
        self._grant = await self._parts.scheduler.acquire(self._ticket)
        return self._grant

    async def __aexit__(self, *exc_info) -> None:
        self._grant.release()
