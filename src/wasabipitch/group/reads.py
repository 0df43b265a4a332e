"""Runs single reads on any instance that is up to date enough, with hedging."""

import asyncio
from collections.abc import Coroutine

from msgspec.structs import replace

from wasabipitch.clock import now_s
from wasabipitch.exceptions import InstanceLost, NoTarget, Overloaded
from wasabipitch.group.exchange import InstanceExchange
from wasabipitch.group.request import Request, StatementFailed
from wasabipitch.group.selection import ConnectionSelector
from wasabipitch.group.state import GroupState
from wasabipitch.instances.dispatcher import Checkout, ConnectionRequest, Dispatcher
from wasabipitch.instances.pool import InstancePool
from wasabipitch.models import Position
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.policy.read_leases import ReadDecision
from wasabipitch.policy.retries import HedgeBudget, hedge_after_s
from wasabipitch.wire.messages import Code, Reply, SessionState

# A read that still fails after this many retries is assumed to be at fault itself.
MAX_FAILED_TRIES = 2
# The most instances that one read is sent to while none answers.
MAX_ASKED = 3


class _Attempts:
    """The attempts of one read, of which the first answer counts.

    Args:
        first: The pool of the instance that the read is sent to first.

    Attributes:
        asked: The pools of the instances that the read was sent to.
        reply: The first answer, or None.
        failure: The failure of an attempt that ended without an answer, or None.
    """

    def __init__(self, first: InstancePool) -> None:
        self.asked = [first]
        self.reply: Reply | None = None
        self.failure: StatementFailed | None = None
        self._tasks: set[asyncio.Task[Reply | None]] = set()

    @property
    def running(self) -> bool:
        """Whether an attempt has not ended."""
        return bool(self._tasks)

    def start(self, attempt: Coroutine) -> None:
        """Run an attempt beside those that are running."""
        self._tasks.add(asyncio.ensure_future(attempt))

    async def wait(self, timeout_s: float | None) -> bool:
        """Wait until an attempt ends; return False if none did in time."""
        done, self._tasks = await asyncio.wait(
            self._tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            try:
                self.reply = task.result() or self.reply
            except StatementFailed as exc:
                self.failure = exc
        return bool(done)

    def cancel(self) -> None:
        """Cancel all attempts that are running."""
        for task in self._tasks:
            task.cancel()


class ReadRunner:
    """Runs reads outside transactions, of any session, on one group."""

    def __init__(
        self,
        state: GroupState,
        dispatcher: Dispatcher,
        exchange: InstanceExchange,
        selector: ConnectionSelector,
        decisions: DecisionLog,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._exchange = exchange
        self._selector = selector
        self._decisions = decisions
        self._hedges = HedgeBudget()

    async def run(self, req: Request) -> Reply:
        """Run a read and return its answer.

        Raises:
            StatementFailed: The read was refused, failed or ran out of time.
        """
        self._hedges.add_tokens()
        while True:
            checkout, decision = await self._selector.acquire_for_read(
                req, req.arrived_s
            )
            reply = await self._send_read(req, checkout, decision)
            if reply is not None:
                return reply
            await self._exchange.wait_before_retry(req)

    async def _send_read(
        self, req: Request, checkout: Checkout, decision: ReadDecision
    ) -> Reply | None:
        """Send a read to an instance, and then to others while none answers.

        Several instances may be silent at once: a network cut separates a host from
        all instances of a data centre.
        """
        attempts = _Attempts(checkout.pool)
        attempts.start(self._read_on(req, checkout, decision.floor))
        service_s = self._dispatcher.service_times.read(req.kind)
        hedge_s = hedge_after_s(req.route.objective_s, service_s)
        may_hedge = True
        try:
            while attempts.running:
                may_hedge = may_hedge and req.left_s > service_s
                timeout_s = min(hedge_s, req.left_s) if may_hedge else None
                if await attempts.wait(timeout_s):
                    if attempts.reply is not None:
                        return attempts.reply
                    continue
                attempts.asked[-1].record_silence(now_s() - hedge_s)
                may_hedge = self._start_hedge(req, attempts, decision)
        finally:
            attempts.cancel()
        if attempts.failure is not None:
            raise attempts.failure
        return None

    def _start_hedge(
        self, req: Request, attempts: "_Attempts", decision: ReadDecision
    ) -> bool:
        """Send the read to another instance; return False if there is none for it."""
        asked = {pool.name for pool in attempts.asked}
        others = self._selector.find_readable(decision) - asked
        account, pools = req.session.account, self._dispatcher.pools
        idle = [n for n in others if pools[n].can_serve(account)]
        if len(asked) >= MAX_ASKED or not idle or not self._hedges.try_spend():
            return False
        self._decisions.request(
            "read asked elsewhere",
            request=req.statement.request_id.decode("ascii", "replace"),
            group=self._state.name,
            instance=attempts.asked[-1].name,
            waited_s=round(now_s() - req.arrived_s, 3),
        )
        attempts.start(self._hedge(req, attempts, decision, set(idle)))
        return True

    async def _hedge(
        self,
        req: Request,
        attempts: "_Attempts",
        decision: ReadDecision,
        names: set[str],
    ) -> Reply | None:
        need = ConnectionRequest(
            lambda: names,
            req.kind,
            req.route.priority,
            req.deadline_s,
            req.deadline_s,
            account=req.session.account,
        )
        try:
            checkout = await self._dispatcher.acquire(need)
        except (NoTarget, Overloaded):
            return None
        attempts.asked.append(checkout.pool)
        return await self._read_on(req, checkout, decision.floor)

    async def _read_on(
        self, req: Request, checkout: Checkout, floor: Position | None
    ) -> Reply | None:
        state, name = self._state, checkout.pool.name
        try:
            if not await self._exchange.apply_session_values(req, checkout.conn):
                return None
            if floor is None and not self._selector.may_use_primary(
                req, name, req.arrived_s
            ):
                return None
            revision, sent_at_s = state.record_revision, now_s()
            message = self._exchange.encode(req, checkout.conn, floor)
            reply = await self._exchange.ask(req, checkout, message)
        except InstanceLost:
            req.avoid.add(name)
            return None
        except TimeoutError:
            raise StatementFailed(
                Code.TIMEOUT, f"no answer of {name} in time"
            ) from None
        finally:
            checkout.release()
        if reply.position is not None:
            state.update_position(name, revision, sent_at_s, reply.position)
        if self._exchange.is_retryable(req, checkout, reply):
            return None
        if reply.code is Code.FAILED and req.tries < MAX_FAILED_TRIES:
            # The instance may be at fault, and running a read twice is harmless.
            req.avoid.add(name)
            return None
        checkout.pool.lagging.record_up_to_date()
        return replace(reply, state=SessionState.IDLE, position=None)
