"""Forwards statements that need the primary through a peer if it is unreachable.

This covers a primary that only some hosts are cut off from: either too few hosts
suspect it for it to be replaced, or its successor can't be reached from here. Reads
that replicas may serve run locally.

It also covers a client account whose statements the other hosts send to another owner.
That owner holds connections of the account. While this host has neither a connection of
the account nor room for one, a local run would close another account's connection and
cost a handshake, which takes longer than the way to that owner.
"""

from collections.abc import Callable

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import Route
from wasabipitch.group.remote import RemoteRunner, RemoteTransaction
from wasabipitch.group.runner import GroupRunner
from wasabipitch.group.session import SessionContext
from wasabipitch.group.state import GroupState
from wasabipitch.models import Host
from wasabipitch.wire.messages import Reply, Statement, Verb


class ForwardingRunner:
    """Runs statements locally or through a peer, like ``GroupRunner``.

    Args:
        state: The state of the group.
        local: Runs statements here.
        remote: Runs statements on other owners.
        has_connection: Returns whether this host has a connection for an account's
            statement, or room for one. The second argument is whether only the primary
            may run it.
        find_account_owner: Returns the other owner to which the hosts send an
            account's statements, or None if that is this host.
    """

    def __init__(
        self,
        state: GroupState,
        local: GroupRunner,
        remote: RemoteRunner,
        has_connection: Callable[[str, bool], bool] = lambda account, primary: True,
        find_account_owner: Callable[[str], Host | None] = lambda account: None,
    ) -> None:
        self._state = state
        self._has_connection = has_connection
        self._find_account_owner = find_account_owner
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
        if transaction is not None:
            needs_primary = not transaction.read_only
        else:
            needs_primary = _writes(session, statement)
        needs_primary = needs_primary or route.max_age_s <= 0
        if now_s() >= self._state.avoid_primary_until_s:
            is_local = self._is_account_local(session.account, needs_primary)
            return self._local if is_local else self._remote
        return self._remote if needs_primary else self._local

    def _is_account_local(self, account: str, needs_primary: bool) -> bool:
        """Return whether statements of an account run here rather than on its owner."""
        if not account or self._has_connection(account, needs_primary):
            return True
        owner = self._find_account_owner(account)
        return owner is None or self._remote.is_avoided(owner)


def _writes(session: SessionContext, statement: Statement) -> bool:
    if statement.verb is Verb.EXECUTE:
        shape = session.prepared.get(statement.name)
        return shape is not None and shape.writes
    return statement.verb is Verb.WRITE
