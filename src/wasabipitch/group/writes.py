"""Single writes, and what a commit's answer means."""

from msgspec.structs import replace

from wasabipitch.exceptions import InstanceLost, PrimaryReplaced
from wasabipitch.group.borrowing import Borrowing
from wasabipitch.group.exchange import Exchange
from wasabipitch.group.request import Request, StatementFailed
from wasabipitch.group.state import GroupState
from wasabipitch.instances.dispatcher import Checkout
from wasabipitch.wire.messages import Code, Reply, SessionState


class WriteRunner:
    """Runs single writes of any session on one group."""

    def __init__(
        self, state: GroupState, exchange: Exchange, borrowing: Borrowing
    ) -> None:
        self._state = state
        self._exchange = exchange
        self._borrowing = borrowing

    async def run(self, req: Request) -> Reply:
        """Return a write's answer; raises ``StatementFailed``."""
        while True:
            loan = await self._borrowing.acquire_primary(req)
            reply = await self._send_write(req, loan)
            if reply is not None:
                return reply
            await self._exchange.pause(req)

    async def _send_write(self, req: Request, loan: Checkout) -> Reply | None:
        """Return the answer, or None if the statement surely did not run."""
        try:
            if not await self._exchange.sync(req, loan.conn):
                return None
            # The primary may have been given up while the request waited.
            if not self._state.is_primary(loan.pool.name):
                return None
            revision = self._state.record_revision
            with self._state.commit_under_way() as given_up:
                message = self._exchange.encode(req, loan.conn, None)
                reply = await self._exchange.ask(req, loan, message, given_up)
        except (InstanceLost, PrimaryReplaced) as exc:
            raise StatementFailed(Code.UNKNOWN, str(exc)) from exc
        except TimeoutError:
            raise StatementFailed(
                Code.UNKNOWN, f"no answer of {loan.pool.name} in time"
            ) from None
        finally:
            loan.release()
        if self._exchange.is_retryable(req, loan, reply):
            return None
        return self.finish_commit(req, loan, reply, revision)

    def finish_commit(
        self, req: Request, loan: Checkout, reply: Reply, revision: int
    ) -> Reply:
        """Return what the caller hears of a commit.

        Args:
            req: the write, or the end of its transaction.
            loan: the connection that carried it.
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
            self._state.note_acknowledged(reply.position)
            req.session.floor = max(req.session.floor, reply.position)
            self._state.note_position(
                loan.pool.name, revision, req.arrived_s, reply.position
            )
        return replace(reply, state=SessionState.IDLE, position=None)
