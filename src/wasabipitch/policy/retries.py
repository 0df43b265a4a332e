"""Rules for hedging reads and for waiting while a group has no primary.

A statement that is known not to have run is retried at another instance. A read
without an answer is sent to a second instance, and the first answer wins. A request
that needs a primary waits only while the group is expected to have one soon, and is
refused otherwise.
"""

from dataclasses import dataclass

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


@dataclass(frozen=True, slots=True)
class Outage:
    """State of a group without a usable primary.

    Args:
        replacing_for_s: How long its primary has been under replacement, or None.
        unreachable_for_s: How long this host has been unable to reach the primary,
            or None.
        confirmed: Whether this host has a record of the group from the store.
    """

    replacing_for_s: float | None
    unreachable_for_s: float | None
    confirmed: bool


def may_wait_for_primary(outage: Outage) -> bool:
    """Return whether a request that needs a primary should wait for one."""
    if outage.replacing_for_s is not None:
        return outage.replacing_for_s < MAX_FAILOVER_S
    if not outage.confirmed:
        return False
    return (
        outage.unreachable_for_s is None or outage.unreachable_for_s < MAX_DETECTION_S
    )
