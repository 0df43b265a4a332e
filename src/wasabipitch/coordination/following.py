"""Follows the store's changes through a peer, so that few hosts watch the store.

Every change ends every pending watch, and each watch is a billed call. If all hosts
of a large fleet watched, the calls would grow with the square of the number of hosts
that join and leave. So one host per data centre, the watcher, watches the store, and
the others, its followers, get the changes from it over their links. The watchers of
the data centres follow the first of them in the same way, so that one host alone calls
the store.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Collection, Mapping

from wasabipitch.clock import now_s
from wasabipitch.coordination.revisions import find_epoch
from wasabipitch.coordination.store import (
    Changes,
    CoordinationStore,
    Item,
    Omission,
    Removal,
)
from wasabipitch.exceptions import HistoryLost, LinkError
from wasabipitch.links import RemoteError
from wasabipitch.models import Host
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.peer_links import PeerLinks
from wasabipitch.peer_messages import AskChanges, ChangesReport, StoredItem
from wasabipitch.policy.ownership import choose_owners, order_owners

# The key under which the ownership hash ranks hosts as watchers.
WATCHERS_HASH_KEY = "watchers"
# A fleet of 80 hosts makes some 200 changes in a busy second.
MAX_KEPT_CHANGES = 4000
# Added to the wait that a follower asks for, as the timeout of the call.
ANSWER_MARGIN_S = 0.5
# A watcher tells its followers at this interval that it is receiving a long answer of
# the store. They would otherwise count it as late, and each read the same answer.
PROGRESS_REPORT_S = 0.2
PROGRESS_AGE_S = 0.5
# A watcher that did not answer is not asked again for this long.
WATCHER_BACKOFF_S = 5.0


def pack(event: Item | Removal | Omission) -> StoredItem:
    """Return a change as a message to another host."""
    if isinstance(event, Omission):
        return StoredItem(event.key, None, event.revision, omitted=True)
    if isinstance(event, Removal):
        return StoredItem(event.key, None, event.revision)
    return StoredItem(event.key, event.value, event.revision, event.lease)


def unpack(item: StoredItem) -> Item | Removal | Omission:
    """Return the change that ``pack`` made a message of."""
    if item.omitted:
        return Omission(item.key, item.revision)
    if item.value is None:
        return Removal(item.key, item.revision)
    return Item(item.key, item.value, item.revision, item.lease)


class ChangeHistory:
    """The latest changes of the local copy, in the order in which they were applied."""

    def __init__(self) -> None:
        self._events: deque[Item | Removal | Omission] = deque()
        # Changes up to this revision may be missing; None before the copy is loaded.
        self._forgotten_revision: int | None = None
        # All changes up to this revision were added.
        self.revision = 0
        self._advanced = asyncio.Event()

    def begin(self, revision: int) -> None:
        """Start the history at the revision at which the copy was loaded."""
        if self._forgotten_revision is None:
            self._forgotten_revision = revision
        self.advance(revision)

    def restart(self, revision: int) -> None:
        """Forget all changes, at the revision at which a restored store was loaded."""
        self._events.clear()
        self._forgotten_revision = revision
        self.advance(revision)

    def add(self, event: Item | Removal | Omission) -> None:
        """Add a change.

        Changes may be added out of order: records that were read directly come
        before earlier changes that the watch has still to return.
        """
        self._events.append(event)
        if (
            len(self._events) > MAX_KEPT_CHANGES
            and self._forgotten_revision is not None
        ):
            dropped = self._events.popleft()
            self._forgotten_revision = max(self._forgotten_revision, dropped.revision)

    def advance(self, revision: int) -> None:
        """Record that all changes up to a revision were added, and wake the waiters."""
        if revision <= self.revision:
            return
        self.revision = revision
        advanced, self._advanced = self._advanced, asyncio.Event()
        advanced.set()

    async def wait(self, after: int, wait_s: float) -> Changes | None:
        """Wait for changes after a revision.

        Returns:
            The changes, none after ``wait_s`` seconds, or None if some of the
            changes after the revision were dropped.
        """
        if find_epoch(after) < find_epoch(self.revision):
            return None
        try:
            async with asyncio.timeout(wait_s):
                while self.revision <= after:
                    await self._advanced.wait()
        except TimeoutError:
            return Changes((), after)
        forgotten = self._forgotten_revision
        if forgotten is None or after < forgotten:
            return None
        events = tuple(event for event in self._events if event.revision > after)
        return Changes(events, self.revision)


class ChangeFollower:
    """Watches the store, or follows a host that does.

    Args:
        own: This host.
        store: The store.
        history: The changes that this host passes on to its followers.
        links: The links to the peers.
        read_data_centres: Returns the data centre of each host that may be a
            watcher, by name.
        find_host: Returns a host by its name.
        max_direct_watchers: A fleet of no more hosts than this has no followers:
            each host watches the store itself.
        decisions: The log of the choice of a watcher.
        read_strong_hosts: Returns the names of the strong hosts, which are preferred as
            watchers, or none if the hosts are alike.
    """

    def __init__(
        self,
        own: Host,
        store: CoordinationStore,
        history: ChangeHistory,
        links: PeerLinks,
        read_data_centres: Callable[[], Mapping[str, str]],
        find_host: Callable[[str], Host],
        max_direct_watchers: int,
        decisions: DecisionLog,
        read_strong_hosts: Callable[[], Collection[str]] = frozenset,
    ) -> None:
        self._own = own
        self._store = store
        self._history = history
        self._links = links
        self._read_data_centres = read_data_centres
        self._find_host = find_host
        self._read_strong_hosts = read_strong_hosts
        self._max_direct_watchers = max_direct_watchers
        self._decisions = decisions
        self._backoff_until_s: dict[str, float] = {}
        self._followed: str | None = None
        # When the watcher last said that it is receiving a long answer.
        self._reported_progress_at_s = 0.0
        # Whether this host passes changes on to others although it follows a host.
        self._is_watcher = False

    @property
    def is_following(self) -> bool:
        """Whether this host gets its changes from a peer."""
        return self._followed is not None

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes after a revision; see ``CoordinationStore.watch``.

        The store's watch sends large values, so it comes after all watchers.
        """
        while (watcher := self._find_watcher()) is not None:
            self._update_followed(watcher.name)
            changes = await self._ask(watcher, after, wait_s)
            if changes is not None:
                return changes
            self.avoid_watcher()
        self._update_followed(None)
        return await self._store.watch(prefix, after, wait_s)

    def read_progress_s(self) -> float:
        """Return when a part of an answer to ``watch`` last arrived, or 0.

        The parts that arrive at the watcher count, too.
        """
        if self._followed is None:
            return self._store.read_progress_s()
        link = self._links.find(self._find_host(self._followed))
        return max(link.read_progress_s(), self._reported_progress_at_s)

    def avoid_watcher(self) -> None:
        """Stop following a silent or late watcher for ``WATCHER_BACKOFF_S``."""
        if self._followed is not None:
            self._backoff_until_s[self._followed] = now_s() + WATCHER_BACKOFF_S
            self._update_followed(None)

    async def answer(self, ask: AskChanges) -> ChangesReport:
        """Return changes to a host that follows this one."""
        if self._followed is not None and not self._is_watcher:
            # A longer chain of followers would add the delay of each of them.
            return ChangesReport(False)
        changes = await self._wait_or_progress(ask)
        if changes is None or not (ask.takes_omissions or _is_complete(changes)):
            return ChangesReport(False, (), self._history.revision)
        events = tuple(map(pack, changes.events))
        return ChangesReport(True, events, changes.revision, self._is_receiving())

    async def _wait_or_progress(self, ask: AskChanges) -> Changes | None:
        """Wait for changes, but not while this host is receiving a long answer."""
        until_s = now_s() + ask.wait_s
        while (left_s := until_s - now_s()) > 0:
            changes = await self._history.wait(
                ask.after, min(left_s, PROGRESS_REPORT_S)
            )
            if changes is None or changes.events or changes.revision > ask.after:
                return changes
            if ask.takes_omissions and self._is_receiving():
                return changes
        return Changes((), ask.after)

    def _is_receiving(self) -> bool:
        return now_s() - self.read_progress_s() < PROGRESS_AGE_S

    @property
    def is_watcher(self) -> bool:
        """Whether other hosts may follow this one."""
        return self._own.name in self._choose_watchers()

    def list_watchers(self) -> list[Host]:
        """Return the hosts that this one may follow, the best first."""
        return [self._find_host(name) for name in self._order_watchers()]

    def _find_watcher(self) -> Host | None:
        at_s = now_s()
        for name in self._order_watchers():
            if self._backoff_until_s.get(name, 0.0) <= at_s:
                return self._find_host(name)
        return None

    def _order_watchers(self) -> list[str]:
        """Return the names of the hosts that this one may follow, the best first."""
        watchers = self._choose_watchers()
        self._is_watcher = self._own.name in watchers
        if self._is_watcher:
            # The watchers, too, follow the first of them.
            order = sorted(watchers)
            return order[: order.index(self._own.name)]
        return order_owners(
            WATCHERS_HASH_KEY, self._own.name, self._own.data_centre, watchers
        )

    def _choose_watchers(self) -> dict[str, str]:
        """Return the data centres of the watchers by name, none in a small fleet."""
        centres = dict(self._read_data_centres())
        if len(centres) <= self._max_direct_watchers:
            return {}
        names = choose_owners(
            WATCHERS_HASH_KEY,
            centres,
            len(set(centres.values())),
            self._read_strong_hosts(),
        )
        return {name: centres[name] for name in names}

    async def _ask(self, watcher: Host, after: int, wait_s: float) -> Changes | None:
        timeout_s = wait_s + ANSWER_MARGIN_S
        try:
            async with asyncio.timeout(timeout_s):
                link = self._links.find(watcher)
                ask = AskChanges(after, wait_s, takes_omissions=True)
                report = await link.call(ask, timeout_s)
        except (LinkError, RemoteError, TimeoutError) as exc:
            self._decisions.routine(
                "peer did not help", peer=watcher.name, reason=str(exc)
            )
            return None
        if not report.known:
            if find_epoch(report.revision) > find_epoch(after):
                raise HistoryLost(f"{watcher.name} knows that the store was restored")
            return None
        if report.receiving:
            self._reported_progress_at_s = now_s()
        return Changes(tuple(map(unpack, report.items)), report.revision)

    def _update_followed(self, name: str | None) -> None:
        if name == self._followed:
            return
        self._followed = name
        if name is None:
            self._decisions.belief("store watched itself")
        else:
            self._decisions.belief("changes followed at a peer", peer=name)


def _is_complete(changes: Changes) -> bool:
    return not any(isinstance(event, Omission) for event in changes.events)
