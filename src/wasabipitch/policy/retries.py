"""Rules for hedging reads and for waiting while a group has no primary.

A statement that is known not to have run is retried at another instance. A read
without an answer is sent to a second instance, and the first answer wins. A request
that needs a primary waits only while the group is expected to have one soon, and is
refused otherwise.
"""

import math

import msgspec

from wasabipitch.policy.read_leases import READ_LEASE_S

# A read is hedged after this share of its response-time objective, so that the
# second answer can still arrive within the objective.
HEDGE_SHARE = 0.45
MIN_HEDGE_S = 0.04
# Multiple of the mean service time below which a read only takes long and its
# instance does not count as silent.
HEDGE_FACTOR = 5.0
# Tokens added for each read: the long-term share of reads that may be hedged.
HEDGE_BUDGET = 0.1
# Most tokens kept, hence most hedged reads in a burst.
HEDGE_BURST = 8.0
# A failover takes some 0.4 s if all hosts answer, and up to 3 s if it has to wait
# for a silent host.
MAX_FAILOVER_S = 3.2
# Time from the loss of a primary until its failover has to begin. If none has begun
# by then, requests no longer wait for it.
MAX_DETECTION_S = 1.5
# Hosts that run relinquish a primary within this time. A failover that waits longer
# waits for a silent host, until the read leases have ended.
MAX_RELINQUISH_S = 0.4
# The shortest time in which an instance becomes primary once it is chosen.
MIN_PROMOTION_S = 0.3
# A host that starts is registered some 30 ms after it has read the store. A call
# without an answer delays that by its timeout.
MAX_REGISTRATION_S = 1.2


class HedgeBudget:
    """Token budget that limits hedged reads to a share of all reads."""

    def __init__(self) -> None:
        self._tokens = HEDGE_BURST

    def add_tokens(self) -> None:
        """Add the fraction of a token that each read contributes."""
        self._tokens = min(HEDGE_BURST, self._tokens + HEDGE_BUDGET)

    def try_spend(self) -> bool:
        """Take a token for a hedged read; return False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def hedge_after_s(objective_s: float, service_s: float) -> float:
    """Return how long a read may go unanswered before it is hedged.

    Args:
        objective_s: The response-time objective of the read.
        service_s: The mean service time of its kind of statement.
    """
    return max(MIN_HEDGE_S, HEDGE_SHARE * objective_s, HEDGE_FACTOR * service_s)


class Outage(msgspec.Struct, frozen=True):
    """State of a group without a usable primary.

    Args:
        replacing_for_s: How long its primary has been under replacement, or None.
        unreachable_for_s: How long this host has been unable to reach the primary,
            or None.
        confirmed: Whether this host has a record of the group from the store.
        relinquished: Whether every host has relinquished the replaced primary.
        registering_for_s: How long this host has not been registered as one that
            serves the group, or None.
        blocked: Whether no successor can be chosen before more instances answer.
    """

    replacing_for_s: float | None
    unreachable_for_s: float | None
    confirmed: bool
    relinquished: bool = False
    registering_for_s: float | None = None
    blocked: bool = False


def may_wait_for_registration(registering_for_s: float | None) -> bool:
    """Return whether a request should wait until this host is registered.

    When all hosts start again at once, their callers reconnect before the hosts may
    use any primary. Refused at once, they would use up their retries within the few
    milliseconds until the hosts may.

    Args:
        registering_for_s: How long the host has not been registered, or None.
    """
    return registering_for_s is not None and registering_for_s < MAX_REGISTRATION_S


def may_wait_for_primary(outage: Outage, left_s: float = math.inf) -> bool:
    """Return whether a request that needs a primary should wait for one.

    Args:
        outage: What is known about the primary.
        left_s: The time that the request has left.
    """
    if may_wait_for_registration(outage.registering_for_s):
        return True
    if outage.replacing_for_s is not None:
        if outage.blocked and outage.replacing_for_s > MAX_RELINQUISH_S:
            return False
        in_time = earliest_primary_s(outage) < left_s
        return in_time and outage.replacing_for_s < MAX_FAILOVER_S
    if not outage.confirmed:
        return False
    return (
        outage.unreachable_for_s is None or outage.unreachable_for_s < MAX_DETECTION_S
    )


def earliest_primary_s(outage: Outage) -> float:
    """Return how long it takes at least until a replaced primary has a successor.

    While a host stays silent, the successor has to wait for the read leases. The
    requests that arrive meanwhile and have less time can't be served; held until
    their time limit, they would only keep their callers from asking elsewhere.

    Args:
        outage: A group whose primary is under replacement.
    """
    waits_for_leases = (
        not outage.relinquished and outage.replacing_for_s > MAX_RELINQUISH_S
    )
    wait_s = READ_LEASE_S if waits_for_leases else 0.0
    return max(0.0, wait_s + MIN_PROMOTION_S - outage.replacing_for_s)
