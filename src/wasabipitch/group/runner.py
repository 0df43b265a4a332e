"""Runs callers' statements on a group's instances."""

import asyncio
from dataclasses import replace

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import Route
from wasabipitch.exceptions import InstanceLost, NoTarget, Overloaded
from wasabipitch.group.session import SessionContext, Transaction
from wasabipitch.group.view import GroupState
from wasabipitch.instances.connection import MAX_PREPARED, InstanceConnection
from wasabipitch.instances.dispatcher import Dispatcher, Loan, Need
from wasabipitch.models import ORIGIN, Position
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.policy.retries import (
    HedgeBudget,
    Outage,
    hedge_after_s,
    may_hold,
)
from wasabipitch.policy.rights import ReadRight
from wasabipitch.wire.codecs import InstanceCodec
from wasabipitch.wire.messages import (
    NOT_RUN_CODES,
    Code,
    Failure,
    Reply,
    SessionState,
    Shape,
    Statement,
    Verb,
)

# Between tries after an instance said that it did not run a statement.
RETRY_PAUSE_S = 0.01
# Kept back from the time limit, so that a refusal still reaches the caller.
REPLY_MARGIN_S = 0.02
# At least this is left to a statement that waits for a primary.
MIN_SERVICE_S = 0.01


class StatementFailed(Exception):
    """A statement ended in a failure that the caller is to see.

    Args:
        code: says whether it may have run.
        reason: for the caller and the log.
    """

    def __init__(self, code: Code, reason: str) -> None:
        super().__init__(reason)
        self.code = code
        self.reason = reason


class Request:
    """One statement on its way, with what has been tried.

    Args:
        writes: whether it changes data.
        deadline_s: when its time limit ends.
    """

    def __init__(
        self,
        session: SessionContext,
        statement: Statement,
        route: Route,
        arrived_s: float,
    ) -> None:
        self.session = session
        self.statement = statement
        self.route = route
        self.arrived_s = arrived_s
        self.deadline_s = arrived_s + route.timeout_s - REPLY_MARGIN_S
        self.avoid: set[str] = set()
        self.tries = 0

    @property
    def shape(self) -> Shape | None:
        """What a prepared statement runs, or None for another statement."""
        if self.statement.verb is not Verb.EXECUTE:
            return None
        return self.session.prepared.get(self.statement.name)

    @property
    def writes(self) -> bool:
        """Whether it changes data."""
        if self.statement.verb is Verb.EXECUTE:
            return self.shape is not None and self.shape.writes
        return self.statement.verb is Verb.WRITE

    @property
    def kind(self) -> str:
        """The kind whose service times it counts for."""
        if self.statement.verb is Verb.COMMIT:
            return "commit"
        return f"{self.route.database} {'write' if self.writes else 'read'}"

    @property
    def left_s(self) -> float:
        """How much of its time limit is left."""
        return self.deadline_s - now_s()


