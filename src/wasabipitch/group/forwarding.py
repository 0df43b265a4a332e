"""Forwards statements that need the primary through a peer if it is unreachable.

This covers a primary that only some hosts are cut off from: either too few hosts
suspect it for it to be replaced, or its successor can't be reached from here. Reads
that replicas may serve run locally.
"""

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import Route
from wasabipitch.group.remote import RemoteRunner, RemoteTransaction
from wasabipitch.group.runner import GroupRunner
from wasabipitch.group.session import SessionContext
from wasabipitch.group.state import GroupState
from wasabipitch.wire.messages import Reply, Statement, Verb


class ForwardingRunner:
    """Runs statements locally or through a peer, like ``GroupRunner``."""

    def __init__(
        self, state: GroupState, local: GroupRunner, remote: RemoteRunner
    ) -> None:
        self._state = state
        self._local = local
        self._remote = remote

    async def run(
        self,
        session: SessionContext,
        statement: Statement,
        route: Route,
        arrived_s: float,
    ) -> Reply:
        """Run a statement and return the answer for its caller."""
        runner = self._choose(session, statement, route)
        return await runner.run(session, statement, route, arrived_s)

    def _choose(
        self, session: SessionContext, statement: Statement, route: Route
    ) -> GroupRunner | RemoteRunner:
        transaction = session.transaction
        if transaction is not None and transaction.checkout is not None:
            # A transaction stays on the host on which it began.
            is_remote = isinstance(transaction.checkout, RemoteTransaction)
            return self._remote if is_remote else self._local
        if now_s() >= self._state.avoid_primary_until_s:
            return self._local
        if transaction is not None:
            needs_primary = not transaction.read_only
        else:
            needs_primary = _writes(session, statement)
        if needs_primary or route.max_age_s <= 0:
            return self._remote
        return self._local


def _writes(session: SessionContext, statement: Statement) -> bool:
    if statement.verb is Verb.EXECUTE:
        shape = session.prepared.get(statement.name)
        return shape is not None and shape.writes
    return statement.verb is Verb.WRITE
