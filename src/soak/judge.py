"""Judges each promotion in a group at the moment it takes effect."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from soak.history import Violation
from standins.line_group import Entry

LOST = "LOST"
LOWER_TOKEN = "lower fencing token"
OLD_PRIMARY = "commit at an old primary"


@dataclass(frozen=True, slots=True)
class AcknowledgedCommit:
    """A commit that its primary has acknowledged, whether or not the answer was read.

    Args:
        entry: The commit.
        at_s: When a replica had received it.
        primary: The name of the instance that acknowledged it.
    """

    entry: Entry
    at_s: float
    primary: str


@dataclass(frozen=True, slots=True)
class Order:
    """An order to promote an instance.

    Args:
        instance: The name of the instance.
        holder: The host that gave the order.
        token: Its fencing token.
        at_s: When the order arrived.
    """

    instance: str
    holder: str
    token: int
    at_s: float


class PromotionJudge:
    """Checks the orders and promotions of one group.

    Args:
        group: The name of the group.
    """

    def __init__(self, group: str) -> None:
        self.group = group
        self.violations: list[Violation] = []
        # Commits that an old primary acknowledged after a promotion took effect.
        self.late_commits: list[AcknowledgedCommit] = []
        self.promotion_count = 0
        self.lost_count = 0
        self._acknowledged: list[AcknowledgedCommit] = []
        self._newest_term = 1
        self._highest_order: Order | None = None

    def record_acknowledged(self, entry: Entry, at_s: float, primary: str) -> None:
        """Record a commit at the moment when its primary acknowledges it."""
        commit = AcknowledgedCommit(entry, at_s, primary)
        if entry.term < self._newest_term:
            self.late_commits.append(commit)
        else:
            self._acknowledged.append(commit)

    def record_order(self, order: Order) -> None:
        """Record an order, and check that no earlier one had a higher token."""
        highest = self._highest_order
        if highest is None or order.token >= highest.token:
            self._highest_order = order
            return
        self._add(
            LOWER_TOKEN,
            f"{order.token} of {order.holder} at {order.at_s:.3f}, after "
            f"{highest.token} of {highest.holder} at {highest.at_s:.3f}",
        )

    def record_promotion(
        self,
        order: Order,
        term: int,
        at_s: float,
        log: Sequence[Entry],
        logs: Mapping[str, Sequence[Entry]],
    ) -> None:
        """Check a promotion that takes effect for acknowledged commits that it loses.

        Args:
            order: The order that is carried out.
            term: The term that begins.
            at_s: When the promotion takes effect.
            log: The log of the promoted instance.
            logs: The logs of all instances of the group by name.
        """
        self.promotion_count += 1
        self._newest_term = term
        kept = set(log)
        for commit in self._acknowledged:
            if commit.entry not in kept:
                self._add_lost(commit, order, at_s, log, logs)
        # A lost commit is reported once.
        self._acknowledged = [c for c in self._acknowledged if c.entry in kept]

    def check_late_commits(self, acknowledged_data: Mapping[str, str]) -> None:
        """Check that no caller was told the success of a commit at an old primary.

        Args:
            acknowledged_data: How each write was acknowledged to its caller, by data.
        """
        for commit in self.late_commits:
            _, data = commit.entry.writes[0]
            if data in acknowledged_data:
                how = acknowledged_data[data]
                self._add(OLD_PRIMARY, f"{_describe(commit)}, after a promotion; {how}")

    def _add_lost(
        self,
        commit: AcknowledgedCommit,
        order: Order,
        at_s: float,
        log: Sequence[Entry],
        logs: Mapping[str, Sequence[Entry]],
    ) -> None:
        self.lost_count += 1
        holders = [name for name, other in logs.items() if commit.entry in other]
        before_s = order.at_s - commit.at_s
        when = "before" if before_s >= 0 else "after"
        end = f"{log[-1].term}.{log[-1].number}" if log else "0.0"
        self._add(
            LOST,
            f"{_describe(commit)}, {abs(before_s):.3f} s {when} the order, held by "
            f"{holders}; {order.instance} leads term {self._newest_term} from {end} at "
            f"{at_s:.3f}, ordered by {order.holder} at {order.at_s:.3f}",
        )

    def _add(self, promise: str, detail: str) -> None:
        self.violations.append(Violation(promise, f"{self.group}: {detail}"))


def _describe(commit: AcknowledgedCommit) -> str:
    entry = commit.entry
    return (
        f"{entry.term}.{entry.number} ({entry.writes[0][1]}) acknowledged by "
        f"{commit.primary} at {commit.at_s:.3f}"
    )
