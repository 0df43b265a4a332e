"""Choice of the host that counts an account's operations, and since when it may.

The hosts are ranked for each account by a rendezvous hash, strong hosts before weak
ones. The first live host of the order is the counter, and the second one answers for it
while it is silent.

A host's rank depends on its own registration only. Of two hosts that both are in the
copies of both, one therefore ranks before the other in each copy, whatever other hosts
the copies hold. The proof that two hosts never count at once needs this; see
``docs/design/limits.md``.
"""

import functools
import math
from collections import deque
from collections.abc import Iterable

import msgspec
import xxhash

# A host with this much of both is of the lowest strong class. Classes are a factor of
# two apart in cores and in bandwidth, so hosts that are alike share one.
STRONG_CORES = 1.0
STRONG_LINK_MBPS = 50.0
# The hosts of the order that grant tokens: the counter and its substitute.
GRANTING_HOSTS = 2


class Candidate(msgspec.Struct, frozen=True):
    """A live host.

    Args:
        name: The host's name.
        cores: The processor time that it may use, in cores, or 0 if unknown.
        link_mbps: The bandwidth of its network link, or 0 if unknown.
    """

    name: str
    cores: float = 0.0
    link_mbps: float = 0.0


@functools.lru_cache(maxsize=256)
def strength(cores: float, link_mbps: float) -> int:
    """Return the class of a host; a host that is twice as strong is in a higher one.

    A host of unknown strength is in class 0.
    """
    if cores <= 0 or link_mbps <= 0:
        return 0
    return min(
        math.floor(math.log2(cores / STRONG_CORES)),
        math.floor(math.log2(link_mbps / STRONG_LINK_MBPS)),
    )


def rank(account: str, candidates: Iterable[Candidate]) -> tuple[str, ...]:
    """Return the names of the hosts that grant an account's tokens, the counter first.

    Args:
        account: The account's name.
        candidates: The live hosts.
    """

    def sort_key(name: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f"{account}/{name}".encode()), name

    classes: dict[int, list[str]] = {}
    for candidate in candidates:
        number = strength(candidate.cores, candidate.link_mbps)
        classes.setdefault(number, []).append(candidate.name)
    order: list[str] = []
    for number in sorted(classes, reverse=True):
        order.extend(sorted(classes[number], key=sort_key, reverse=True))
        if len(order) >= GRANTING_HOSTS:
            break
    return tuple(order[:GRANTING_HOSTS])


class Membership:
    """The live hosts by the local copy, now and in the last seconds.

    Args:
        horizon_s: For how long earlier versions are kept.
    """

    def __init__(self, horizon_s: float) -> None:
        self._horizon_s = horizon_s
        self._versions: deque[tuple[float, frozenset[Candidate]]] = deque()
        # Increases with each change of the live hosts.
        self.number = 0
        # The time of the first version, or infinity before it.
        self.begun_at_s = math.inf

    def record(self, candidates: frozenset[Candidate], at_s: float) -> None:
        """Record the live hosts after a change of the copy."""
        if not self._versions or candidates != self._versions[-1][1]:
            self._versions.append((at_s, candidates))
            self.number += 1
            self.begun_at_s = min(self.begun_at_s, at_s)
        # The version in force at the horizon began before it.
        while len(self._versions) > 1 and (
            self._versions[1][0] < at_s - self._horizon_s
        ):
            self._versions.popleft()

    def read_since(self, number: int) -> list[tuple[float, frozenset[Candidate]]]:
        """Return the versions after the one with a number, oldest first."""
        missed = min(self.number - number, len(self._versions))
        return list(self._versions)[len(self._versions) - missed :]


class Standing:
    """A host's place in the order of one account.

    Args:
        account: The account's name.
        own: The host's name.
    """

    def __init__(self, account: str, own: str) -> None:
        self._account = account
        self._own = own
        self._number = 0
        # The hosts that grant the account's tokens now, the counter first.
        self.order: tuple[str, ...] = ()
        # Since when this host is the first of the order without interruption, or one
        # of the order, on its own copy; infinity if it is not.
        self.first_since_s = math.inf
        self.granting_since_s = math.inf

    def update(self, membership: Membership) -> None:
        """Take the changes of the live hosts since the last call into account."""
        if membership.number == self._number:
            return
        for at_s, candidates in membership.read_since(self._number):
            self.order = rank(self._account, candidates)
            if self._own not in self.order:
                self.granting_since_s = math.inf
            else:
                self.granting_since_s = min(self.granting_since_s, at_s)
            if self.order[:1] != (self._own,):
                self.first_since_s = math.inf
            else:
                self.first_since_s = min(self.first_since_s, at_s)
        self._number = membership.number


class ProofChain:
    """Since when the proofs of the local copy were never older than a limit.

    Args:
        limit_s: The age of the oldest proof that counts, in seconds.
    """

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._proven_at_s = 0.0
        self.since_s = math.inf
        # The time of the first proof that was observed.
        self.begun_at_s = math.inf

    def observe(self, proven_at_s: float, at_s: float) -> None:
        """Record the present proof.

        Args:
            proven_at_s: The time as of which the copy is known to be current, or 0.
            at_s: The present time.
        """
        if at_s - self._proven_at_s >= self._limit_s:
            # The copy may have missed that another host was first in the meantime.
            self.since_s = math.inf
        self._proven_at_s = max(self._proven_at_s, proven_at_s)
        is_proven = proven_at_s > 0 and at_s - self._proven_at_s < self._limit_s
        if is_proven and self.since_s == math.inf:
            self.since_s = at_s
            self.begun_at_s = min(self.begun_at_s, at_s)
