"""Relays store calls through a peer, for a host that can't reach the store."""

import random
from collections.abc import Callable, Iterable, Mapping, Sequence

from wasabipitch import exceptions, tasks
from wasabipitch.clock import now_s
from wasabipitch.coordination.following import pack, unpack
from wasabipitch.coordination.store import (
    Changes,
    CoordinationStore,
    Item,
    Listing,
)
from wasabipitch.exceptions import LinkError, StoreError, StoreUnavailable
from wasabipitch.links import RemoteError
from wasabipitch.models import Host
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.peer_links import PeerLinks
from wasabipitch.peer_messages import StoreAnswer, StoreCall
from wasabipitch.verdict import Verdict

# After a direct call that failed slowly, calls go to peers first for this long. A
# refusal comes at once, so the direct call may be tried again each time.
DIRECT_BACKOFF_S = 1.5
SLOW_CALL_S = 0.2
# A peer that could not relay a call is not asked again for this long.
PEER_BACKOFF_S = 1.0
PEER_TIMEOUT_S = 0.35
MAX_PEER_ATTEMPTS = 2
# Calls that may be repeated when the outcome of the first attempt is unknown.
IDEMPOTENT_CALLS = frozenset({"get", "read_revision", "list", "watch", "renew_lease"})
# Calls that are repeated while the first attempt goes on. A lease that is opened twice
# ends by itself. A write could take effect late, after a newer one.
RACED_CALLS = frozenset({"get", "read_revision", "list", "renew_lease", "open_lease"})
# Longer than a call at a store that is sixty times slower than usual.
REPEAT_AFTER_S = 0.3
# An answer of which a part arrived within this time is on its way.
PROGRESS_AGE_S = 0.5


async def answer(
    store: CoordinationStore, call: StoreCall, is_reachable: bool = True
) -> StoreAnswer:
    """Make a store call for a peer and return the store's answer or error.

    Args:
        store: The store.
        call: The call.
        is_reachable: Whether the store answered this host's last call. If not, the
            peer's call is not made: in an outage, each host's calls would be repeated
            and billed by several others.
    """
    if not is_reachable:
        name = StoreUnavailable.__name__
        return StoreAnswer(error=name, reason="the store does not answer here either")
    try:
        return await _perform(store, call)
    except StoreError as exc:
        return StoreAnswer(
            error=type(exc).__name__,
            reason=exc.message,
            may_have_run=exc.verdict is not Verdict.NOT_RUN,
        )


async def _perform(store: CoordinationStore, call: StoreCall) -> StoreAnswer:
    match call.name:
        case "get":
            item = await store.get(call.key)
            return StoreAnswer(() if item is None else (pack(item),))
        case "read_revision":
            revision, store_revision = await store.read_revision(call.key)
            return StoreAnswer((), revision, store_revision)
        case "list":
            listing = await store.list(call.key, call.max_bytes)
            items = tuple(map(pack, listing.items))
            return StoreAnswer(items, 0, listing.revision)
        case "watch":
            changes = await store.watch(call.key, call.revision, call.seconds)
            events = tuple(map(pack, changes.events))
            return StoreAnswer(events, 0, changes.revision)
        case "commit":
            revision = await store.commit(
                call.expected, call.writes, call.removes, call.lease, call.lasting
            )
            return StoreAnswer((), revision)
        case "open_lease":
            return StoreAnswer((), await store.open_lease(call.seconds))
        case "renew_lease":
            await store.renew_lease(call.lease)
        case "end_lease":
            await store.end_lease(call.lease)
        case _:
            raise StoreError(f"unknown store call {call.name!r}")
    return StoreAnswer()


