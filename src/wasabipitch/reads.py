"""Runs reads outside transactions.

Each read has a floor, the lowest log position that it must see.
"""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from functools import partial

from wasabipitch.contracts import pack_rows
from wasabipitch.deployment import RequestClass
from wasabipitch.exceptions import (
    InDoubt,
    TargetDown,
    TargetLost,
    WasabipitchError,
)
from wasabipitch.limits import QueueKind, Ticket
from wasabipitch.linkserver import Exchange
from wasabipitch.messages import Execute, Result, Rows
from wasabipitch.models import Position
from wasabipitch.parts import GroupParts, Lease
from wasabipitch.retries import backoff_s
from wasabipitch.sampling import SAMPLE_ERRORS
from wasabipitch.statements import fingerprint
from wasabipitch.targets import Answer
from wasabipitch.verdict import Verdict

MAX_ATTEMPTS = 4
# Reports that are older than this are requested again before a read goes to the
# primary because no replica is known to be up to date.
MAX_REPORT_AGE_S = 0.01


class ReadRunner:
    """Routes a read to an instance at or above its floor and streams the answer.

    Args:
        parts: The components of the group.
    """

    def __init__(self, parts: GroupParts) -> None:
        self._parts = parts

    async def run(
        self, exchange: Exchange, req: Execute, cls: RequestClass, deadline_s: float
    ) -> None:
        """Run a read and send its answer.

        Raises:
            Overloaded, NoTarget: The read did not run.
            TargetError: The target refused the read.
            TargetDown, TargetLost: The target failed, and the read could not be
                retried, for example because part of the answer was already sent.
        """
        parts = self._parts
        floor = req.floor
        if floor is None:
            floor = await parts.floors.confirm_floor(deadline_s)
        parts.retry_budget.add_tokens()
        statement_fingerprint = fingerprint(req.statement)
        attempt = 1
        while True:
            reply = _Reply(exchange, floor)
            try:
                await self._attempt(req, cls, deadline_s, statement_fingerprint, reply)
                return
            except (TargetDown, TargetLost) as exc:
                self._check_retry(exc, reply, attempt, deadline_s)
            except WasabipitchError as exc:
                await parts.wait_or_raise(exc, deadline_s)
                continue
            await asyncio.sleep(backoff_s(attempt, parts.rng))
            attempt += 1

    def _check_retry(
        self, exc: WasabipitchError, reply: "_Reply", attempt: int, deadline_s: float
    ) -> None:
        out_of_time = time.monotonic() >= deadline_s
        if reply.started or out_of_time or attempt >= MAX_ATTEMPTS:
            raise exc
        if not self._parts.retry_budget.try_spend():
            raise exc
        self._parts.metrics.count("pool.retries")

    async def _attempt(
        self,
        req: Execute,
        cls: RequestClass,
        deadline_s: float,
        statement_fingerprint: str,
        reply: "_Reply",
    ) -> None:
        parts = self._parts
        ticket = await self._make_ticket(
            req, cls, deadline_s, statement_fingerprint, reply.floor
        )
        async with parts.lease(ticket) as lease:
            reply.set_source(lease, parts.view.instances[lease.instance].position)
            started_s = time.monotonic()
            try:
                async with asyncio.timeout(deadline_s - started_s):
                    blocks = lease.conn.stream(req.statement)
                    async with contextlib.aclosing(blocks):
                        await reply.forward(blocks)
            except TimeoutError:
                lease.conn.close()
                raise TargetLost("the deadline passed while the read ran") from None
            parts.workload.observe(statement_fingerprint, time.monotonic() - started_s)
        self._count_read(cls, lease)
        if parts.policy.confirm_reads and parts.router.is_primary(lease.instance):
            reply.raise_floor(await self._wait_until_replicated(lease, deadline_s))
        await reply.finish()

    async def _wait_until_replicated(self, lease: Lease, deadline_s: float) -> Position:
        """Wait until a majority holds every write that a read of the primary may show.

        Otherwise the read could show a write that a failover loses.

        Returns:
            The position that the majority holds.

        Raises:
            TargetLost: The majority was not reached in time.
        """
        try:
            return await self._parts.acks.wait_for_majority(
                lease.instance, lease.term, deadline_s
            )
        except InDoubt as exc:
            raise TargetLost(exc.message, verdict=Verdict.NOT_RUN) from exc

    async def _make_ticket(
        self,
        req: Execute,
        cls: RequestClass,
        deadline_s: float,
        statement_fingerprint: str,
        floor: Position,
    ) -> Ticket:
        parts = self._parts
        draft = partial(
            self._draft_ticket, req, cls, deadline_s, statement_fingerprint, floor
        )
        ticket = draft()
        # Overload is checked first, so that a refusal need not wait for reports from
        # busy instances.
        parts.scheduler.check(ticket)
        if ticket.queue_kind is QueueKind.PRIMARY and self._accepts_stale(cls):
            # A replica may have reached the floor since its latest report.
            await parts.sampler.sample_older(MAX_REPORT_AGE_S)
            ticket = draft()
        if ticket.queue_kind is QueueKind.PRIMARY:
            await self._update_primary_position(floor)
        return ticket

    def _draft_ticket(
        self,
        req: Execute,
        cls: RequestClass,
        deadline_s: float,
        statement_fingerprint: str,
        floor: Position,
    ) -> Ticket:
        router = self._parts.router
        age_s = cls.max_age_s
        if self._accepts_stale(cls) and router.has_eligible_replica(floor, age_s):
            queue_kind = QueueKind.REPLICA
            may_run_on = partial(router.may_read_stale, floor=floor, max_age_s=age_s)
        else:
            # Replicas never serve this queue, even if one becomes eligible later.
            queue_kind = QueueKind.PRIMARY
            may_run_on = partial(router.may_read, floor=floor)
        return Ticket(
            session=req.session,
            request_class=cls,
            deadline_s=deadline_s,
            may_run_on=may_run_on,
            queue_kind=queue_kind,
            long=self._parts.is_long(statement_fingerprint, cls),
        )

    def _accepts_stale(self, cls: RequestClass) -> bool:
        return cls.max_age_s is not None and self._parts.policy.replica_reads

    async def _update_primary_position(self, floor: Position) -> None:
        primary = self._parts.view.primary_view
        if primary is None or primary.position >= floor:
            return
        try:
            await self._parts.sampler.sample(primary.name)
        except SAMPLE_ERRORS:
            return

    def _count_read(self, cls: RequestClass, lease: Lease) -> None:
        metrics = self._parts.metrics
        is_primary = self._parts.router.is_primary(lease.instance)
        metrics.count("pool.reads.primary" if is_primary else "pool.reads.replica")
        if cls.max_age_s is not None:
            metrics.count("pool.reads.aged")
            if is_primary:
                # No replica was both at the read's floor and recent enough.
                metrics.count("pool.reads.unsuited")


