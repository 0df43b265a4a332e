"""Sends requests to pools, and repeats them where that is safe."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable
from typing import Protocol

from wasabipitch.catalogue import Request
from wasabipitch.deployment import Policy
from wasabipitch.exceptions import (
    ER_BAD_DB_ERROR,
    ER_QUERY_TIMEOUT,
    ER_SERVER_SHUTDOWN,
    ER_UNKNOWN_ERROR,
    InDoubt,
    LinkDown,
    LinkLost,
    NoTarget,
    TransactionLost,
    WasabipitchError,
)
from wasabipitch.linkbook import LinkBook
from wasabipitch.links import Link, RemoteError
from wasabipitch.members import DEAD
from wasabipitch.messages import EndSession, Message
from wasabipitch.metrics import Metrics
from wasabipitch.models import Host
from wasabipitch.retries import backoff_s
from wasabipitch.sessions import Pin
from wasabipitch.verdict import SQLSTATE_NOT_RUN, Verdict

MAX_ATTEMPTS = 10
# Attempts after one without an answer, each of which may run the statement.
MAX_REPEATS = 2
MAX_OWNERS = 3
END_SESSION_TIMEOUT_S = 1.0
# The pool's own verdict at the deadline is better than none. Under an id it may
# take the pool a few seconds more to settle what is in doubt.
REPLY_GRACE_S = 0.25
SETTLE_GRACE_S = 3.5

_MOVE_ON_CODES = frozenset({ER_UNKNOWN_ERROR, ER_BAD_DB_ERROR, ER_SERVER_SHUTDOWN})


class Router(Protocol):
    """Finds the pools of a group."""

    async def route(self, group: str) -> list[Link]:
        """Return links to the pools of a group, the preferred one first."""

    def doubt(self, link: Link) -> None:
        """Note that work sent over a link failed."""


class Owners(Protocol):
    """Knows which pools own which groups; see ``hosts.Membership``."""

    links: LinkBook

    def owners(self, group: str, *, local: bool = False) -> tuple[Host, ...]:
        """Return the live pools in the group's order; the first is its owner."""

    def doubt(self, name: str) -> None:
        """Probe a host soon, because work sent to it failed."""

    def state(self, name: str) -> str:
        """Return a host's state, such as ``live`` or ``dead``."""


class OwnerRouter:
    """Routes to the owners of a group.

    Args:
        membership: knows the owners.
        read_policy: returns the policy in force.
    """

    def __init__(self, membership: Owners, read_policy: Callable[[], Policy]) -> None:
        self._membership = membership
        self._read_policy = read_policy
        self._used: set[str] = set()

    async def route(self, group: str) -> list[Link]:
        """Return links to the pools of a group, the preferred one first."""
        local = self._read_policy().pooling == "entry"
        owners = self._membership.owners(group, local=local)[:MAX_OWNERS]
        self._used.update(host.name for host in owners)
        return [self._membership.links.find(host) for host in owners]

    def doubt(self, link: Link) -> None:
        """Note that work sent over a link failed."""
        self._membership.doubt(link.peer)

    def drop_dead(self) -> None:
        """Close the links to dead pools.

        Requests that wait for a frozen pool then fail, or go to another one,
        before their deadline.
        """
        dead = {n for n in self._used if self._membership.state(n) in ("", DEAD)}
        for name in dead:
            self._membership.links.drop(name)
        self._used -= dead


