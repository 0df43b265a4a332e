"""Single writes, and what a commit's answer means."""

from msgspec.structs import replace

from wasabipitch.exceptions import InstanceLost, PrimaryReplaced
from wasabipitch.group.borrowing import ConnectionSelector
from wasabipitch.group.exchange import Exchange
from wasabipitch.group.request import Request, StatementFailed
from wasabipitch.group.state import GroupState
from wasabipitch.instances.dispatcher import Loan
from wasabipitch.wire.messages import Code, Reply, SessionState


class WriteRunner:
    """Runs single writes of any session on one group."""

    def __init__(
        self, state: GroupState, exchange: Exchange, selector: ConnectionSelector
    ) -> None:
        self._state = state
        self._exchange = exchange
        self._selector = selector

    async def run(self, req: Request) -> Reply:
        """Return a write's answer; raises ``StatementFailed``."""
        while True:
            checkout = await self._selector.acquire_primary(req)
            reply = await self._send_write(req, checkout)
            if reply is not None:
                return reply
            await self._exchange.wait_before_retry(req)

    async def _send_write(self, req: Request, checkout: Loan) -> Reply | None:
        """Return the answer, or None if the statement surely did not run."""
        try:
            if not await self._exchange.apply_session_values(req, checkout.conn):
                return None
            # The primary may have been given up while the request waited.
            if not self._state.is_primary(checkout.pool.name):
                return None
            revision = self._state.record_revision
            with self._state.track_commit() as relinquished:
                message = self._exchange.encode(req, checkout.conn, None)
                reply = await self._exchange.ask(req, checkout, message, relinquished)
        except (InstanceLost, PrimaryReplaced) as exc:
            raise StatementFailed(Code.UNKNOWN, str(exc)) from exc
        except TimeoutError:
            raise StatementFailed(
                Code.UNKNOWN, f"no answer of {checkout.pool.name} in time"
            ) from None
        finally:
            checkout.release()
        if self._exchange.is_retryable(req, checkout, reply):
            return None
        return self.finish_commit(req, checkout, reply, revision)

    def finish_commit(
        self, req: Request, checkout: Loan, reply: Reply, revision: int
    ) -> Reply:
        """Return what the caller hears of a commit.

        Args:
            req: the write, or the end of its transaction.
            checkout: the connection that carried it.
            reply: the instance's answer.
            revision: of the group record when it was sent.

        Raises:
            StatementFailed: it failed, or its primary was given up meanwhile.
        """
        if reply.failure is not None:
            raise StatementFailed(
                reply.failure.code, reply.failure.text.decode("ascii", "replace")
            )
        if revision < self._state.abandoned_revision:
            # Its primary was given up meanwhile, so another one may lack it.
            raise StatementFailed(Code.UNKNOWN, "the primary was replaced meanwhile")
        if reply.position is not None:
            self._state.update_acknowledged(reply.position)
            req.session.floor = max(req.session.floor, reply.position)
            self._state.update_position(
                checkout.pool.name, revision, req.arrived_s, reply.position
            )
        return replace(reply, state=SessionState.IDLE, position=None)