class _Reply:
    """Forwards an answer block by block.

    Each block is held back until the next one arrives, because the last one is marked
    as such and is sent only after the read has been confirmed.

    Args:
        exchange: The request to answer.
        floor: The floor to report to the session.
    """

    def __init__(self, exchange: Exchange, floor: Position) -> None:
        self.floor = floor
        self.started = False
        self._exchange = exchange
        self._target = ""
        self._last = Answer()

    def set_source(self, lease: Lease, position: Position) -> None:
        self.raise_floor(position)
        self._target = lease.instance

    def raise_floor(self, position: Position) -> None:
        self.floor = max(self.floor, position)

    async def forward(self, blocks: AsyncIterator[Answer]) -> None:
        pending: Answer | None = None
        async for block in blocks:
            if pending is not None:
                await self._send(pending, more=True)
            pending = block
        self._last = pending or Answer()

    async def finish(self) -> None:
        await self._send(self._last, more=False)

    async def _send(self, block: Answer, *, more: bool) -> None:
        message = self._make_message(block)
        self.started = True
        await self._exchange.send(message, more=more)

    def _make_message(self, block: Answer) -> Result | Rows:
        if self.started:
            return Rows(pack_rows(block.rows))
        return make_result(block, self.floor, self._target)


def make_result(
    answer: Answer, position: Position, target: str, *, repeated: bool = False
) -> Result:
    """Return the message that carries a target's answer.

    Args:
        answer: The target's answer.
        position: The session's next floor.
        target: The name of the instance.
        repeated: Whether the answer is the recorded one of an earlier request.
    """
    return Result(
        columns=answer.columns,
        rows=pack_rows(answer.rows) if answer.rows else b"",
        affected_rows=answer.affected_rows,
        last_insert_id=answer.last_insert_id,
        in_transaction=answer.in_transaction,
        position=position,
        target=target,
        repeated=repeated,
    )