class Dispatcher:
    """Sends requests to pools until one answers or the deadline passes.

    Args:
        router: finds the pools.
        metrics: counts attempts.
        rng: spreads the waits between attempts.
    """

    def __init__(
        self, router: Router, metrics: Metrics, rng: random.Random | None = None
    ) -> None:
        self._router = router
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._tasks: set[asyncio.Task] = set()

    async def stream(self, req: Request) -> AsyncIterator[Message]:
        """Yield the messages of a request's reply.

        An attempt after one without an answer is made only where the request
        is repeatable: it has no effect, or an id under which it runs once.

        Raises:
            WasabipitchError: with the verdict over all attempts.
        """
        latest: WasabipitchError | None = None
        repeats = 0
        attempts = _Attempts(self._router, req, self._rng)
        while (link := await attempts.next_link()) is not None:
            started = False
            try:
                async with contextlib.aclosing(_send(req, link)) as replies:
                    async for message in replies:
                        started = True
                        yield message
                return
            except LinkDown as exc:
                self._router.doubt(link)
                latest = exc
            except LinkLost as exc:
                self._router.doubt(link)
                if started or not req.retryable:
                    raise
                latest = exc
                req.in_doubt = True
                if repeats == MAX_REPEATS:
                    break
                repeats += 1
            except RemoteError as exc:
                if started or not _should_move_on(exc):
                    raise
                latest = exc
            self._metrics.count("entry.retries")
        raise _give_up(req, latest)

    async def stream_pinned(self, req: Request, pin: Pin) -> AsyncIterator[Message]:
        """Yield the reply to a statement of an open transaction.

        Raises:
            TransactionLost: if the transaction's connection is gone.
            LinkLost: if no answer came.
            RemoteError: if the pool answered with a failure.
        """
        if not pin.is_valid:
            raise TransactionLost(
                f"the link to {pin.link.peer}, which held the transaction, broke"
            )
        req.in_transaction = True
        async with contextlib.aclosing(_send(req, pin.link)) as replies:
            async for message in replies:
                yield message

    def end_session(self, link: Link, session: str) -> None:
        """Order a pool, in the background, to roll back what a session holds."""
        task = asyncio.create_task(_end_session(link, session))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Wait for the orders that are under way."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=END_SESSION_TIMEOUT_S)


class _Attempts:
    """Chooses a link for each attempt, with waits between the rounds."""

    def __init__(self, router: Router, req: Request, rng: random.Random) -> None:
        self._router = router
        self._req = req
        self._rng = rng
        self._links: list[Link] = []
        self._count = 0
        self._rounds = 0

    async def next_link(self) -> Link | None:
        """Return the next link to try, or None if there is to be no attempt."""
        while self._count < MAX_ATTEMPTS and self._req.left_s > 0:
            if self._links:
                self._count += 1
                return self._links.pop(0)
            if self._rounds:
                wait_s = backoff_s(self._rounds, self._rng)
                await asyncio.sleep(min(wait_s, max(self._req.left_s, 0)))
            self._rounds += 1
            self._links = list(await self._router.route(self._req.group))
        return None


def _send(req: Request, link: Link) -> AsyncIterator[Message]:
    req.link = link
    # A connection that has to be opened first gets the next generation.
    req.generation = link.generation + (0 if link.connected else 1)
    grace_s = SETTLE_GRACE_S if req.statement.hints.request_id else REPLY_GRACE_S
    return link.stream(req.to_message(), max(req.left_s, 0) + grace_s)


def _should_move_on(exc: RemoteError) -> bool:
    """Return whether another pool may serve what this one refused."""
    refused = exc.verdict is Verdict.NOT_RUN and exc.sqlstate == SQLSTATE_NOT_RUN
    return refused and exc.code in _MOVE_ON_CODES


def _give_up(req: Request, latest: WasabipitchError | None) -> WasabipitchError:
    """Return the error with the verdict over all attempts.

    A pool's refusal says nothing of an earlier attempt that got no answer.
    """
    reason = latest.message if latest else "no live pool is known"
    code = ER_QUERY_TIMEOUT if req.left_s <= 0 else ER_UNKNOWN_ERROR
    if req.in_doubt:
        return InDoubt(f"no answer for group {req.group}: {reason}", code=code)
    return NoTarget(f"no pool served group {req.group}: {reason}", code=code)


async def _end_session(link: Link, session: str) -> None:
    with contextlib.suppress(WasabipitchError):
        await link.call(EndSession(session), END_SESSION_TIMEOUT_S)
