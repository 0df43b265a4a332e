"""What callers sent and heard, and the promises that it breaks."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from standins.line_group import Entry

# Codes that promise that nothing of the attempt is kept.
NOT_RUN = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"})


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken, with the requests that show it."""

    promise: str
    detail: str


@dataclass(frozen=True, slots=True)
class Acknowledged:
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
    kept: dict[str, str] = field(default_factory=dict)
    promised: dict[str, str] = field(default_factory=dict)
    _acknowledged: dict[str, list[Acknowledged]] = field(default_factory=dict)

    def note_kept(self, items: Iterable[str], write: Acknowledged, data: str) -> None:
        """Note a write, or a transaction over some items, that was acknowledged."""
        self.kept[data] = f"acknowledged to {write.caller} at {write.at_s:.3f}"
        for item in items:
            self._acknowledged.setdefault(item, []).append(write)

    def note_promised(self, data: str, code: str) -> None:
        """Note an attempt of which nothing is kept, by its answer."""
        self.promised[data] = code

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
        times: Counter[str] = Counter()
        for entry in log:
            attempts = {data for _, data in entry.writes}
            if len(attempts) > 1:
                self.violations.append(
                    Violation("mixed transaction", f"{sorted(attempts)} in one commit")
                )
            times.update(attempts)
        for data, count in times.items():
            if count > 1:
                self.violations.append(
                    Violation("doubled write", f"{data} {count} times")
                )
            if data in self.promised:
                self.violations.append(
                    Violation(
                        "untrue promise",
                        f"{data} is kept, though its answer was {self.promised[data]}",
                    )
                )
        for data, how in self.kept.items():
            if data not in times:
                self.violations.append(Violation("lost write", f"{data}: {how}"))


def read_version(data: str) -> int:
    """Return the version that data names; 0 for none."""
    first, _, _ = data.partition(".")
    return int(first) if first.isdigit() else 0
