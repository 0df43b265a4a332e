"""Use of an instance's connections where each of them serves one client account.

A connection is opened in the name of an account and never runs another account's
statements. An owner of a group holds few connections to each instance (6 to 9), fewer
than it serves accounts (83 over all owners), and a handshake takes 12 ms of one of the
instance's slots. For a request without an idle connection of its account the owner
therefore opens one, closes another account's idle connection to make room for it, or
lets the request wait for one of its account's own connections.

The rules are made for three patterns of load:

- *Many small accounts*, more than there are connections. Connections are kept for as
  long as nobody else needs the room, and the least recently used one makes room.
- *One hot account beside many small ones.* It holds at most ``MAX_SHARE`` of the
  connections while other accounts are active. Its requests queue behind those of the
  other accounts (``FairOrder``), and its connections are the first to make room.
- *A peak after a restart*, with no connection open. Handshakes for several accounts run
  at the same time, as many as the host may run statements at the instance.
"""

import enum
import math
from collections.abc import Mapping, Sequence

import msgspec

# A handshake takes 12 ms at the instance and two round trips of up to 1 ms.
HANDSHAKE_S = 0.014
# Closing another account's connection costs that account a handshake later.
REPLACEMENT_COST_S = 2 * HANDSHAKE_S
# The share of an instance's connections that one account may hold while others are
# active.
MAX_SHARE = 0.5
# An account counts as active for this long after it last used a connection. With 1 s, a
# hot account took all connections to a primary in the gaps between the small accounts'
# writes.
ACTIVE_S = 3.0
# A connection idle for this long is half as likely to be needed again by its account.
REUSE_S = 1.0
# An idle connection this close to its idle timeout is closed before all others.
NEAR_TIMEOUT_SHARE = 0.8
# A request is overtaken only by requests that arrive within this time after it. It is
# about half of the wait that the usual objective of 0.2 s permits.
MAX_DELAY_S = 0.08


class Use(enum.Enum):
    """What is done for a request that needs a connection."""

    IDLE = "idle"
    OPEN = "open"
    REPLACE = "replace"
    WAIT = "wait"


class Decision(msgspec.Struct, frozen=True):
    """What is done for a request, and why."""

    use: Use
    reason: str


class Demand(msgspec.Struct, frozen=True):
    """The demand of an account, over all instances that may serve a request.

    Args:
        position: The request's place among the account's waiting requests; 1 is the
            first.
        in_use: The number of the account's connections that are checked out.
        opening: The number of connections that are being opened for the account.
        checkout_s: The mean duration of a checkout, pauses of transactions included.
        waited_s: For how long the request has waited.
    """

    position: int
    in_use: int
    opening: int
    checkout_s: float
    waited_s: float = 0.0


class PoolUse(msgspec.Struct, frozen=True):
    """The state of one instance's pool, as an account's request sees it.

    Args:
        limit: The number of connections that the host may hold to the instance.
        held: The number that count against it: open, being opened, or closed so
            recently that the instance may not have seen their end.
        opening: The number that are being opened, for any account.
        max_opening: The number that may be opened at the same time.
        own: The number that the account holds, those being opened included.
        own_idle: The number of these that are idle.
        others_idle: The number of idle connections of other accounts.
        others_active: Whether another account waits, uses a connection to any of the
            group's instances or used one within ``ACTIVE_S``.
    """

    limit: int
    held: int
    opening: int
    max_opening: int
    own: int
    own_idle: int
    others_idle: int
    others_active: bool


class IdleConnection(msgspec.Struct, frozen=True):
    """An idle connection that may be closed to make room.

    Args:
        held: The number of connections that its account holds to the instance.
        idle_s: For how long it has not been used.
    """

    held: int
    idle_s: float


BEING_OPENED = "a connection is being opened for it"
HELD_BACK = "its account holds its share while others are active"
OWN_WAIT = "one of its account's connections is expected sooner"
# The reasons to wait for one of the account's own connections.
OWN_WAITS = frozenset({HELD_BACK, OWN_WAIT})
# The reasons that need not hold for the account's next request.
PASSING_REASONS = frozenset({BEING_OPENED, OWN_WAIT})


def expected_own_wait_s(demand: Demand) -> float:
    """Return how long a request is expected to wait for its account's connections.

    A request that has waited for long is expected to wait that long again, since its
    account's transactions then take longer than the mean.
    """
    servers = demand.in_use + demand.opening
    if not servers:
        return math.inf
    expected_s = demand.position * demand.checkout_s / servers
    return max(expected_s, demand.waited_s)