class RelayedStore:
    """Calls the store directly, or through a peer while it is out of reach.

    See ``CoordinationStore`` for the calls.

    Args:
        direct: The store.
        links: The links to the peers.
        read_peers: Returns the hosts that may relay calls.
        decisions: The log of the change between direct and relayed calls.
    """

    def __init__(
        self,
        direct: CoordinationStore,
        links: PeerLinks,
        read_peers: Callable[[], Iterable[Host]],
        decisions: DecisionLog,
    ) -> None:
        self._direct = direct
        self._links = links
        self._read_peers = read_peers
        self._decisions = decisions
        self._direct_backoff_until_s = 0.0
        self._peer_backoff_until_s: dict[str, float] = {}
        self._relaying = False

    def read_progress_s(self) -> float:
        """Return when a part of an answer of the store last arrived, or 0."""
        return self._direct.read_progress_s()

    def _is_receiving(self) -> bool:
        return now_s() - self.read_progress_s() < PROGRESS_AGE_S

    async def get(self, key: str) -> Item | None:
        """Return a key's item, or None if the key is absent."""
        reply = await self._call(StoreCall("get", key))
        return unpack(reply.items[0]) if reply.items else None

    async def read_revision(self, key: str) -> tuple[int, int]:
        """Return a key's revision and the store's."""
        reply = await self._call(StoreCall("read_revision", key))
        return reply.revision, reply.store_revision

    async def list(self, prefix: str, max_bytes: int = 0) -> Listing:
        """Return the items under a prefix."""
        reply = await self._call(StoreCall("list", prefix, max_bytes=max_bytes))
        return Listing(tuple(map(unpack, reply.items)), reply.store_revision)

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes under a prefix after a revision."""
        call = StoreCall("watch", prefix, after, wait_s)
        reply = await self._call(call, wait_s)
        return Changes(tuple(map(unpack, reply.items)), reply.store_revision)

    async def commit(
        self,
        expected: Mapping[str, int],
        writes: Mapping[str, bytes],
        removes: Sequence[str] = (),
        lease: int = 0,
        lasting: Mapping[str, bytes] | None = None,
    ) -> int:
        """Write all or nothing if keys are at expected revisions."""
        call = StoreCall(
            "commit",
            lease=lease,
            expected=dict(expected),
            writes=dict(writes),
            removes=tuple(removes),
            lasting=dict(lasting or {}),
        )
        # An unconditional write has the same result when it is repeated.
        reply = await self._call(call, idempotent=not expected)
        return reply.revision

    async def open_lease(self, ttl_s: float) -> int:
        """Return a new lease."""
        reply = await self._call(StoreCall("open_lease", seconds=ttl_s))
        return reply.revision

    async def renew_lease(self, lease: int) -> None:
        """Restart the whole time of a lease."""
        await self._call(StoreCall("renew_lease", lease=lease))

    async def end_lease(self, lease: int) -> None:
        """End a lease."""
        await self._call(StoreCall("end_lease", lease=lease))

    async def _call(
        self, call: StoreCall, wait_s: float = 0.0, idempotent: bool = False
    ) -> StoreAnswer:
        if call.name in RACED_CALLS:
            return await self._race(call)
        if now_s() < self._direct_backoff_until_s:
            reply = await self._call_peers(call, wait_s)
            if reply is not None:
                return reply
        try:
            return await self._call_direct(call)
        except StoreUnavailable as exc:
            may_repeat = idempotent or call.name in IDEMPOTENT_CALLS
            if not may_repeat and exc.verdict is not Verdict.NOT_RUN:
                raise
            reply = await self._call_peers(call, wait_s)
            if reply is None:
                raise
            return reply

    async def _race(self, call: StoreCall) -> StoreAnswer:
        """Make a call that may be repeated, again and elsewhere while none answers.

        A store that was silent answers the calls of its return, not those before. A
        host that waited for the timeout of its first call would return late.
        """

        async def call_peers() -> StoreAnswer:
            reply = await self._call_peers(call, 0.0)
            if reply is None:
                raise StoreUnavailable("no peer could relay the call")
            self._direct_backoff_until_s = now_s() + DIRECT_BACKOFF_S
            return reply

        async def call_direct() -> StoreAnswer:
            return await self._call_direct(call)

        attempts = [call_direct, call_peers, call_direct]
        if now_s() < self._direct_backoff_until_s:
            attempts = [call_peers, call_direct]
        return await tasks.race(
            attempts, REPEAT_AFTER_S, StoreUnavailable, self._is_receiving
        )

    async def _call_direct(self, call: StoreCall) -> StoreAnswer:
        started_s = now_s()
        try:
            reply = await _perform(self._direct, call)
        except StoreUnavailable:
            if now_s() - started_s > SLOW_CALL_S:
                self._direct_backoff_until_s = now_s() + DIRECT_BACKOFF_S
            raise
        self._update_relaying(False)
        self._direct_backoff_until_s = 0.0
        return reply

    async def _call_peers(self, call: StoreCall, wait_s: float) -> StoreAnswer | None:
        at_s = now_s()
        peers = [
            peer
            for peer in self._read_peers()
            if self._peer_backoff_until_s.get(peer.name, 0.0) <= at_s
        ]
        for peer in random.sample(peers, min(MAX_PEER_ATTEMPTS, len(peers))):
            reply = await self._ask(peer, call, wait_s)
            if reply is None or reply.error == StoreUnavailable.__name__:
                self._peer_backoff_until_s[peer.name] = now_s() + PEER_BACKOFF_S
                unknown = reply is None or reply.may_have_run
                if call.name == "commit" and call.expected and unknown:
                    message = f"{peer.name} did not answer a conditional write"
                    raise StoreUnavailable(message)
                continue
            self._update_relaying(True, peer.name)
            if reply.error:
                raise _find_error(reply.error)(reply.reason)
            return reply
        return None

    async def _ask(
        self, peer: Host, call: StoreCall, wait_s: float
    ) -> StoreAnswer | None:
        try:
            link = self._links.find(peer)
            timeout_s = PEER_TIMEOUT_S + wait_s
            return await tasks.wait_while_progressing(
                link.call(call, timeout_s + tasks.MAX_PROGRESS_S),
                timeout_s,
                link.read_progress_s,
            )
        except (LinkError, RemoteError, TimeoutError) as exc:
            self._decisions.routine("peer did not relay", peer=peer.name, why=str(exc))
            return None

    def _update_relaying(self, relaying: bool, peer: str = "") -> None:
        if relaying == self._relaying:
            return
        self._relaying = relaying
        event = "store reached through peers" if relaying else "store reached itself"
        self._decisions.belief(event, peer=peer)


def _find_error(name: str) -> type[StoreError]:
    error = getattr(exceptions, name, StoreError)
    is_known = isinstance(error, type) and issubclass(error, StoreError)
    return error if is_known else StoreError
