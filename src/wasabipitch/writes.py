"""Runs writes outside transactions and resolves outcomes that are in doubt.

An outcome is in doubt if an attempt may have run but got no answer.
"""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Generic, TypeVar

from wasabipitch import requests
from wasabipitch.deployment import RequestClass
from wasabipitch.exceptions import GivenUp, InDoubt, WasabipitchError
from wasabipitch.limits import Ticket
from wasabipitch.messages import Execute, Result
from wasabipitch.models import Position
from wasabipitch.parts import GroupParts, Lease, run_until
from wasabipitch.reads import make_result
from wasabipitch.retries import backoff_s
from wasabipitch.statements import fingerprint
from wasabipitch.targets import Answer, TargetConn
from wasabipitch.verdict import Verdict

# The time that may be spent on resolving an outcome, even past the deadline.
RESOLVE_GRACE_S = 3.0
# Attempts may use this share of the time to the deadline; the rest is left for
# resolving the outcome.
ATTEMPT_SHARE = 0.8
PURGE_TIMEOUT_S = 10.0

T = TypeVar("T")


@dataclass(frozen=True)
class _Acknowledged(Generic[T]):
    """A result whose effects a majority holds, up to ``position``."""

    value: T
    instance: str
    term: int
    position: Position


class WriteRunner:
    """Runs a write on the primary and waits until a majority holds it.

    Args:
        parts: The components of the group.
    """

    def __init__(self, parts: GroupParts) -> None:
        self._parts = parts
        self._table_term = 0

    async def run(self, req: Execute, cls: RequestClass, deadline_s: float) -> Result:
        """Run a write and return its acknowledged outcome.

        Raises:
            WasabipitchError: The verdict says whether the write may have run.
        """
        if req.request_id:
            return await self._run_with_id(req, cls, deadline_s)
        while True:
            try:
                return await self._attempt(req, cls, deadline_s)
            except WasabipitchError as exc:
                await self._parts.wait_or_raise(exc, deadline_s)

    async def resolve(
        self, req: Execute, cls: RequestClass, last_error: WasabipitchError
    ) -> Result:
        """Resolve an outcome that is in doubt on the present primary.

        Args:
            req: The request, which has an id.
            cls: The request's class.
            last_error: The error that left the outcome in doubt.

        Returns:
            The recorded outcome, if the request ran.

        Raises:
            GivenUp: The request did not run and never will, because a majority holds a
                tombstone under its id.
            InDoubt: The outcome could not be resolved in time.
        """
        deadline_s = time.monotonic() + RESOLVE_GRACE_S
        attempt = 1
        while time.monotonic() < deadline_s:
            try:
                return await self._write_tombstone(req, cls, deadline_s)
            except WasabipitchError as exc:
                if isinstance(exc, GivenUp):
                    raise
                last_error = exc
            await asyncio.sleep(backoff_s(attempt, self._parts.rng))
            attempt += 1
        raise InDoubt(f"request {req.request_id!r} is in doubt: {last_error.message}")

    async def prepare_table(self, lease: Lease) -> None:
        """Create the table of request ids if this term has not done so yet."""
        if self._table_term < lease.term:
            await lease.conn.run(requests.CREATE_TABLE)
            self._table_term = lease.term

    async def purge(self, cls: RequestClass, retention_s: float) -> None:
        """Delete old request ids, if this pool has recorded any in this term.

        Args:
            cls: The class whose weight the deletion has in the queue.
            retention_s: The time for which ids are kept, in seconds.
        """
        if self._table_term != self._parts.view.term:
            return
        deadline_s = time.monotonic() + PURGE_TIMEOUT_S
        req = Execute(group="", session="purge", statement="")
        ticket = self.make_ticket(req, cls, deadline_s)
        async with self._parts.lease(ticket) as lease:
            count = await requests.purge(lease.conn, retention_s)
        self._parts.metrics.count("pool.ids.purged", count)

    def make_ticket(self, req: Execute, cls: RequestClass, deadline_s: float) -> Ticket:
        """Return a ticket for a slot on the primary."""
        return Ticket(
            session=req.session,
            request_class=cls,
            deadline_s=deadline_s,
            may_run_on=self._parts.router.may_write,
            long=self._parts.is_long(fingerprint(req.statement), cls),
        )

    async def _attempt(
        self, req: Execute, cls: RequestClass, deadline_s: float
    ) -> Result:
        async def run_statement(lease: Lease) -> Answer:
            started_s = time.monotonic()
            answer = await run_until(lease.conn, req.statement, deadline_s)
            service_s = time.monotonic() - started_s
            self._parts.workload.observe(fingerprint(req.statement), service_s)
            return answer

        done = await self._run_and_replicate(req, cls, deadline_s, run_statement)
        return make_result(done.value, done.position, done.instance)

    async def _run_and_replicate(
        self,
        req: Execute,
        cls: RequestClass,
        deadline_s: float,
        work: Callable[[Lease], Awaitable[T]],
    ) -> _Acknowledged[T]:
        """Run ``work`` on the primary and wait until a majority holds its effects."""
        parts = self._parts
        with contextlib.ExitStack() as stack:
            async with parts.lease(self.make_ticket(req, cls, deadline_s)) as lease:
                stack.enter_context(parts.acks.track_write())
                value = await work(lease)
            position = await parts.acks.wait_for_majority(
                lease.instance, lease.term, deadline_s
            )
        return _Acknowledged(value, lease.instance, lease.term, position)

    async def _run_with_id(
        self, req: Execute, cls: RequestClass, deadline_s: float
    ) -> Result:
        requests.check_id(req.request_id)
        in_doubt = req.in_doubt
        now_s = time.monotonic()
        last_attempt_s = now_s + (deadline_s - now_s) * ATTEMPT_SHARE
        while True:
            try:
                return await self._attempt_with_id(req, cls, deadline_s)
            except GivenUp:
                raise
            except WasabipitchError as exc:
                in_doubt = in_doubt or exc.verdict is Verdict.MAY_HAVE_RUN
                try:
                    await self._wait_or_raise_with_id(exc, last_attempt_s)
                except WasabipitchError:
                    if in_doubt:
                        return await self.resolve(req, cls, exc)
                    raise

    async def _wait_or_raise_with_id(
        self, exc: WasabipitchError, last_s: float
    ) -> None:
        if exc.verdict is not Verdict.MAY_HAVE_RUN:
            await self._parts.wait_or_raise(exc, last_s)
            return
        # A repeat is safe, because the record under the id prevents a second effect.
        wait_s = backoff_s(1, self._parts.rng)
        if time.monotonic() + wait_s >= last_s:
            raise exc
        await asyncio.sleep(wait_s)

    async def _attempt_with_id(
        self, req: Execute, cls: RequestClass, deadline_s: float
    ) -> Result:
        async def run_recorded(lease: Lease) -> requests.Outcome:
            await self.prepare_table(lease)
            return await self._run_once(lease.conn, req, deadline_s)

        done = await self._run_and_replicate(req, cls, deadline_s, run_recorded)
        outcome = done.value
        repeated = outcome.record is not None
        if repeated:
            requests.check_ran(req.request_id, outcome.record)
            self._record("request.repeated", req, done.term)
        # The answer was given before the commit, so it says that a transaction is open.
        answer = replace(outcome.answer, in_transaction=False)
        return make_result(answer, done.position, done.instance, repeated=repeated)

    async def _run_once(
        self, conn: TargetConn, req: Execute, deadline_s: float
    ) -> requests.Outcome:
        try:
            async with asyncio.timeout(deadline_s - time.monotonic()):
                return await requests.run_once(conn, req.request_id, req.statement)
        except TimeoutError:
            conn.close()
            raise InDoubt("the deadline passed while the request ran") from None

    async def _write_tombstone(
        self, req: Execute, cls: RequestClass, deadline_s: float
    ) -> Result:
        async def put_tombstone(lease: Lease) -> requests.Record:
            await self.prepare_table(lease)
            return await requests.write_tombstone(lease.conn, req.request_id)

        done = await self._run_and_replicate(req, cls, deadline_s, put_tombstone)
        record = done.value
        self._record("request.resolved", req, done.term, record.state.value)
        requests.check_ran(req.request_id, record)
        return make_result(record.answer, done.position, done.instance, repeated=True)

    def _record(self, kind: str, req: Execute, term: int, detail: str = "") -> None:
        self._parts.timeline.record(
            kind,
            group=req.group,
            session=req.session,
            request=req.request_id,
            term=term,
            detail=detail,
        )
