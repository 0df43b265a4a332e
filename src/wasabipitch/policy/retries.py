"""When a request runs again or beside itself, and when it waits for a primary.

Answers lost answers, silent instances and replaced primaries: what surely did
not run is tried elsewhere, a read that hangs is asked again elsewhere, and a
request without a primary waits only while one is about to come.
"""

from dataclasses import dataclass

# A read is asked elsewhere when this share of its response-time objective is
# gone, so that the second answer can still come within the objective.
HEDGE_SHARE = 0.45
MIN_HEDGE_S = 0.04
# Against a mean service time: below this a read isn't late, only long.
HEDGE_FACTOR = 5.0
# Of all reads, the share that may be asked twice.
HEDGE_BUDGET = 0.1
HEDGE_BURST = 8.0
# A replacement that everyone follows takes some 0.4 s, one that waits for a
# silent host up to 3 s.
MAX_FAILOVER_S = 3.2
# Time without a primary in the record before a change begins.
MAX_DETECTION_S = 1.5


class HedgeBudget:
    """Allows second copies of reads as a share of all reads."""

    def __init__(self) -> None:
        self._tokens = HEDGE_BURST

    def add_tokens(self) -> None:
        """Count a read."""
        self._tokens = min(HEDGE_BURST, self._tokens + HEDGE_BUDGET)

    def try_spend(self) -> bool:
        """Take one second copy; return False if there is none left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def hedge_after_s(objective_s: float, service_s: float) -> float:
    """Return how long a read may go unanswered before it is asked elsewhere."""
    return max(MIN_HEDGE_S, HEDGE_SHARE * objective_s, HEDGE_FACTOR * service_s)


@dataclass(frozen=True, slots=True)
class Outage:
    """A group without a usable primary.

    Args:
        changing_for_s: how long it has been under replacement, or None.
        down_for_s: how long the primary can't be reached, or None.
        confirmed: whether the store's word on the group is fresh.
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
