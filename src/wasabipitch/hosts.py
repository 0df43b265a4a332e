"""Membership: which processes are live, and which pool owns a group.

The platform's list of hosts is updated with a delay, so processes detect failures
themselves by gossip. Each round a process exchanges digests of host states with a
few peers, taken in a shuffled order. A peer that does not answer is tried again, then
probed through another peer. If that fails too, the peer is suspect, and it counts as
dead unless it refutes the suspicion in time. All of this works without the platform.

A digest packs into at most 600 bytes. An exchange is two digests, some 1.4 KB with
TCP and IP headers. A process starts ``peers_per_round`` exchanges a second and
answers as many. In a fleet of 780 nodes with two processes each, that is
2 processes x 2 exchanges x 1.4 KB/s = 5.6 KB/s a node, of the 7 KB/s allowed. The
platform's list adds at most 1 KB/s a process, and only while it changes.

Links stay open in both directions, so a process needs two sockets for each other
process.
"""

import asyncio
import contextlib
import itertools
import logging
import random
import time
from collections.abc import Callable, Sequence
from typing import Protocol

from wasabipitch.events import Timeline
from wasabipitch.exceptions import WasabipitchError
from wasabipitch.hostlist import watch_hosts
from wasabipitch.links import Cuts, RemoteError
from wasabipitch.linkserver import Exchange
from wasabipitch.members import (
    DEAD,
    LEAVING,
    LIVE,
    NO_INCARNATION,
    SUSPECT,
    MemberTable,
    ProbeOrder,
    new_incarnation,
)
from wasabipitch.messages import Digest, Hello, HostFact
from wasabipitch.metrics import Metrics, StatsdMetrics
from wasabipitch.models import Host
from wasabipitch.owners import OwnerOrder, find_local_pool
from wasabipitch.peer_links import PeerLinks, is_descriptor_shortage
from wasabipitch.store import HostList, Store

ROUND_S = 1.0
PROBE_TRIES = 2
PROBE_TIMEOUT_S = 0.5
PROBE_RETRY_S = 0.1
INDIRECT_TIMEOUT_S = 1.5
# If a process's own rounds are this far apart, the process itself was paused. Its
# suspects could not refute the suspicion meanwhile, so their time starts again.
PAUSE_THRESHOLD_S = 3.0
LEAVE_NOTICE_PEERS = 5
FORGET_DEAD_S = 600.0

MAX_OWNERS = 8
POOL_ROLE = "pool"
TARGET_ROLE = "target"

logger = logging.getLogger(__name__)


class RevisionKeeper(Protocol):
    """The part of the configuration keeper that the membership uses."""

    revision: int

    def record_peer_revision(self, revision: int, peer: Host) -> None:
        """Record that a peer holds a configuration revision."""


class NullRevisionKeeper:
    """The keeper until ``set_revision_keeper`` is called; its revision is 0."""

    revision = 0

    def record_peer_revision(self, revision: int, peer: Host) -> None:
        """Ignore the peer's revision."""


