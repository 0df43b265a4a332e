"""A gossip membership table: what a process knows of the other processes.

Tables merge by keeping the newer of two facts about a host: the one with the later
incarnation, then the greater heartbeat, then the worse state. Only the host itself
starts an incarnation or increments its heartbeat, so a host that is wrongly taken
as dead refutes this with a greater heartbeat.
"""

import heapq
import math
import random
import time
from dataclasses import dataclass, field

import msgspec
from msgspec import structs

from wasabipitch.messages import Digest, HostFact
from wasabipitch.models import Host

LIVE = "live"
LEAVING = "leaving"
SUSPECT = "suspect"
DEAD = "dead"
_STATE_PRECEDENCE = {LIVE: 0, LEAVING: 0, SUSPECT: 1, DEAD: 2}

# Limits on a packed digest including its frame, and on the frame alone.
MAX_DIGEST_BYTES = 600
DIGEST_FRAME_BYTES = 128
# A fact counts as spread after this many sends per doubling of the fleet (log2).
SENDS_PER_DOUBLING = 3
MIN_SUSPECT_S = 2.0
SUSPECT_S_PER_DOUBLING = 0.5
NO_INCARNATION = ""  # of a listed host that has sent no fact yet

# A small fleet can afford more exchanges per process, and so detects failures
# sooner.
SMALL_FLEET = 100
SMALL_FLEET_PEERS = 3
LARGE_FLEET_PEERS = 1
# Interval, in rounds, at which one dead host is probed as well.
ROUNDS_PER_DEAD_PROBE = 5


def new_incarnation() -> str:
    """Return a string that sorts after those of earlier starts of the process."""
    return f"{time.time_ns():016x}"


def sort_key(fact: HostFact) -> tuple[str, int, int]:
    """Return a sort key by which the newer of two facts about a host is greater."""
    return (fact.incarnation, fact.heartbeat, _STATE_PRECEDENCE.get(fact.state, 0))


def fact_bytes(fact: HostFact) -> int:
    """Return the size of a packed fact in bytes."""
    return len(msgspec.msgpack.encode(fact))


@dataclass
class Member:
    """The latest fact about another host, and how far it has spread.

    Args:
        fact: The latest fact.
        sends: The number of digests that have carried it.
        since_s: The monotonic time at which it arrived.
        announced_leaving: Whether this incarnation has announced that it leaves.
        size: The size of the packed fact in bytes.
    """

    fact: HostFact
    sends: int
    since_s: float
    announced_leaving: bool = False
    size: int = field(init=False)

    def __post_init__(self) -> None:
        self.size = fact_bytes(self.fact)

    @property
    def host(self) -> Host:
        """The host that the fact is about."""
        return self.fact.host

    @property
    def state(self) -> str:
        """The state of the host, one of the constants of this module."""
        return self.fact.state


