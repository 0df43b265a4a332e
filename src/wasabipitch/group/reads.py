"""Runs single reads on any instance that is up to date enough, with hedging."""

import asyncio

from msgspec.structs import replace

from wasabipitch.clock import now_s
from wasabipitch.exceptions import InstanceLost, NoTarget, Overloaded
from wasabipitch.group.exchange import InstanceExchange
from wasabipitch.group.request import Request, StatementFailed
from wasabipitch.group.selection import ConnectionSelector
from wasabipitch.group.state import GroupState
from wasabipitch.instances.dispatcher import Checkout, ConnectionRequest, Dispatcher
from wasabipitch.models import Position
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.policy.read_leases import ReadDecision
from wasabipitch.policy.retries import HedgeBudget, hedge_after_s
from wasabipitch.wire.messages import Code, Reply, SessionState

# A read that still fails after this many retries is assumed to be at fault itself.
MAX_FAILED_TRIES = 2


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
        first = asyncio.ensure_future(self._read_on(req, checkout, decision.floor))
        service_s = self._dispatcher.service_times.read(req.kind)
        wait_s = hedge_after_s(req.route.objective_s, service_s)
        done, _ = await _wait_cancelling([first], min(wait_s, max(0.0, req.left_s)))
        if done or req.left_s <= service_s:
            return await first
        checkout.pool.record_silence(now_s() - wait_s)
        second = self._start_hedge(req, checkout, decision)
        tasks = [first] if second is None else [first, second]
        return await self._await_first_answer(tasks)

    def _start_hedge(
        self, req: Request, first: Checkout, decision: ReadDecision
    ) -> asyncio.Task | None:
        others = self._selector.find_readable(decision) - {first.pool.name}
        idle = [n for n in others if self._dispatcher.pools[n].has_idle()]
        if not idle or not self._hedges.try_spend():
            return None
        self._decisions.request(
            "read asked elsewhere",
            request=req.statement.request_id.decode("ascii", "replace"),
            group=self._state.name,
            instance=first.pool.name,
            waited_s=round(now_s() - req.arrived_s, 3),
        )
        return asyncio.ensure_future(self._hedge(req, decision, set(idle)))

    async def _hedge(
        self, req: Request, decision: ReadDecision, names: set[str]
    ) -> Reply | None:
        need = ConnectionRequest(
            lambda: names,
            req.kind,
            req.route.priority,
            req.deadline_s,
            req.deadline_s,
        )
        try:
            checkout = await self._dispatcher.acquire(need)
        except (NoTarget, Overloaded):
            return None
        return await self._read_on(req, checkout, decision.floor)

    async def _await_first_answer(self, tasks: list[asyncio.Task]) -> Reply | None:
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


async def _wait_cancelling(tasks, timeout_s: float):
    """Wait for tasks, and cancel them if the wait is cancelled."""
    try:
        return await asyncio.wait(tasks, timeout=timeout_s)
    except asyncio.CancelledError:
        for task in tasks:
            task.cancel()
        raise