class Membership:
    """Tracks which hosts are live, from the platform's list and by probing.

    What this process and its peers observe takes precedence over the list, but a live
    host that the list calls leaving counts as leaving.

    Args:
        host: This process.
        store: The source of the platform's list of hosts.
        timeline: The timeline, which records each change of a host's state.
        cuts: The peers whose traffic fault injection drops.
        incarnation: A text unique to this start of the process, sent in its hello.
        metrics: The metrics: the gauge ``hosts.known_live``, and a counter of the
            changes to each state, such as ``hosts.suspect``.
        rng: The random generator that picks peers and facts.
    """

    def __init__(
        self,
        host: Host,
        store: Store,
        timeline: Timeline,
        *,
        cuts: Cuts | None = None,
        incarnation: str = "",
        metrics: Metrics | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.host = host
        hello = Hello(host, incarnation or new_incarnation())
        self.links = PeerLinks(hello, timeline.clock, cuts)
        self._store = store
        self._keeper: RevisionKeeper = NullRevisionKeeper()
        self._timeline = timeline
        self._metrics = metrics or StatsdMetrics()
        self._rng = rng or random.Random()
        self.table = MemberTable(host, new_incarnation(), self._rng)
        self._listed: dict[str, Host] = {}
        self._subscribers: list[Callable[[], None]] = []
        self._probe_order = ProbeOrder(self.table, self._rng)
        self._owner_order = OwnerOrder()
        self._pools: dict[str, Host] = {}
        self._owners: dict[str, tuple[Host, ...]] = {}
        self._update_pools()

    def set_revision_keeper(self, keeper: RevisionKeeper) -> None:
        """Send a keeper's revision in digests, and pass it the peers' revisions."""
        self._keeper = keeper

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call a function after every change of a host's state or of the list."""
        self._subscribers.append(callback)

    def live(self, role: str) -> tuple[Host, ...]:
        """Return the hosts of a role that are neither leaving nor dead.

        Suspect hosts come last. Targets are not probed, so they are live if the
        platform lists them as live.
        """
        if role == TARGET_ROLE:
            listed = self._listed.values()
            return tuple(h for h in listed if h.role == role and h.state == LIVE)
        own = self.table.own
        hosts = [self.host] if self.host.role == role and own.state == LIVE else []
        suspects = []
        for member in self.table.others.values():
            if member.host.role != role or self._is_leaving(member.host.name):
                continue
            if member.state == LIVE:
                hosts.append(self._resolve_host(member.host.name))
            elif member.state == SUSPECT and not member.announced_leaving:
                suspects.append(self._resolve_host(member.host.name))
        return (*hosts, *suspects)

    def leaving(self, role: str) -> tuple[Host, ...]:
        """Return the hosts of a role that are leaving."""
        known = [m.host for m in self.table.others.values() if m.state == LEAVING]
        listed = [h for h in self._listed.values() if h.state == LEAVING]
        hosts = {h.name: h for h in (*known, *listed) if h.role == role}
        return tuple(hosts.values())

    def owners(self, group: str, *, local: bool = False) -> tuple[Host, ...]:
        """Return the live pools of a group, in the order in which they serve it.

        Args:
            group: The group's name.
            local: Whether to put the pool on this process's own machine first. That
                is this process itself if it is a pool, else the pool of the same data
                centre whose name ends in the same number.

        Returns:
            At most ``MAX_OWNERS`` pools, with suspect pools last. With ``local``, the
            pool on this machine can add one more, and comes first even if suspect.
        """
        owners = self._owners.get(group)
        if owners is None:
            owners = self._owners[group] = self._find_owners(group)
        first = find_local_pool(self._pools.values(), self.host) if local else None
        if first is None:
            return owners
        return (first, *(owner for owner in owners if owner.name != first.name))

    def rank(self, group: str, *, local: bool = False) -> int:
        """Return this process's rank among a group's owners, from 0.

        The rank of a process that is not an owner is the number of owners.
        """
        owners = self.owners(group, local=local)
        names = [host.name for host in owners]
        return names.index(self.host.name) if self.host.name in names else len(names)

    def state(self, name: str) -> str:
        """Return a host's state, or an empty string for an unknown host."""
        if name == self.host.name:
            return self.table.own.state
        member = self.table.others.get(name)
        if member is None:
            return self._listed[name].state if name in self._listed else ""
        if member.state == LIVE and self._is_leaving(name):
            return LEAVING
        return member.state

    def pick_peers(self, count: int) -> Sequence[Host]:
        """Return at most ``count`` random other processes that are not dead."""
        names = [n for n, m in self.table.others.items() if m.state != DEAD]
        picked = self._rng.sample(names, min(count, len(names)))
        return [self._resolve_host(name) for name in picked]

    def suspect(self, name: str) -> None:
        """Probe a host in one of the next rounds, because work sent to it failed.

        The host's state changes only if the probes fail too.
        """
        self._probe_order.prioritize(name)

    async def run(self) -> None:
        """Watch the platform's list and probe peers until cancelled.

        Closes the links at the end.
        """
        async with self.links, asyncio.TaskGroup() as tasks:
            tasks.create_task(watch_hosts(self._store, self.apply_host_list, self._rng))
            await self._run_rounds(tasks)

    async def leave(self) -> None:
        """Announce that this process is stopping.

        Some peers are told directly, and the others by gossip.
        """
        self.table.leave()
        self._publish_change()
        peers = self.pick_peers(LEAVE_NOTICE_PEERS)
        await asyncio.gather(*(self._exchange(peer) for peer in peers))

    async def answer_digest(self, exchange: Exchange) -> Digest:
        """Merge a peer's digest and return one.

        A digest whose only fact is of a suspect host is a request to probe that host.
        """
        digest: Digest = exchange.message
        facts = digest.facts
        if len(facts) == 1 and facts[0].state == SUSPECT:
            return await self._probe_for_peer(facts[0])
        peer = exchange.peer
        self._merge(digest, peer)
        return self.table.build_digest(self._keeper.revision, peer.name if peer else "")

    def _merge(self, digest: Digest, peer: Host | None) -> None:
        now_s = time.monotonic()
        for fact in digest.facts:
            before = self.table.merge(fact, now_s)
            if before is not None:
                self._record_change(before, fact)
        if peer is not None:
            self._keeper.record_peer_revision(digest.revision, peer)

    def _record_change(self, before: HostFact, fact: HostFact) -> None:
        is_new = before is fact or before.incarnation != fact.incarnation
        if is_new or before.state != fact.state:
            self._record_state(fact.host.name, fact.state)

    def _record_state(self, name: str, state: str) -> None:
        self._timeline.record(f"host.{state}", detail=name)
        self._metrics.count(f"hosts.{state}")
        self._publish_change()

    def _publish_change(self) -> None:
        self._update_pools()
        count = 1 + sum(m.state == LIVE for m in self.table.others.values())
        self._metrics.gauge("hosts.known_live", count)
        for callback in self._subscribers:
            try:
                callback()
            except Exception:
                logger.exception("a membership subscriber failed")

    def _is_leaving(self, name: str) -> bool:
        listed = self._listed.get(name)
        return listed is not None and listed.state == LEAVING

    def _update_pools(self) -> None:
        others = self.table.others.values()
        known = [m.host.name for m in others if m.host.role == POOL_ROLE]
        if self.host.role == POOL_ROLE:
            known.append(self.host.name)
        self._owner_order.set_pools(known)
        self._pools = {host.name: host for host in self.live(POOL_ROLE)}
        self._owners.clear()

    def _find_owners(self, group: str) -> tuple[Host, ...]:
        order = self._owner_order.order(group)
        live = (self._pools[name] for name in order if name in self._pools)
        owners = list(itertools.islice(live, MAX_OWNERS))
        owners.sort(key=lambda host: self.state(host.name) == SUSPECT)
        return tuple(owners)

    def _resolve_host(self, name: str) -> Host:
        """Return a host with its latest known address.

        The address of a dead host, or of one without a fact of its own, comes from the
        platform's list, because the host may have restarted elsewhere.
        """
        member = self.table.others[name]
        has_own_fact = member.fact.incarnation != NO_INCARNATION
        if has_own_fact and member.state != DEAD:
            return member.host
        return self._listed.get(name, member.host)

    async def _run_rounds(self, tasks: asyncio.TaskGroup) -> None:
        last_s = time.monotonic()
        while True:
            now_s = time.monotonic()
            self._expire_suspects(now_s, paused=now_s - last_s > PAUSE_THRESHOLD_S)
            last_s = now_s
            for name in self._probe_order.choose_next():
                tasks.create_task(self._probe(self._resolve_host(name)))
            await asyncio.sleep(ROUND_S * self._rng.uniform(0.9, 1.1))

    async def _probe(self, peer: Host) -> None:
        for attempt in range(PROBE_TRIES):
            if attempt:
                await asyncio.sleep(PROBE_RETRY_S)
            if await self._exchange(peer):
                return
        if self.state(peer.name) not in (LIVE, LEAVING):
            return
        if not await self._probe_through_peer(peer):
            self._mark_suspect(peer.name)

    async def _exchange(self, peer: Host) -> bool:
        """Exchange digests with a peer and return whether it may be alive.

        An error that the peer returns shows that it is alive. A shortage of file
        descriptors here is no evidence that the peer failed.
        """
        digest = self.table.build_digest(self._keeper.revision, peer.name)
        try:
            reply = await self.links.find(peer).call(digest, PROBE_TIMEOUT_S)
        except RemoteError:
            return True
        except WasabipitchError as exc:
            logger.debug("exchange of digests with %s failed: %s", peer.name, exc)
            return is_descriptor_shortage(exc)
        if isinstance(reply, Digest):
            self._merge(reply, peer)
        return True

    async def _probe_through_peer(self, suspect: Host) -> bool:
        """Ask one other peer to probe a host and return whether it is alive."""
        others = [p for p in self.pick_peers(2) if p.name != suspect.name]
        member = self.table.others.get(suspect.name)
        if not others or member is None:
            return False
        fact = HostFact(
            suspect, member.fact.incarnation, member.fact.heartbeat, SUSPECT
        )
        ask = Digest((fact,), self._keeper.revision)
        try:
            reply = await self.links.find(others[0]).call(ask, INDIRECT_TIMEOUT_S)
        except WasabipitchError:
            return False
        self._merge(reply, others[0])
        return any(
            f.host.name == suspect.name and f.state in (LIVE, LEAVING)
            for f in reply.facts
        )

    async def _probe_for_peer(self, fact: HostFact) -> Digest:
        """Probe a host for a peer that can't reach it.

        Returns:
            A digest with this process's fact and the host's own fact about itself, or
            the given fact if the host does not answer.
        """
        revision = self._keeper.revision
        ask = Digest((self.table.own, fact), revision)
        with contextlib.suppress(WasabipitchError):
            reply = await self.links.find(fact.host).call(ask, PROBE_TIMEOUT_S)
            self._merge(reply, fact.host)
            about = [f for f in reply.facts if f.host.name == fact.host.name]
            return Digest((self.table.own, *about), revision)
        return Digest((self.table.own, fact), revision)

    def _mark_suspect(self, name: str) -> None:
        if self.table.set_state(name, SUSPECT, time.monotonic()):
            self._record_state(name, SUSPECT)

    def _expire_suspects(self, now_s: float, *, paused: bool) -> None:
        limit_s = self.table.compute_suspicion_timeout_s()
        for name, member in list(self.table.others.items()):
            waited_s = now_s - member.since_s
            if member.state == SUSPECT and paused:
                member.since_s = now_s
            elif member.state == SUSPECT and waited_s > limit_s:
                self.table.set_state(name, DEAD, now_s)
                self._record_state(name, DEAD)
            elif self._can_forget(name, waited_s):
                del self.table.others[name]
                self.links.drop(name)

    def _can_forget(self, name: str, waited_s: float) -> bool:
        member = self.table.others[name]
        return (
            member.state == DEAD
            and name not in self._listed
            and waited_s > FORGET_DEAD_S
        )

    def apply_host_list(self, hosts: HostList) -> None:
        """Apply the platform's list, and add the hosts that were not known yet."""
        listed = {host.name: host for host in hosts.hosts}
        if listed == self._listed:
            return
        self._listed = listed
        now_s = time.monotonic()
        for host in hosts.hosts:
            if host.role != TARGET_ROLE:
                self.table.add_listed(host, now_s)
        self._publish_change()
