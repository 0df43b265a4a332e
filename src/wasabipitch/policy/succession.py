"""When a primary is replaced, by whom, and by which instance.

Answers primaries that crash, go silent, drain, lose their replicas or come back
empty. The chosen instance must hold every acknowledged commit: either every
instance that may have confirmed one was asked after it stopped receiving, or
every host said which commits it saw acknowledged.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

from wasabipitch.models import Position

# Of the hosts, the share that must doubt a primary before it is replaced.
SUSPICION_SHARE = 1 / 3
# The next host in the order acts this much later than the one before it.
RANK_DELAY_S = 0.5
# A replacement that has not ended after this time is taken over.
TAKEOVER_S = 4.0


@dataclass(frozen=True, slots=True)
class Evidence:
    """What speaks against a group's primary.

    Args:
        registered: whether its entry is there, under the same start.
        leaving: whether it announced its end.
        demoted: whether it says itself that it no longer leads.
        doubts: hosts that can't work with it.
        certain: whether one of them found no process there.
        hosts: that work with it.
    """

    registered: bool
    leaving: bool
    demoted: bool
    suspicions: int
    certain: bool
    hosts: int


def find_replacement_reason(evidence: Evidence) -> str | None:
    """Return why a primary should be replaced now, or None."""
    if not evidence.registered:
        return "its registration is gone"
    if evidence.leaving:
        return "it is leaving"
    if evidence.demoted:
        return "it no longer leads"
    if evidence.certain:
        return "it does not run"
    if evidence.suspicions >= suspicions_needed(evidence.hosts):
        return f"{evidence.suspicions} of {evidence.hosts} hosts can't work with it"
    return None


def suspicions_needed(hosts: int) -> int:
    """Return how many hosts must doubt a primary that still runs."""
    if hosts <= 2:
        return 1
    return max(2, int(hosts * SUSPICION_SHARE + 0.5))


def rank(group: str, host: str, hosts: Iterable[str]) -> int:
    """Return a host's place in the order of those who look after a group."""

    def weight(name: str) -> int:
        return xxhash.xxh64_intdigest(f"{group}/{name}".encode())

    own = weight(host)
    return sum(weight(other) > own for other in hosts if other != host)


@dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that stopped receiving and said how far it had got.

    Args:
        received: the last position that it has.
        leaving: whether it announced its end.
    """

    name: str
    received: Position
    leaving: bool


@dataclass(frozen=True, slots=True)
class Choice:
    """The instance to promote, or why none can be named yet."""

    instance: str | None
    reason: str


def choose_successor(
    candidates: Mapping[str, Candidate],
    silent: Iterable[str],
    acknowledged: Position,
    all_hosts_answered: bool,
) -> Choice:
    """Return the instance that surely holds every acknowledged commit.

    Args:
        candidates: by name, all asked after they stopped receiving.
        silent: other instances that may have confirmed commits.
        acknowledged: the greatest position that any host saw acknowledged.
        all_hosts_answered: whether every host said so, and gave up the old
            primary.
    """
    if not candidates:
        return Choice(None, "no instance answers")
    furthest = max(candidate.received for candidate in candidates.values())
    if furthest < acknowledged:
        return Choice(None, f"{acknowledged} was acknowledged, {furthest} is held")
    if list(silent) and not all_hosts_answered:
        return Choice(None, "an instance and a host are silent")
    needed = acknowledged if all_hosts_answered else furthest
    holders = [c for c in candidates.values() if c.received >= needed]
    best = max(holders, key=lambda c: (not c.leaving, c.received, c.name))
    return Choice(best.name, f"it holds {best.received}")