def max_held(limit: int) -> int:
    """Return how many connections an account may hold while others are active."""
    return max(1, int(limit * MAX_SHARE))


def count_ahead(
    account: str, ahead: Mapping[str, int], account_limit: int
) -> tuple[int, int]:
    """Return how many waiting requests delay a new one.

    Requests of other accounts delay it only as far as these accounts may use the
    connections, so that a hot account's queue does not lead to refusals of others.

    Args:
        account: The account of the new request.
        ahead: The number of requests in the queue before it, by account.
        account_limit: The number of connections that one account may hold.

    Returns:
        The number of its own account's requests, and that of all accounts.
    """
    own = ahead.get(account, 0)
    others = sum(
        min(count, account_limit) for name, count in ahead.items() if name != account
    )
    return own, own + others


def decide(demand: Demand, pool: PoolUse) -> Decision:
    """Return what is done at one instance for a request that waits.

    Args:
        demand: The demand of the request's account.
        pool: The state of the instance's pool.
    """
    if pool.own_idle:
        # The instance runs as many of the host's statements as it may.
        return Decision(Use.IDLE, "one of its account's connections is idle")
    if demand.opening >= demand.position:
        return Decision(Use.WAIT, BEING_OPENED)
    if pool.opening >= pool.max_opening:
        return Decision(Use.WAIT, "enough connections are being opened")
    if pool.others_active and pool.own >= max_held(pool.limit):
        return Decision(Use.WAIT, HELD_BACK)
    return _weigh_handshake(expected_own_wait_s(demand), pool)


def _weigh_handshake(own_wait_s: float, pool: PoolUse) -> Decision:
    if pool.held < pool.limit:
        if own_wait_s > HANDSHAKE_S:
            return Decision(Use.OPEN, "there is room")
        return Decision(Use.WAIT, OWN_WAIT)
    if not pool.others_idle:
        return Decision(Use.WAIT, "all connections are in use")
    if pool.opening:
        # With several at once, the handshakes of an instance at its limit took as many
        # of its slots as the statements.
        return Decision(Use.WAIT, "another connection is being replaced")
    if own_wait_s > REPLACEMENT_COST_S:
        return Decision(Use.REPLACE, "another account's connection is idle")
    return Decision(Use.WAIT, OWN_WAIT)


def replacement_loss_s(idle_s: float) -> float:
    """Return what closing a connection is expected to cost its account.

    The more recently a connection was used, the more likely it is that its account
    needs it again and pays for another handshake.

    Args:
        idle_s: For how long the connection has not been used.
    """
    return HANDSHAKE_S * REUSE_S / (REUSE_S + idle_s)


def choose_closed(idle: Sequence[IdleConnection], timeout_s: float) -> int:
    """Return the index of the connection that is closed to make room.

    One that is about to reach its idle timeout comes first, then the least recently
    used one of the account that holds the most connections.

    Args:
        idle: The idle connections of other accounts, the least recently used one
            first; there is at least one.
        timeout_s: The idle timeout.
    """
    if idle[0].idle_s >= NEAR_TIMEOUT_SHARE * timeout_s:
        return 0
    return max(range(len(idle)), key=lambda index: (idle[index].held, -index))


class FairOrder:
    """Orders the waiting requests of several accounts within a priority.

    Each request gets a time, and the earliest one is served first. The times of an
    account's requests are at least one checkout apart, as if the account had a single
    connection, so that a hot account delays itself before it delays others. A time is
    at most ``MAX_DELAY_S`` after the request's arrival, and the times of one account
    never decrease: requests of a single account are served in order of arrival.
    """

    def __init__(self) -> None:
        self._last_s: dict[tuple[int, str], float] = {}

    def place(
        self, priority: int, account: str, arrived_s: float, checkout_s: float
    ) -> float:
        """Return the time by which a new request is ordered.

        Args:
            priority: The request's priority.
            account: The request's account.
            arrived_s: The time of its arrival.
            checkout_s: The mean duration of a checkout.
        """
        key = (priority, account)
        earliest_s = self._last_s.get(key, -math.inf) + checkout_s
        placed_s = min(max(arrived_s, earliest_s), arrived_s + MAX_DELAY_S)
        self._last_s[key] = placed_s
        return placed_s

    def forget_before(self, at_s: float) -> None:
        """Forget the accounts whose last request was placed before a time."""
        for key in [key for key, last_s in self._last_s.items() if last_s < at_s]:
            del self._last_s[key]
