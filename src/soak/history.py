"""The results that callers saw, and the guarantees that they violate."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from standins.line_group import Entry

# Error codes which guarantee that the attempt had no effect.
NOT_RUN_CODES = frozenset(
    {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY", "NOAUTH"}
)


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken guarantee.

    Args:
        promise: The name of the guarantee.
        detail: The requests that show the violation.
    """

    promise: str
    detail: str


@dataclass(frozen=True, slots=True)
class Report:
    """The result of a run.

    Args:
        seed: The seed of the run.
        violations: The broken guarantees.
        outcomes: The number of attempts by kind and result.
        folder: The directory with the hosts' logs and the fault log.
    """

    seed: int
    violations: tuple[Violation, ...]
    outcomes: dict[str, int]
    folder: Path


@dataclass(frozen=True, slots=True)
class AcknowledgedWrite:
    """A write that was acknowledged to its caller.

    Args:
        at_s: The time of the acknowledgement.
        version: The version of the written data.
        caller: The session that wrote it.
    """

    at_s: float
    version: int
    caller: str


@dataclass
class History:
    """The results that callers saw, with checks of each read and of the log.

    Each item has a single writer that writes increasing versions. The data of an
    attempt are unique and contain the version.

    Args:
        violations: The violations found so far.
        outcomes: The number of attempts by kind and result.
        acknowledged_data: When and to whom each write was acknowledged, by data.
        not_run_data: The error code of each attempt without effect, by data.
    """

    violations: list[Violation] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    acknowledged_data: dict[str, str] = field(default_factory=dict)
    not_run_data: dict[str, str] = field(default_factory=dict)
    _acknowledged: dict[str, list[AcknowledgedWrite]] = field(default_factory=dict)

    def record_acknowledged(
        self, items: Iterable[str], write: AcknowledgedWrite, data: str
    ) -> None:
        """Record an acknowledged write or transaction over the given items."""
        self.acknowledged_data[data] = (
            f"acknowledged to {write.caller} at {write.at_s:.3f}"
        )
        for item in items:
            self._acknowledged.setdefault(item, []).append(write)

    def record_not_run(self, data: str, code: str) -> None:
        """Record an attempt whose error code guarantees that it had no effect."""
        self.not_run_data[data] = code

    def check_refusal(self, code: str) -> None:
        """Check that a caller was not refused for its key, which is valid throughout.

        Args:
            code: The error code of a session or statement, or ``ok``.
        """
        if code == "NOAUTH":
            detail = "a caller whose key is valid was answered NOAUTH"
            self.violations.append(Violation("valid key refused", detail))

    def check_read(
        self, item: str, data: str, started_s: float, max_age_s: float, caller: str
    ) -> None:
        """Check that a read returned data that are recent enough.

        Args:
            item: The item that was read.
            data: The data that were returned, or ``-`` for none.
            started_s: A time before the read was sent.
            max_age_s: The maximum age of the data; 0 requires the latest.
            caller: The session whose own writes must be visible at any age.
        """
        seen = read_version(data)
        for write in self._acknowledged.get(item, ()):
            required_s = started_s if write.caller == caller else started_s - max_age_s
            if write.at_s < required_s and write.version > seen:
                self.violations.append(
                    Violation(
                        "stale read",
                        f"{caller} read {data!r} of {item} at {started_s:.3f}, after "
                        f"version {write.version} was acknowledged at "
                        f"{write.at_s:.3f}",
                    )
                )
                return

    def check_log(self, log: Iterable[Entry]) -> None:
        """Check the final log of the primary for lost, doubled and mixed writes."""
        commit_counts: Counter[str] = Counter()
        for entry in log:
            attempts = {data for _, data in entry.writes}
            if len(attempts) > 1:
                self.violations.append(
                    Violation("mixed transaction", f"{sorted(attempts)} in one commit")
                )
            commit_counts.update(attempts)
        for data, count in commit_counts.items():
            if count > 1:
                self.violations.append(
                    Violation("doubled write", f"{data} {count} times")
                )
            if data in self.not_run_data:
                self.violations.append(
                    Violation(
                        "untrue promise",
                        f"{data} was committed although its reply was "
                        f"{self.not_run_data[data]}",
                    )
                )
        for data, how in self.acknowledged_data.items():
            if data not in commit_counts:
                self.violations.append(Violation("lost write", f"{data}: {how}"))

    def check_promotions(self, promotions: Iterable[tuple[str, str, int]]) -> None:
        """Check that no two hosts ordered promotions with the same fencing token.

        Args:
            promotions: The instance, the host and the token of each order.
        """
        holders: dict[int, str] = {}
        for instance, holder, token in promotions:
            if holders.setdefault(token, holder) != holder:
                detail = f"{holders[token]} and {holder}, which promoted {instance}"
                self.violations.append(
                    Violation("shared fencing token", f"{token} of {detail}")
                )


def read_version(data: str) -> int:
    """Return the version in an item's data, or 0 if there is none."""
    first, _, _ = data.partition(".")
    return int(first) if first.isdigit() else 0
