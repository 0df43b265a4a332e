"""Sends requests to pools and retries them where that is safe."""

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
from wasabipitch.links import Link, RemoteError
from wasabipitch.members import DEAD
from wasabipitch.messages import EndSession, Message
from wasabipitch.metrics import Metrics
from wasabipitch.models import Host
from wasabipitch.peer_links import PeerLinks
from wasabipitch.retries import backoff_s
from wasabipitch.sessions import Pin
from wasabipitch.verdict import SQLSTATE_NOT_RUN, Verdict

MAX_ATTEMPTS = 10
# Retries after an attempt that got no answer; each may run the statement again.
MAX_REPEATS = 2
# A request is tried at this many owners of its group.
MAX_OWNERS = 3
END_SESSION_TIMEOUT_S = 1.0
# Replies are awaited past the deadline, because the pool's verdict says more than a
# missing answer. A pool may need longer to resolve the outcome of a request with an id.
REPLY_GRACE_S = 0.25
RESOLVE_REPLY_GRACE_S = 3.5

_TRY_NEXT_POOL_CODES = frozenset(
    {ER_UNKNOWN_ERROR, ER_BAD_DB_ERROR, ER_SERVER_SHUTDOWN}
)


class Router(Protocol):
    """Finds the pools of a group."""

    async def route(self, group: str) -> list[Link]:
        """Return links to the pools of a group, in the order of preference."""

    def suspect(self, link: Link) -> None:
        """Report that a request sent over a link failed."""


class Owners(Protocol):
    """The owners of each group; ``hosts.Membership`` implements it."""

    links: PeerLinks

    def owners(self, group: str, *, local: bool = False) -> tuple[Host, ...]:
        """Return the live pools by their rank in the group; the first is its owner."""

    def suspect(self, name: str) -> None:
        """Probe a host soon, because a request sent to it failed."""

    def state(self, name: str) -> str:
        """Return a host's state, such as ``live`` or ``dead``."""


class OwnerRouter:
    """Routes to the owners of a group.

    Args:
        membership: Gives the owners and the links to them.
        read_policy: Returns the policy in force.
    """

    def __init__(self, membership: Owners, read_policy: Callable[[], Policy]) -> None:
        self._membership = membership
        self._read_policy = read_policy
        self._routed_hosts: set[str] = set()

    async def route(self, group: str) -> list[Link]:
        """Return links to the pools of a group, in the order of preference."""
        local = self._read_policy().pooling == "entry"
        owners = self._membership.owners(group, local=local)[:MAX_OWNERS]
        self._routed_hosts.update(host.name for host in owners)
        return [self._membership.links.find(host) for host in owners]

    def suspect(self, link: Link) -> None:
        """Report that a request sent over a link failed."""
        self._membership.suspect(link.peer)

    def close_dead_links(self) -> None:
        """Close the links to dead pools.

        Requests that wait for a pool that hangs then fail or are retried elsewhere
        before their deadline.
        """
        dead = {
            n for n in self._routed_hosts if self._membership.state(n) in ("", DEAD)
        }
        for name in dead:
            self._membership.links.drop(name)
        self._routed_hosts -= dead


class Dispatcher:
    """Sends requests to pools until one answers or the deadline passes.

    Args:
        router: Finds the pools of a group.
        metrics: Counts the retries.
        rng: Adds jitter to the waits between attempts.
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

        After an attempt without an answer, the request is sent again only if it is
        repeatable: it changes nothing, or has an id under which it runs once.

        Raises:
            WasabipitchError: No attempt succeeded; the verdict covers all of them.
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
                self._router.suspect(link)
                latest = exc
            except LinkLost as exc:
                self._router.suspect(link)
                if started or not req.retryable:
                    raise
                latest = exc
                req.in_doubt = True
                if repeats == MAX_REPEATS:
                    break
                repeats += 1
            except RemoteError as exc:
                if started or not _should_try_next_pool(exc):
                    raise
                latest = exc
            self._metrics.count("entry.retries")
        raise _make_final_error(req, latest)

    async def stream_pinned(self, req: Request, pin: Pin) -> AsyncIterator[Message]:
        """Yield the reply to a statement of an open transaction.

        Raises:
            TransactionLost: The link that held the transaction broke before.
            LinkLost: No answer came.
            RemoteError: The pool answered with a failure.
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
        """Tell a pool in the background to roll back a session's transaction."""
        task = asyncio.create_task(_end_session(link, session))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Wait until the calls of ``end_session`` have ended or timed out."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=END_SESSION_TIMEOUT_S)


class _Attempts:
    """Chooses a link for each attempt and backs off after each round of links."""

    def __init__(self, router: Router, req: Request, rng: random.Random) -> None:
        self._router = router
        self._req = req
        self._rng = rng
        self._links: list[Link] = []
        self._count = 0
        self._rounds = 0

    async def next_link(self) -> Link | None:
        """Return the next link, or None at the deadline or the attempt limit."""
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
    # Opening a new connection increments the link's generation.
    req.generation = link.generation + (0 if link.connected else 1)
    grace_s = RESOLVE_REPLY_GRACE_S if req.statement.hints.request_id else REPLY_GRACE_S
    return link.stream(req.to_message(), max(req.left_s, 0) + grace_s)


def _should_try_next_pool(exc: RemoteError) -> bool:
    """Return whether another pool may serve a request that this one refused."""
    refused = exc.verdict is Verdict.NOT_RUN and exc.sqlstate == SQLSTATE_NOT_RUN
    return refused and exc.code in _TRY_NEXT_POOL_CODES


def _make_final_error(
    req: Request, latest: WasabipitchError | None
) -> WasabipitchError:
    """Return the error that carries the verdict over all attempts.

    The request stays in doubt if any attempt got no answer, even if a later one was
    refused.
    """
    reason = latest.message if latest else "no live pool is known"
    code = ER_QUERY_TIMEOUT if req.left_s <= 0 else ER_UNKNOWN_ERROR
    if req.in_doubt:
        return InDoubt(f"no answer for group {req.group}: {reason}", code=code)
    return NoTarget(f"no pool served group {req.group}: {reason}", code=code)


async def _end_session(link: Link, session: str) -> None:
    with contextlib.suppress(WasabipitchError):
        await link.call(EndSession(session), END_SESSION_TIMEOUT_S)
