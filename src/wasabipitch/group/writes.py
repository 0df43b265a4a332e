"""Runs single writes and interprets the answers to commits."""

from msgspec.structs import replace

from wasabipitch.exceptions import InstanceLost, PrimaryReplaced
from wasabipitch.group.exchange import InstanceExchange
from wasabipitch.group.request import Request, StatementFailed
from wasabipitch.group.selection import ConnectionSelector
from wasabipitch.group.state import GroupState
from wasabipitch.instances.dispatcher import Checkout
from wasabipitch.wire.messages import Code, Reply, SessionState


class WriteRunner:
    """Runs writes outside transactions, of any session, on one group."""

    def __init__(
        self,
        state: GroupState,
        exchange: InstanceExchange,
        selector: ConnectionSelector,
    ) -> None:
        self._state = state
        self._exchange = exchange
        self._selector = selector

    async def run(self, req: Request) -> Reply:
        """Run a write and return its answer.

        Raises:
            StatementFailed: The write was refused, failed, or its outcome is unknown.
        """
        while True:
            checkout = await self._selector.acquire_primary(req)
            reply = await self._send_write(req, checkout)
            if reply is not None:
                return reply
            await self._exchange.wait_before_retry(req)

    async def _send_write(self, req: Request, checkout: Checkout) -> Reply | None:
        """Return the answer, or None if the statement certainly did not run."""
        try:
            if not await self._exchange.apply_session_values(req, checkout.conn):
                return None
            # This host may have relinquished the primary while the request waited.
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
        self, req: Request, checkout: Checkout, reply: Reply, revision: int
    ) -> Reply:
        """Return the answer to a commit for its caller.

        An acknowledged commit raises the session's floor.

        Args:
            req: The write, or the commit of a transaction.
            checkout: The connection that it was sent over.
            reply: The instance's answer.
            revision: The revision of the group record when the commit was sent; for
                a transaction, when it began.

        Raises:
            StatementFailed: The commit failed, or this host relinquished its primary
                before the answer, so that the outcome is unknown.
        """
        if reply.failure is not None:
            raise StatementFailed(
                reply.failure.code, reply.failure.text.decode("ascii", "replace")
            )
        if revision < self._state.abandoned_revision:
            # The successor may have been chosen without this commit in its log.
            raise StatementFailed(
                Code.UNKNOWN, "the primary was replaced before the answer"
            )
        if reply.position is not None:
            self._state.update_acknowledged(reply.position)
            req.session.floor = max(req.session.floor, reply.position)
            self._state.update_position(
                checkout.pool.name, revision, req.arrived_s, reply.position
            )
        return replace(reply, state=SessionState.IDLE, position=None)
