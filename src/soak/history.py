"""What callers sent and heard, and the promises that it breaks."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from standins.line_group import Entry

# Codes that promise that nothing of the attempt is kept.
NOT_RUN_CODES = frozenset(
    {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}
)


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken, with the requests that show it."""

    promise: str
    detail: str


@dataclass(frozen=True, slots=True)
class AcknowledgedWrite:
    """A write that its caller was told is kept."""

    at_s: float
    version: int
    caller: str


@dataclass
class History:
    """Collects what callers saw, and judges each read when it ends.

    Each item has one writer, whose versions grow; the data of an attempt is
    unique, and names the version.
    """

    violations: list[Violation] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    acknowledged_data: dict[str, str] = field(default_factory=dict)
    not_run_data: dict[str, str] = field(default_factory=dict)
    _acknowledged: dict[str, list[AcknowledgedWrite]] = field(default_factory=dict)

    def record_acknowledged(
        self, items: Iterable[str], write: AcknowledgedWrite, data: str
    ) -> None:
        """Note a write, or a transaction over some items, that was acknowledged."""
        self.acknowledged_data[data] = (
            f"acknowledged to {write.caller} at {write.at_s:.3f}"
        )
        for item in items:
            self._acknowledged.setdefault(item, []).append(write)

    def record_not_run(self, data: str, code: str) -> None:
        """Note an attempt of which nothing is kept, by its answer."""
        self.not_run_data[data] = code

    def check_read(
        self, item: str, data: str, started_s: float, max_age_s: float, caller: str
    ) -> None:
        """Judge what a read returned.

        Args:
            item: that was read.
            data: that it had, or ``-``.
            started_s: before the first byte of the read was sent.
            max_age_s: how old the data may be; 0 for not at all.
            caller: whose own writes must be seen in any case.
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
        """Judge the log of the primary at the end."""
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
                        f"{data} is kept, though its answer was "
                        f"{self.not_run_data[data]}",
                    )
                )
        for data, how in self.acknowledged_data.items():
            if data not in commit_counts:
                self.violations.append(Violation("lost write", f"{data}: {how}"))


def read_version(data: str) -> int:
    """Return the version that data names; 0 for none."""
    first, _, _ = data.partition(".")
    return int(first) if first.isdigit() else 0
