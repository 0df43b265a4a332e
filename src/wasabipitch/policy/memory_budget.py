"""Decides what callers' connections may hold in memory, and who is closed first.

See docs/design/memory.md for the reasons behind the figures.
"""

from collections.abc import Iterable, Sequence

import msgspec

MIB = 1 << 20
# What the process needs itself: 28 MB after its start, and the copies of the store's
# records and of the configuration of a large fleet.
OWN_BYTES = 64 * MIB
# One statement of 1 MiB is served with any memory; see ``STATEMENT_COPIES``.
MIN_BUDGET_BYTES = 8 * MIB
# The other half covers what isn't counted: buffers of the kernel, fragmentation of the
# heap, short-lived copies, and connections that hold less than ``SMALL_BYTES``.
BUDGET_SHARE = 0.5
# Less than this is not counted, so that ordinary statements cost no bookkeeping.
SMALL_BYTES = 16 * 1024
# The line, the statement's text, a field of it, and the message to the instance or
# peer.
STATEMENT_COPIES = 4
# Large statements that run may take this share of the budget, so that there is room for
# those that wait or arrive.
RUNNING_SHARE = 0.5
# A statement waits this long for memory and is then refused; it has not run.
ADMISSION_WAIT_S = 0.5
# The kernel's buffers of so many connections are together as large as the budget.
BUFFERED_CONNECTIONS = 1024
# A window of 32 KiB carries 5 Mbit/s with a round trip of 50 ms. The kernel uses twice
# the value that is set, half of it for its own bookkeeping.
MIN_SOCKET_BYTES = 32 * 1024
MAX_SOCKET_BYTES = 256 * 1024
# Descriptors for links (two for each of 128 hosts), instances, the store, health checks
# and metrics; at most a third of all.
RESERVED_DESCRIPTORS = 384
RESERVED_SHARE = 3
# A connection younger than this isn't closed to make room for another: its startup
# message may be under way.
MIN_REPLACED_AGE_S = 1.0
# Connections are checked for progress at this interval. The checks are counted instead
# of the time, so that a pause of the process itself closes none.
CHECK_INTERVAL_S = 5.0
# Less progress than this between two checks is none. Where 350 callers share 5 Mbit/s,
# each still moves 9 KB between two checks.
MIN_PROGRESS_BYTES = 256
STALLED_CHECKS = 4

OUT_OF_MEMORY = "memory"
HALF_MESSAGE = "half a message"
UNREAD_ANSWERS = "answers not read"
NO_STARTUP = "no startup"
NEVER_USED = "never used"
TOO_MANY = "too many connections"
NO_HELLO = "no hello"
MALFORMED = "malformed"


class MemoryPlan(msgspec.Struct, frozen=True):
    """The limits on callers' connections of a host.

    Args:
        budget_bytes: What all connections may hold together, or 0 for no limit.
        socket_bytes: The size of each connection's kernel buffers, or 0 for the
            system's default.
        connections: The number of connections, or 0 for no limit.
    """

    budget_bytes: int = 0
    socket_bytes: int = 0
    connections: int = 0


def make_plan(memory_bytes: int, max_descriptors: int) -> MemoryPlan:
    """Return the limits that follow from what the machine allows.

    Args:
        memory_bytes: The limit on the process's memory, or 0 if there is none.
        max_descriptors: The limit on its open descriptors, or 0 if there is none.
    """
    budget_bytes = socket_bytes = connections = 0
    if memory_bytes:
        free_bytes = int((memory_bytes - OWN_BYTES) * BUDGET_SHARE)
        budget_bytes = max(MIN_BUDGET_BYTES, free_bytes)
        share = budget_bytes // BUFFERED_CONNECTIONS
        socket_bytes = min(max(share, MIN_SOCKET_BYTES), MAX_SOCKET_BYTES)
    if max_descriptors:
        reserved = min(RESERVED_DESCRIPTORS, max_descriptors // RESERVED_SHARE)
        connections = max_descriptors - reserved
    return MemoryPlan(budget_bytes, socket_bytes, connections)


class Holding(msgspec.Struct, frozen=True):
    """What one connection holds.

    Args:
        key: Identifies the connection.
        size: The number of bytes, without those of a statement that runs.
        running: Whether a statement of the connection runs.
    """

    key: int
    size: int
    running: bool = False


class Closure(msgspec.Struct, frozen=True):
    """The decision to close a connection.

    Args:
        key: Identifies the connection.
        reason: Why it is closed.
        size: The number of bytes that it holds.
    """

    key: int
    reason: str
    size: int = 0


def choose_closures(holdings: Iterable[Holding], excess: int) -> list[Closure]:
    """Return the connections to close so that the budget holds again.

    The connection that holds most goes first. Connections whose statements run go
    last, since they free their memory soon and their callers would not learn whether
    the statement ran. One that holds little is never closed.

    Args:
        holdings: What each connection holds.
        excess: The number of bytes to free.
    """
    large = [holding for holding in holdings if holding.size >= SMALL_BYTES]
    large.sort(key=lambda holding: (holding.running, -holding.size))
    closures = []
    for holding in large:
        if excess <= 0:
            break
        excess -= holding.size
        closures.append(Closure(holding.key, OUT_OF_MEMORY, holding.size))
    return closures


def may_start(cost: int, running: int, budget: int) -> bool:
    """Return whether a large statement may start now.

    One may always run, whatever its size.

    Args:
        cost: The bytes that it needs while it runs.
        running: The bytes of the large statements that run.
        budget: What all connections may hold together, or 0 for no limit.
    """
    return not budget or not running or running + cost <= budget * RUNNING_SHARE


class Newcomer(msgspec.Struct, frozen=True):
    """A connection that has not run a statement yet.

    Args:
        key: Identifies the connection.
        age_s: The time since it was accepted.
        started: Whether its startup message was read.
    """

    key: int
    age_s: float
    started: bool


def choose_replaced(newcomers: Sequence[Newcomer]) -> Closure | None:
    """Return the connection to close for a new one when no more are allowed.

    Connections without a startup message go before sessions without a statement, and
    the oldest goes first. A session that has run a statement is never closed for this.

    Args:
        newcomers: The connections that have not run a statement, the oldest first.
    """
    old = [conn for conn in newcomers if conn.age_s >= MIN_REPLACED_AGE_S]
    for conn in old:
        if not conn.started:
            return Closure(conn.key, NO_STARTUP)
    return Closure(old[0].key, NEVER_USED) if old else None


class Progress(msgspec.Struct, frozen=True):
    """How far a connection had come when it was checked.

    Args:
        awaits_rest: Whether the host waits for the rest of a message.
        received: The bytes received since the connection was opened.
        unsent: The bytes that the caller has not read, or 0 below the high-water mark.
        stalled: The number of successive checks without progress until then.
    """

    awaits_rest: bool = False
    received: int = 0
    unsent: int = 0
    stalled: int = 0


def find_stall(before: Progress, now: Progress) -> str:
    """Return why a connection has made no progress between two checks, or ''."""
    received = now.received - before.received
    if before.awaits_rest and now.awaits_rest and received < MIN_PROGRESS_BYTES:
        return HALF_MESSAGE
    sent = before.unsent - now.unsent
    if before.unsent and now.unsent and sent < MIN_PROGRESS_BYTES:
        return UNREAD_ANSWERS
    return ""