class MemberTable:
    """The facts about this host and all others.

    Args:
        host: This process.
        incarnation: The incarnation of this process.
        rng: Chooses among facts that were sent equally often.
    """

    def __init__(self, host: Host, incarnation: str, rng: random.Random) -> None:
        self.own = HostFact(host, incarnation, 0, LIVE)
        self.others: dict[str, Member] = {}
        self._rng = rng

    def merge(self, fact: HostFact, now_s: float) -> HostFact | None:
        """Store a fact if it is newer than the known one about that host.

        Returns:
            The replaced fact, the fact itself if the host was unknown, or None if
            the fact was not stored.
        """
        if fact.host.name == self.own.host.name:
            self._refute(fact)
            return None
        known = self.others.get(fact.host.name)
        if known is not None and sort_key(fact) <= sort_key(known.fact):
            return None
        announced_leaving = fact.state == LEAVING
        if known is not None and known.fact.incarnation == fact.incarnation:
            announced_leaving = announced_leaving or known.announced_leaving
        self.others[fact.host.name] = Member(fact, 0, now_s, announced_leaving)
        return known.fact if known else fact

    def add_listed(self, host: Host, now_s: float) -> bool:
        """Add a host from the platform's list; return whether it was unknown."""
        if host.name == self.own.host.name or host.name in self.others:
            return False
        fact = HostFact(structs.replace(host, state=LIVE), NO_INCARNATION, 0, LIVE)
        sends = self.compute_spread_sends()
        self.others[host.name] = Member(fact, sends, now_s)
        return True

    def set_state(self, name: str, state: str, now_s: float) -> bool:
        """Set the state in a host's latest fact; return whether it changed."""
        member = self.others.get(name)
        if member is None or member.state == state:
            return False
        fact = structs.replace(member.fact, state=state)
        self.others[name] = Member(fact, 0, now_s, member.announced_leaving)
        return True

    def leave(self) -> None:
        """Announce in all further digests that this process is leaving."""
        self.own = structs.replace(
            self.own, heartbeat=self.own.heartbeat + 1, state=LEAVING
        )

    def compute_suspicion_timeout_s(self) -> float:
        """Return how long a host stays suspect before it counts as dead, in seconds.

        The time grows with the number of rounds that a refutation needs to spread.
        """
        doublings = math.log2(len(self.others) + 2)
        return max(MIN_SUSPECT_S, SUSPECT_S_PER_DOUBLING * doublings)

    def compute_spread_sends(self) -> int:
        """Return the number of digests after which a fact counts as spread."""
        return math.ceil(SENDS_PER_DOUBLING * math.log2(len(self.others) + 2))

    def build_digest(self, revision: int, peer: str = "") -> Digest:
        """Return a digest of bounded size: this host, then the least sent facts.

        Args:
            revision: The configuration revision in force here.
            peer: The name of the receiver. If it is suspect or dead in this table,
                the digest includes that fact, so that the peer can refute it.
        """
        facts = [self.own]
        remaining_bytes = MAX_DIGEST_BYTES - DIGEST_FRAME_BYTES - fact_bytes(self.own)
        peer_member = self.others.get(peer)
        if peer_member is not None and peer_member.state in (SUSPECT, DEAD):
            facts.append(peer_member.fact)
            remaining_bytes -= peer_member.size
        for member in self._least_sent(peer):
            if member.size <= remaining_bytes:
                facts.append(member.fact)
                remaining_bytes -= member.size
                member.sends += 1
        return Digest(tuple(facts), revision)

    def _least_sent(self, peer: str) -> list[Member]:
        announced = [
            m
            for name, m in self.others.items()
            if name != peer and m.fact.incarnation != NO_INCARNATION
        ]
        most = MAX_DIGEST_BYTES // fact_bytes(self.own) + 1
        return heapq.nsmallest(
            most, announced, key=lambda m: (m.sends, self._rng.random())
        )

    def _refute(self, fact: HostFact) -> None:
        own = self.own
        if fact.incarnation > own.incarnation:
            if fact.host.address != own.host.address:
                # Another process has replaced this one under the same name.
                return
            # The clock went backwards between two starts of this process.
            self.own = structs.replace(own, incarnation=fact.incarnation + "+")
        elif fact.incarnation == own.incarnation and sort_key(fact) > sort_key(own):
            self.own = structs.replace(own, heartbeat=fact.heartbeat + 1)


def peers_per_round(fleet: int) -> int:
    """Return how many peers a process probes per round in a fleet of a size."""
    return SMALL_FLEET_PEERS if fleet <= SMALL_FLEET else LARGE_FLEET_PEERS


class ProbeOrder:
    """Chooses the hosts to probe: each in turn, in a shuffled order.

    Args:
        table: The hosts.
        rng: Shuffles the hosts, and chooses among dead ones.
    """

    def __init__(self, table: MemberTable, rng: random.Random) -> None:
        self._table = table
        self._rng = rng
        self._queue: list[str] = []
        self._urgent: set[str] = set()
        self._rounds = 0

    def prioritize(self, name: str) -> None:
        """Probe a host in the next rounds, before those whose turn it is."""
        self._urgent.add(name)

    def choose_next(self) -> list[str]:
        """Return the names of the hosts to probe in the next round."""
        self._rounds += 1
        others = self._table.others
        dead = [name for name, m in others.items() if m.state == DEAD]
        live_count = len(others) - len(dead)
        picked = []
        for _ in range(min(peers_per_round(len(others) + 1), live_count)):
            name = self._pop_next()
            if name is not None and name not in picked:
                picked.append(name)
        if dead and (live_count == 0 or self._rounds % ROUNDS_PER_DEAD_PROBE == 0):
            picked.append(self._rng.choice(dead))
        return picked

    def _pop_next(self) -> str | None:
        others = self._table.others
        while self._urgent:
            name = self._urgent.pop()
            if name in others:
                return name
        for _ in range(2):
            while self._queue:
                name = self._queue.pop()
                if name in others and others[name].state != DEAD:
                    return name
            self._queue = list(others)
            self._rng.shuffle(self._queue)
        return None
