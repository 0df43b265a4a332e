"""Sends messages over checked-out connections and records what the answers show."""

import asyncio

from wasabipitch.clock import now_s
from wasabipitch.exceptions import InstanceLost, PrimaryReplaced
from wasabipitch.group.request import Request, StatementFailed
from wasabipitch.group.state import GroupState
from wasabipitch.instances.connection import (
    MAX_PREPARED,
    InstanceConnection,
    make_prepared_key,
)
from wasabipitch.instances.dispatcher import Checkout, Dispatcher
from wasabipitch.models import ORIGIN, Position
from wasabipitch.wire.codecs import InstanceCodec
from wasabipitch.wire.messages import RETRYABLE_CODES, Code, Reply, Verb

# Pause before the first retry of a statement that did not run; later ones are longer.
RETRY_PAUSE_S = 0.01
# A statement is retried only if at least this much of its time limit is left.
MIN_SERVICE_S = 0.01


class InstanceExchange:
    """Sends single messages of any session over a group's connections."""

    def __init__(
        self, state: GroupState, dispatcher: Dispatcher, codec: InstanceCodec
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._codec = codec

    def encode(
        self, req: Request, conn: InstanceConnection, floor: Position | None
    ) -> bytes:
        """Return the message that runs a request on a connection.

        A statement that the connection has not prepared yet is prepared first.

        Args:
            req: The request.
            conn: The connection that the message is for.
            floor: The lowest position that the instance must have applied, or None.
        """
        shape = req.shape
        floor = None if floor == ORIGIN else floor
        if shape is None:
            return self._codec.forward(req.statement, floor)
        key = make_prepared_key(shape)
        name = conn.prepared.get(key)
        message = b""
        if name is None:
            name = b"w%d" % len(conn.prepared)
            conn.prepared[key] = name
            # The answer is not awaited: if the preparation fails, the execution that
            # follows fails with NO_STATEMENT and is retried.
            conn.send(self._codec.prepare(name, shape))
        return message + self._codec.execute(req.statement, name, floor)

    async def apply_session_values(
        self, req: Request, conn: InstanceConnection, in_transaction: bool = False
    ) -> bool:
        """Bring a connection's session values in line with the session's.

        A connection with values that the session lacks, or with too many prepared
        statements, is reset first, but never within a transaction.

        Returns:
            Whether it succeeded; if not, the connection is closed.
        """
        wanted = req.session.values
        futs = []
        stale = not conn.values.keys() <= wanted.keys()
        if not in_transaction and (stale or len(conn.prepared) >= MAX_PREPARED):
            futs.append(conn.send(self._codec.reset()))
            conn.values.clear()
            conn.values_bytes = 0
            conn.prepared.clear()
        for name, value in wanted.items():
            if conn.values.get(name) != value:
                futs.append(conn.send(self._codec.set_value(name, value)))
        if not futs:
            return True
        conn.values = dict(wanted)
        conn.values_bytes = sum(map(len, wanted)) + sum(map(len, wanted.values()))
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

    async def ask(
        self,
        req: Request,
        checkout: Checkout,
        message: bytes,
        relinquished: asyncio.Future[None] | None = None,
    ) -> Reply:
        """Send a message and return its answer.

        Args:
            req: The request that the message belongs to.
            checkout: The connection to send it over.
            message: The encoded message.
            relinquished: A future that is done once the primary is relinquished and
                the answer must be reported as unknown; None if the message commits
                nothing.

        Raises:
            InstanceLost: The connection ended before the answer; the message may
                have run.
            PrimaryReplaced: The primary was relinquished; the message may have run.
            TimeoutError: The request's time limit passed; the message may still run.
        """
        sent_at_s = now_s()
        fut = checkout.conn.send(message, commits=relinquished is not None)
        if relinquished is not None:
            self._state.unanswered.watch(fut)
        awaited = {fut} if relinquished is None else {fut, relinquished}
        async with asyncio.timeout(max(0.0, req.left_s)):
            await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
        if not fut.done():
            raise PrimaryReplaced(
                f"{checkout.pool.name} was replaced before it answered"
            )
        reply = fut.result()
        pool = checkout.pool
        pool.record_answer()
        pool.failures.add(reply.code is Code.FAILED, now_s())
        if reply.failure is None:
            pool.window.record_answer()
        if reply.failure is None and req.statement.verb is not Verb.COMMIT:
            taken_s = now_s() - sent_at_s
            ratio = self._dispatcher.service_times.add(req.kind, taken_s)
            pool.slowness.add(ratio, now_s())
        return reply

    def is_retryable(
        self, req: Request, checkout: Checkout | None, reply: Reply
    ) -> bool:
        """Return whether a statement certainly did not run and may be retried.

        Args:
            req: The request.
            checkout: The connection that it ran on, for which the refusal is
                recorded, or None to record nothing.
            reply: The instance's answer.
        """
        code = reply.code
        if code is None:
            return False
        if checkout is not None:
            self._apply_refusal(req, checkout, code)
        return code in RETRYABLE_CODES

    def _apply_refusal(self, req: Request, checkout: Checkout, code: Code) -> None:
        name = checkout.pool.name
        if code is Code.LAGGING:
            checkout.pool.lagging.record_lagging(now_s())
        if code in (Code.LAGGING, Code.BUSY):
            req.avoid.add(name)
        if code is Code.BUSY:
            checkout.pool.window.record_busy(checkout.pool.running + 1, now_s())
        if code is Code.READ_ONLY:
            self._state.update_read_only(name)
        if code is Code.NO_STATEMENT:
            checkout.conn.prepared.clear()

    async def wait_before_retry(self, req: Request) -> None:
        """Wait before the next retry, longer after each one.

        Raises:
            StatementFailed: Too little of the time limit is left for a retry.
        """
        req.tries += 1
        pause_s = RETRY_PAUSE_S * min(8, req.tries)
        if req.left_s <= pause_s + MIN_SERVICE_S:
            raise StatementFailed(Code.BUSY, "not run before its time limit")
        await asyncio.sleep(pause_s)