class GroupRunner:
    """Runs statements of any session on one group."""

    def __init__(
        self,
        state: GroupState,
        dispatcher: Dispatcher,
        codec: InstanceCodec,
        decisions: DecisionLog,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._codec = codec
        self._decisions = decisions
        self._hedges = HedgeBudget()

    async def run(
        self,
        session: SessionContext,
        statement: Statement,
        route: Route,
        arrived_s: float,
    ) -> Reply:
        """Run a statement and return the answer for its caller."""
        req = Request(session, statement, route, arrived_s)
        in_transaction = session.transaction is not None
        try:
            if in_transaction:
                return await self._run_in_transaction(req, session.transaction)
            if statement.verb is Verb.EXECUTE and req.shape is None:
                raise StatementFailed(Code.NO_STATEMENT, "no such prepared statement")
            if req.writes:
                return await self._run_write(req)
            return await self._run_read(req)
        except StatementFailed as exc:
            return self._fail(req, exc, in_transaction)

    # Single statements

    async def _run_write(self, req: Request) -> Reply:
        while True:
            loan = await self._acquire(req, self._state.is_primary, needs_primary=True)
            reply = await self._send_write(req, loan)
            if reply is not None:
                return reply
            await self._pause(req)

    async def _send_write(self, req: Request, loan: Loan) -> Reply | None:
        """Return the answer, or None if the statement surely did not run."""
        try:
            if not await self._sync(req, loan.conn):
                return None
            # The primary may have been given up while the request waited.
            if not self._state.is_primary(loan.pool.name):
                return None
            revision = self._state.record_revision
            with self._state.commit_under_way():
                message = self._encode(req, loan.conn, None)
                reply = await self._ask(req, loan, message)
        except InstanceLost as exc:
            raise StatementFailed(Code.UNKNOWN, str(exc)) from exc
        except TimeoutError:
            raise StatementFailed(
                Code.UNKNOWN, f"no answer of {loan.pool.name} in time"
            ) from None
        finally:
            loan.release()
        if self._is_retryable(req, loan, reply):
            return None
        return self._finish_commit(req, loan, reply, revision)

    async def _run_read(self, req: Request) -> Reply:
        self._hedges.earn()
        while True:
            right = self._judge(req)
            loan = await self._acquire_for_read(req, right)
            reply = await self._send_read(req, loan, right)
            if reply is not None:
                return reply
            await self._pause(req)

    async def _send_read(
        self, req: Request, loan: Loan, right: ReadRight
    ) -> Reply | None:
        first = asyncio.ensure_future(self._read_on(req, loan, right.floor))
        service_s = self._dispatcher.times.read(req.kind)
        wait_s = hedge_after_s(req.route.objective_s, service_s)
        done, _ = await _wait_cancelling([first], min(wait_s, max(0.0, req.left_s)))
        if done or req.left_s <= service_s:
            return await first
        loan.pool.note_silence(now_s() - wait_s)
        second = self._start_hedge(req, loan, right)
        tasks = [first] if second is None else [first, second]
        return await self._first_answer(tasks)

    def _start_hedge(
        self, req: Request, first: Loan, right: ReadRight
    ) -> asyncio.Task | None:
        others = self._readable(right) - {first.pool.name}
        idle = [n for n in others if self._dispatcher.pools[n].has_idle()]
        if not idle or not self._hedges.spend():
            return None
        self._decisions.request(
            "read asked elsewhere",
            request=req.statement.request_id.decode("ascii", "replace"),
            group=self._state.name,
            instance=first.pool.name,
            waited_s=round(now_s() - req.arrived_s, 3),
        )
        return asyncio.ensure_future(self._hedge(req, right, set(idle)))

    async def _hedge(
        self, req: Request, right: ReadRight, names: set[str]
    ) -> Reply | None:
        need = Need(names.__contains__, req.kind, req.route.priority, req.deadline_s)
        try:
            loan = await self._dispatcher.acquire(need)
        except (NoTarget, Overloaded):
            return None
        return await self._read_on(req, loan, right.floor)

    async def _first_answer(self, tasks: list[asyncio.Task]) -> Reply | None:
        failure: StatementFailed | None = None
        reply: Reply | None = None
        pending = set(tasks)
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    try:
                        reply = task.result() or reply
                    except StatementFailed as exc:
                        failure = exc
                if reply is not None:
                    return reply
        finally:
            for task in pending:
                task.cancel()
        if failure is not None:
            raise failure
        return None

    async def _read_on(
        self, req: Request, loan: Loan, floor: Position | None
    ) -> Reply | None:
        state, name = self._state, loan.pool.name
        try:
            if not await self._sync(req, loan.conn):
                return None
            if floor is None and not state.is_primary(name):
                return None
            revision, sent_at_s = state.record_revision, now_s()
            message = self._encode(req, loan.conn, floor)
            reply = await self._ask(req, loan, message)
        except InstanceLost:
            req.avoid.add(name)
            return None
        except TimeoutError:
            raise StatementFailed(
                Code.TIMEOUT, f"no answer of {name} in time"
            ) from None
        finally:
            loan.release()
        if reply.position is not None:
            state.note_position(name, revision, sent_at_s, reply.position)
        if self._is_retryable(req, loan, reply):
            return None
        loan.pool.lagging.note_current()
        return replace(reply, state=SessionState.IDLE, position=None)

    # Transactions

    async def _run_in_transaction(self, req: Request, tx: Transaction) -> Reply:
        session = req.session
        if req.statement.verb is Verb.EXECUTE and req.shape is None:
            raise StatementFailed(Code.NO_STATEMENT, "no such prepared statement")
        while True:
            first = tx.loan is None
            if first:
                await self._begin(req, tx)
            reply = await self._send_in_transaction(req, tx)
            if reply.failure is None:
                break
            session.drop_transaction()
            if not (first and self._is_retryable(req, None, reply)):
                raise StatementFailed(
                    reply.failure.code, reply.failure.text.decode("ascii", "replace")
                )
            # Nothing of the transaction has run yet: it may begin elsewhere.
            session.transaction = tx = Transaction(tx.read_only, tx.arrived_s)
            await self._pause(req)
        if req.statement.verb is Verb.COMMIT:
            return self._finish_transaction(req, tx, reply)
        return replace(reply, state=session.state, position=None)

    async def _begin(self, req: Request, tx: Transaction) -> None:
        while True:
            right = self._state.judge_read(req.route, tx.arrived_s, req.session.floor)
            if tx.read_only:
                loan = await self._acquire_for_read(req, right)
            else:
                await self._check_right(req, right)
                loan = await self._acquire(
                    req, self._state.is_primary, needs_primary=True
                )
            if await self._begin_on(req, tx, loan, right):
                return
            await self._pause(req)

    async def _begin_on(
        self, req: Request, tx: Transaction, loan: Loan, right: ReadRight
    ) -> bool:
        floor = right.floor if tx.read_only else None
        state, name = self._state, loan.pool.name
        try:
            synced = await self._sync(req, loan.conn)
            if not synced or (floor is None and not state.is_primary(name)):
                loan.release()
                return False
            revision, sent_at_s = state.record_revision, now_s()
            message = self._codec.begin(tx.read_only, floor)
            reply = await self._ask(req, loan, message)
        except (InstanceLost, TimeoutError):
            req.avoid.add(name)
            loan.release()
            return False
        except asyncio.CancelledError:
            loan.release()
            raise
        if reply.failure is not None:
            loan.release()
            if not self._is_retryable(req, loan, reply):
                raise StatementFailed(Code.BUSY, "the transaction did not begin")
            return False
        if reply.position is not None:
            state.note_position(name, revision, sent_at_s, reply.position)
        tx.loan, tx.revision = loan, revision
        return True

    async def _send_in_transaction(self, req: Request, tx: Transaction) -> Reply:
        conn = tx.loan.conn
        commits = req.statement.verb is Verb.COMMIT
        try:
            if not await self._sync(req, conn, in_transaction=True):
                raise StatementFailed(Code.ABORTED, "session values were refused")
            tx.wrote = tx.wrote or req.writes
            if commits and tx.wrote:
                with self._state.commit_under_way():
                    return await self._ask(req, tx.loan, self._encode(req, conn, None))
            return await self._ask(req, tx.loan, self._encode(req, conn, None))
        except (InstanceLost, TimeoutError) as exc:
            self._end_broken(req, tx)
            unknown = commits and tx.wrote
            code = Code.UNKNOWN if unknown else Code.ABORTED
            reason = str(exc) or f"no answer of {tx.loan.pool.name} in time"
            raise StatementFailed(code, reason) from exc

    def _end_broken(self, req: Request, tx: Transaction) -> None:
        # A closed connection rolls back, which makes the promise true, unless
        # its commit is under way.
        if req.statement.verb is not Verb.COMMIT:
            tx.loan.conn.close()
        req.session.drop_transaction()

    def _finish_transaction(self, req: Request, tx: Transaction, reply: Reply) -> Reply:
        req.session.drop_transaction()
        if tx.wrote:
            return self._finish_commit(req, tx.loan, reply, tx.revision)
        return replace(reply, state=SessionState.IDLE, position=None)

    # Both

    def _finish_commit(
        self, req: Request, loan: Loan, reply: Reply, revision: int
    ) -> Reply:
        if reply.failure is not None:
            raise StatementFailed(
                reply.failure.code, reply.failure.text.decode("ascii", "replace")
            )
        if revision < self._state.abandoned_revision:
            # Its primary was given up meanwhile, so another one may lack it.
            raise StatementFailed(Code.UNKNOWN, "the primary was replaced meanwhile")
        if reply.position is not None:
            self._state.note_acknowledged(reply.position)
            req.session.floor = max(req.session.floor, reply.position)
            self._state.note_position(
                loan.pool.name, revision, req.arrived_s, reply.position
            )
        return replace(reply, state=SessionState.IDLE, position=None)

    def _judge(self, req: Request) -> ReadRight:
        return self._state.judge_read(req.route, req.arrived_s, req.session.floor)

    async def _check_right(self, req: Request, right: ReadRight) -> None:
        if not right.primary and not self._state.is_changing:
            raise StatementFailed(Code.BUSY, right.reason)

    async def _acquire_for_read(self, req: Request, right: ReadRight) -> Loan:
        await self._check_right(req, right)
        only_primary = right.floor is None

        def allows(name: str) -> bool:
            return name in self._readable(right)

        return await self._acquire(req, allows, needs_primary=only_primary)

    def _readable(self, right: ReadRight) -> set[str]:
        state, at_s = self._state, now_s()
        if right.floor is None:
            return {state.primary} if state.primary else set()
        names = set()
        for name, pool in self._dispatcher.pools.items():
            if pool.entry.leaving or pool.lagging.is_off(at_s):
                continue
            if name == state.primary and not right.primary:
                continue
            names.add(name)
        return names or ({state.primary} if state.primary else set())

    async def _acquire(self, req: Request, allows, needs_primary: bool) -> Loan:
        if needs_primary:
            await self._wait_primary(req)
        need = Need(
            allows, req.kind, req.route.priority, req.deadline_s, set(req.avoid)
        )
        try:
            return await self._dispatcher.acquire(need)
        except (NoTarget, Overloaded) as exc:
            raise StatementFailed(Code.BUSY, exc.message) from exc

    async def _wait_primary(self, req: Request) -> None:
        while not self._has_reachable_primary():
            left_s = req.left_s - MIN_SERVICE_S
            if left_s <= 0 or not may_hold(self._describe_outage()):
                raise StatementFailed(Code.BUSY, "the group has no primary now")
            await self._state.wait_changed(min(left_s, 0.1))

    def _has_reachable_primary(self) -> bool:
        state = self._state
        pool = self._dispatcher.pools.get(state.primary or "")
        usable = pool is not None and bool(pool.open or pool.failing_since_s is None)
        state.note_primary(usable)
        return usable

    def _describe_outage(self) -> Outage:
        state, at_s = self._state, now_s()
        changing_for_s = at_s - state.record_since_s if state.is_changing else None
        down_for_s = None
        if state.primary_lost_at_s is not None:
            down_for_s = at_s - state.primary_lost_at_s
        return Outage(changing_for_s, down_for_s, state.record is not None)

    async def _pause(self, req: Request) -> None:
        req.tries += 1
        pause_s = RETRY_PAUSE_S * min(8, req.tries)
        if req.left_s <= pause_s + MIN_SERVICE_S:
            raise StatementFailed(Code.BUSY, "not run before its time limit")
        await asyncio.sleep(pause_s)

    def _is_retryable(self, req: Request, loan: Loan | None, reply: Reply) -> bool:
        code = reply.code
        if code is None:
            return False
        if loan is not None:
            self._learn_from_refusal(req, loan, code)
        return code in NOT_RUN_CODES or code is Code.NO_STATEMENT

    def _learn_from_refusal(self, req: Request, loan: Loan, code: Code) -> None:
        name = loan.pool.name
        if code is Code.LAGGING:
            loan.pool.lagging.note_lagging(now_s())
        if code in (Code.LAGGING, Code.BUSY):
            req.avoid.add(name)
        if code is Code.READ_ONLY:
            self._state.note_read_only(name)
        if code is Code.NO_STATEMENT:
            loan.conn.prepared.clear()

    def _encode(
        self, req: Request, conn: InstanceConnection, floor: Position | None
    ) -> bytes:
        shape = req.shape
        floor = None if floor == ORIGIN else floor
        if shape is None:
            return self._codec.forward(req.statement, floor)
        name = conn.prepared.get(shape)
        message = b""
        if name is None:
            name = b"w%d" % len(conn.prepared)
            conn.prepared[shape] = name
            # If it fails, the statement that follows finds no such name.
            conn.send(self._codec.prepare(name, shape))
        return message + self._codec.execute(req.statement, name, floor)

    async def _sync(
        self, req: Request, conn: InstanceConnection, in_transaction: bool = False
    ) -> bool:
        """Give a connection the session's values; return False if it can't."""
        wanted = req.session.values
        futs = []
        stale = not conn.values.keys() <= wanted.keys()
        if not in_transaction and (stale or len(conn.prepared) >= MAX_PREPARED):
            futs.append(conn.send(self._codec.reset()))
            conn.values.clear()
            conn.prepared.clear()
        for name, value in wanted.items():
            if conn.values.get(name) != value:
                futs.append(conn.send(self._codec.set_value(name, value)))
        if not futs:
            return True
        conn.values = dict(wanted)
        try:
            async with asyncio.timeout(max(0.0, req.left_s)):
                replies = [await fut for fut in futs]
        except (InstanceLost, TimeoutError):
            conn.close()
            return False
        if any(reply.failure for reply in replies):
            conn.close()
            return False
        return True

    async def _ask(self, req: Request, loan: Loan, message: bytes) -> Reply:
        sent_at_s = now_s()
        fut = loan.conn.send(message)
        async with asyncio.timeout(max(0.0, req.left_s)):
            reply = await asyncio.shield(fut)
        pool = loan.pool
        pool.note_answer()
        if reply.failure is None and req.statement.verb is not Verb.COMMIT:
            taken_s = now_s() - sent_at_s
            ratio = self._dispatcher.times.add(req.kind, taken_s)
            pool.slowness.add(ratio, now_s())
        return reply

    def _fail(self, req: Request, exc: StatementFailed, in_transaction: bool) -> Reply:
        session = req.session
        if in_transaction:
            session.drop_transaction()
            session.failed = req.statement.verb is not Verb.COMMIT
        self._decisions.request(
            "request failed",
            request=req.statement.request_id.decode("ascii", "replace"),
            session=session.session,
            group=self._state.name,
            verb=req.statement.verb.value,
            code=exc.code.value,
            reason=exc.reason,
            waited_s=round(now_s() - req.arrived_s, 3),
            tries=req.tries,
            primary=self._state.primary,
            record=self._state.record_revision,
            confirmed_s=round(now_s() - self._state.covered_until_s, 3),
        )
        failure = Failure(exc.code, exc.reason.encode("ascii", "replace"))
        return Reply(failure=failure, state=session.state)


async def _wait_cancelling(tasks, timeout_s: float):
    """Wait for tasks; cancel them if this wait itself is cancelled."""
    try:
        return await asyncio.wait(tasks, timeout=timeout_s)
    except asyncio.CancelledError:
        for task in tasks:
            task.cancel()
        raise
