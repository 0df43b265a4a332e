"""Rules for the replacement of a primary: when, by which host, by which instance.

A primary is replaced when it crashes, stops answering, leaves, loses its replicas or
comes back without its data. Its successor must hold every acknowledged commit. That
is certain in two cases: every instance that may have confirmed a commit was asked
for its log position after it was fenced, or a position is known that no acknowledged
commit exceeds.

Such a position follows from the reports of all hosts that may have acknowledged a
commit. A host that has ended can't report, so another one answers for it: it reads the
log end of the primary afterwards. Until it has, the instances alone decide. These are
the members of the group: an instance stays a member when its registration lapses,
until another replica holds what it may have confirmed.
"""

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
import xxhash

from wasabipitch.coordination.documents import Member
from wasabipitch.models import Position

# Share of the hosts that must suspect a primary before it is replaced.
SUSPICION_SHARE = 1 / 3
# Delay before a host acts on a failure, for each rank above 0. Pools have a delay of
# their own, in ``failover``.
RANK_DELAY_S = 0.5
# Time after which another host takes over a replacement that has not ended.
TAKEOVER_S = 4.0


class Evidence(msgspec.Struct, frozen=True):
    """Facts that decide whether a group's primary is replaced.

    Args:
        registered: Whether its registration exists and has the same start time.
        leaving: Whether it announced that it will stop.
        demoted: Whether it reports that it is no longer the primary.
        suspicions: The number of hosts that suspect it.
        certain: Whether one of these hosts found no process at its address.
        hosts: The number of hosts that use it.
    """

    registered: bool
    leaving: bool
    demoted: bool
    suspicions: int
    certain: bool
    hosts: int


def find_replacement_reason(evidence: Evidence) -> str | None:
    """Return why a primary should be replaced now, or None if it should stay."""
    if not evidence.registered:
        return "its registration is gone"
    if evidence.leaving:
        return "it is leaving"
    if evidence.demoted:
        return "it reports that it is no longer the primary"
    if evidence.certain:
        return "no process runs at its address"
    if evidence.suspicions >= suspicions_needed(evidence.hosts):
        return f"{evidence.suspicions} of {evidence.hosts} hosts suspect it"
    return None


def suspicions_needed(hosts: int) -> int:
    """Return how many hosts must suspect a primary that still runs."""
    if hosts <= 2:
        return 1
    return max(2, int(hosts * SUSPICION_SHARE + 0.5))


def rank(group: str, host: str, hosts: Iterable[str]) -> int:
    """Return a host's rank in the order in which hosts act on a group's failures.

    The order follows from rendezvous hashing; rank 0 acts first.
    """

    def weight(name: str) -> int:
        return xxhash.xxh64_intdigest(f"{group}/{name}".encode())

    own = weight(host)
    return sum(weight(other) > own for other in hosts if other != host)


class Candidate(msgspec.Struct, frozen=True):
    """An instance that was fenced and then reported its log position.

    Args:
        name: The instance's name.
        received: The last position in its log.
        leaving: Whether it announced that it will stop.
        refused: Whether its promotion was refused.
    """

    name: str
    received: Position
    leaving: bool
    refused: bool = False


class Choice(msgspec.Struct, frozen=True):
    """The successor, or why none can be chosen yet.

    Args:
        instance: The name of the instance to promote, or None.
        reason: Why it was chosen, or why none was.
        inputs: What the decision rests on, for the decision log.
    """

    instance: str | None
    reason: str
    inputs: Mapping[str, Any] = {}


def choose_successor(
    candidates: Mapping[str, Candidate],
    silent: Iterable[str],
    acknowledged: Position,
    limit: Position | None,
) -> Choice:
    """Return the instance that is certain to hold every acknowledged commit.

    Args:
        candidates: The fenced instances, by name.
        silent: The names of other instances that may have confirmed commits.
        acknowledged: The highest position that any host reported as acknowledged.
        limit: A position that no acknowledged commit exceeds, or None if none is
            known.
    """
    if not candidates:
        return Choice(None, "no instance answers")
    furthest = max(candidate.received for candidate in candidates.values())
    if furthest < acknowledged:
        return Choice(
            None,
            f"{acknowledged} was acknowledged, no candidate holds more than {furthest}",
        )
    # A replica that received more than the limit shows that it is none: what a replica
    # has received is acknowledged.
    silent = sorted(silent)
    if silent and limit != furthest:
        known = "unknown" if limit is None else f"at most {limit}"
        return Choice(
            None,
            f"{', '.join(silent)} may hold more than {furthest}, and the last"
            f" acknowledged commit is {known}",
        )
    holders = [c for c in candidates.values() if c.received == furthest]
    best = max(holders, key=lambda c: (not c.refused, not c.leaving, c.name))
    return Choice(best.name, f"it holds {best.received}")


def find_gone_members(
    members: Iterable[Member], registered: Iterable[Member]
) -> frozenset[Member]:
    """Return the members whose registrations lapsed or that started again empty."""
    return frozenset(members) - frozenset(registered)


def may_drop_members(
    end: Position, received: Mapping[Member, Position], members: Iterable[Member]
) -> bool:
    """Return whether members that are gone need not be waited for any more.

    Args:
        end: The log end of the primary, read after they were gone.
        received: The positions that the replicas that stay have received, read later.
        members: The members.
    """
    members = frozenset(members)
    return any(
        member in members and position >= end for member, position in received.items()
    )
