"""Runs callers' statements on the instances of a group that this host owns."""

from typing import Any

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import Route
from wasabipitch.group.exchange import InstanceExchange
from wasabipitch.group.peers import GroupPeers
from wasabipitch.group.reads import ReadRunner
from wasabipitch.group.request import Request, StatementFailed
from wasabipitch.group.selection import ConnectionSelector
from wasabipitch.group.session import SessionContext
from wasabipitch.group.state import GroupState
from wasabipitch.group.transactions import TransactionRunner
from wasabipitch.group.writes import WriteRunner
from wasabipitch.instances.dispatcher import Dispatcher
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.wire.codecs import InstanceCodec
from wasabipitch.wire.messages import Code, Failure, Reply, Statement, Verb


class GroupRunner:
    """Runs statements of any session on one group, and logs late and failed ones."""

    def __init__(
        self,
        state: GroupState,
        dispatcher: Dispatcher,
        codec: InstanceCodec,
        peers: GroupPeers,
        decisions: DecisionLog,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._decisions = decisions
        exchange = InstanceExchange(state, dispatcher, codec)
        selector = ConnectionSelector(state, dispatcher, peers)
        self._reads = ReadRunner(state, dispatcher, exchange, selector, decisions)
        self._writes = WriteRunner(state, exchange, selector)
        self._transactions = TransactionRunner(
            state, codec, exchange, selector, self._writes
        )

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
            reply = await self._run(req)
        except StatementFailed as exc:
            return self._fail(req, exc, in_transaction)
        if now_s() - arrived_s > route.objective_s:
            self._log_late(req)
        return reply

    async def _run(self, req: Request) -> Reply:
        transaction = req.session.transaction
        if transaction is not None:
            return await self._transactions.run(req, transaction)
        if req.statement.verb is Verb.EXECUTE and req.shape is None:
            raise StatementFailed(Code.NO_STATEMENT, "no such prepared statement")
        if req.writes:
            return await self._writes.run(req)
        return await self._reads.run(req)

    def _log_late(self, req: Request) -> None:
        taken_s = now_s() - req.arrived_s
        self._decisions.late(
            "request late",
            **self._make_log_fields(req),
            ran_s=round(taken_s - req.in_line_s, 3),
            lagging=self._dispatcher.find_lagging(),
        )

    def _make_log_fields(self, req: Request) -> dict[str, Any]:
        """Return the fields that identify a request in the decision log."""
        account = {"account": req.session.account} if req.session.account else {}
        return {
            **account,
            "request": req.statement.request_id.decode("ascii", "replace"),
            "session": req.session.session,
            "account": req.session.account,
            "group": self._state.name,
            "verb": req.statement.verb.value,
            "instance": req.instance,
            "waited_s": round(now_s() - req.arrived_s, 3),
            "in_line_s": round(req.in_line_s, 3),
            "tries": req.tries,
        }

    def _fail(self, req: Request, exc: StatementFailed, in_transaction: bool) -> Reply:
        session = req.session
        if in_transaction:
            session.drop_transaction()
            session.failed = req.statement.verb is not Verb.COMMIT
        self._decisions.request(
            "request failed",
            code=exc.code.value,
            reason=exc.reason,
            **self._make_log_fields(req),
            primary=self._state.primary,
            record=self._state.record_revision,
            confirmed_s=round(now_s() - self._state.read_lease_until_s, 3),
        )
        failure = Failure(exc.code, exc.reason.encode("ascii", "replace"))
        return Reply(failure=failure, state=session.state)
