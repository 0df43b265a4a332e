"""Follows the store's changes through a peer, so that few hosts watch the store.

Answers fleets of many hosts: every change ends every watch, and each watch is a priced
call, so that calls would grow with the square of the hosts that come and go. One host
a data centre, the watcher, watches the store; the others follow it over their links.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Mapping

from wasabipitch.clock import now_s
from wasabipitch.coordination.store import Changes, CoordinationStore, Item, Removal
from wasabipitch.exceptions import LinkError
from wasabipitch.linkbook import LinkBook
from wasabipitch.links import RemoteError
from wasabipitch.models import Host
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.peer_messages import AskChanges, ChangesReport, StoredItem
from wasabipitch.policy.ownership import choose_owners, order_owners

WATCHERS_HASH_KEY = "watchers"
# Changes kept for followers; a busy second of a fleet of 80 hosts brings some 200.
MAX_KEPT_CHANGES = 4000
# Beyond the wait that a follower asks for.
ANSWER_MARGIN_S = 0.5
# A watcher that did not answer is not asked for this long.
WATCHER_BACKOFF_S = 5.0


def pack(event: Item | Removal) -> StoredItem:
    """Return an item or its removal as it travels between hosts."""
    if isinstance(event, Removal):
        return StoredItem(event.key, None, event.revision)
    return StoredItem(event.key, event.value, event.revision, event.lease)


def unpack(item: StoredItem) -> Item | Removal:
    """Return what ``pack`` was given."""
    if item.value is None:
        return Removal(item.key, item.revision)
    return Item(item.key, item.value, item.revision, item.lease)


class ChangeHistory:
    """The latest changes of a copy, in the order in which it learnt them."""

    def __init__(self) -> None:
        self._events: deque[Item | Removal] = deque()
        # Changes up to this revision may be missing.
        self._forgotten_revision: int | None = None
        self._revision = 0
        self._advanced = asyncio.Event()

    def begin(self, revision: int) -> None:
        """Note that the copy holds all items as of a revision."""
        if self._forgotten_revision is None:
            self._forgotten_revision = revision
        self.advance(revision)

    def add(self, event: Item | Removal) -> None:
        """Add a change, which may be later than ones that are still to come."""
        self._events.append(event)
        if (
            len(self._events) > MAX_KEPT_CHANGES
            and self._forgotten_revision is not None
        ):
            dropped = self._events.popleft()
            self._forgotten_revision = max(self._forgotten_revision, dropped.revision)

    def advance(self, revision: int) -> None:
        """Note that all changes up to a revision are known."""
        if revision <= self._revision:
            return
        self._revision = revision
        advanced, self._advanced = self._advanced, asyncio.Event()
        advanced.set()

    async def wait(self, after: int, wait_s: float) -> Changes | None:
        """Return the changes after a revision, or None if some are not known."""
        try:
            async with asyncio.timeout(wait_s):
                while self._revision <= after:
                    await self._advanced.wait()
        except TimeoutError:
            return Changes((), after)
        forgotten = self._forgotten_revision
        if forgotten is None or after < forgotten:
            return None
        events = tuple(event for event in self._events if event.revision > after)
        return Changes(events, self._revision)


class ChangeFollower:
    """Watches the store, or follows a host that does.

    Args:
        own: this host.
        read_data_centres: returns the data centre of each host that may watch.
        find_host: returns a host by its name.
        few_hosts: up to so many hosts all watch the store themselves.
    """

    def __init__(
        self,
        own: Host,
        store: CoordinationStore,
        history: ChangeHistory,
        links: LinkBook,
        read_data_centres: Callable[[], Mapping[str, str]],
        find_host: Callable[[str], Host],
        max_direct_watchers: int,
        decisions: DecisionLog,
    ) -> None:
        self._own = own
        self._store = store
        self._history = history
        self._links = links
        self._read_data_centres = read_data_centres
        self._find_host = find_host
        self._max_direct_watchers = max_direct_watchers
        self._decisions = decisions
        self._backoff_until_s: dict[str, float] = {}
        self._followed: str | None = None

    @property
    def is_following(self) -> bool:
        """Whether the last changes came, or are to come, from a peer."""
        return self._followed is not None

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes after a revision; see ``CoordinationStore.watch``."""
        watcher = self._find_watcher()
        self._update_followed(watcher.name if watcher else None)
        if watcher is not None:
            changes = await self._ask(watcher, after, wait_s)
            if changes is not None:
                return changes
            self.avoid_watcher()
        return await self._store.watch(prefix, after, wait_s)

    def avoid_watcher(self) -> None:
        """Watch the store itself for a while: the followed host is silent or late."""
        if self._followed is not None:
            self._backoff_until_s[self._followed] = now_s() + WATCHER_BACKOFF_S
            self._update_followed(None)

    async def answer(self, ask: AskChanges) -> ChangesReport:
        """Return changes to a host that follows this one."""
        if self._followed is not None:
            # Its own changes come from a peer: a chain would only add delay.
            return ChangesReport(False)
        changes = await self._history.wait(ask.after, ask.wait_s)
        if changes is None:
            return ChangesReport(False)
        return ChangesReport(True, tuple(map(pack, changes.events)), changes.revision)

    def _find_watcher(self) -> Host | None:
        centres = dict(self._read_data_centres())
        if len(centres) <= self._max_direct_watchers:
            return None
        watchers = choose_owners(WATCHERS_HASH_KEY, centres, len(set(centres.values())))
        if self._own.name in watchers:
            return None
        at_s = now_s()
        order = order_owners(
            WATCHERS_HASH_KEY,
            self._own.name,
            self._own.data_centre,
            {name: centres[name] for name in watchers},
        )
        for name in order:
            if self._backoff_until_s.get(name, 0.0) <= at_s:
                return self._find_host(name)
        return None

    async def _ask(self, watcher: Host, after: int, wait_s: float) -> Changes | None:
        timeout_s = wait_s + ANSWER_MARGIN_S
        try:
            async with asyncio.timeout(timeout_s):
                link = self._links.find(watcher)
                report = await link.call(AskChanges(after, wait_s), timeout_s)
        except (LinkError, RemoteError, TimeoutError) as exc:
            self._decisions.routine(
                "peer did not help", peer=watcher.name, reason=str(exc)
            )
            return None
        if not report.known:
            return None
        return Changes(tuple(map(unpack, report.items)), report.revision)

    def _update_followed(self, name: str | None) -> None:
        if name == self._followed:
            return
        self._followed = name
        if name is None:
            self._decisions.belief("store watched itself")
        else:
            self._decisions.belief("changes followed at a peer", peer=name)
