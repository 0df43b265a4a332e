"""Named policy variants, so that the effect of each mechanism can be measured."""

from wasabipitch.deployment import Policy
from wasabipitch.exceptions import SettingsError

BASELINE = Policy(
    pooling="entry",
    replica_reads=False,
    reserve_slot=False,
    fair_queue=False,
    refuse_early=False,
    open_ahead=False,
    hold_over_failover=False,
)
VARIANTS = {
    "full": Policy(),
    "baseline": BASELINE,
    "no-replica-reads": Policy(replica_reads=False),
    "no-reserved-slot": Policy(reserve_slot=False),
    "no-fair-queue": Policy(fair_queue=False),
    "no-early-refusal": Policy(refuse_early=False),
    "no-opening-ahead": Policy(open_ahead=False),
    "no-holding": Policy(hold_over_failover=False),
    "entry-pooling": Policy(pooling="entry"),
}


def find_policy(name: str) -> Policy:
    """Return the policy of a variant.

    Raises:
        SettingsError: if no variant has the name.
    """
    try:
        return VARIANTS[name]
    except KeyError:
        known = ", ".join(VARIANTS)
        raise SettingsError(f"no variant is named {name!r}; known: {known}") from None
