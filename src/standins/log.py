"""The replication log of one instance: positions, entries and their order."""

import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field


@dataclass(frozen=True, order=True)
class Position:
    """A point in the log; points compare by term first, then by index."""

    term: int = 0
    index: int = 0


START = Position()


@dataclass(frozen=True)
class StatementInputs:
    """What a statement reads beside the tables, so that its replay is the same.

    Attributes:
        at_ms: Wall clock time for NOW(), in milliseconds since the epoch.
        seed: Seed of RAND() and UUID().
        last_insert_id: Value of LAST_INSERT_ID().
    """

    at_ms: int = 0
    seed: int = 0
    last_insert_id: int = 0


@dataclass(frozen=True)
class LoggedStatement:
    """One statement of a committed transaction, in sqlite's dialect."""

    sql: str
    inputs: StatementInputs


@dataclass(frozen=True)
class Entry:
    """One committed transaction, or the opening entry of a term (no statements).

    Attributes:
        position: Term and index of the entry.
        statements: The statements in the order in which they ran.
        committed_at: Monotonic time of the commit on this clock, in seconds.
    """

    position: Position
    statements: tuple[LoggedStatement, ...] = ()
    committed_at: float = field(default_factory=time.monotonic, compare=False)


class Log:
    """Entries with consecutive indexes from 1 and terms that never decrease."""

    def __init__(self, entries: Sequence[Entry] = ()) -> None:
        self._entries = list(entries)

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Entry]:
        return iter(self._entries)

    @property
    def last(self) -> Position:
        """Position of the last entry."""
        return self._entries[-1].position if self._entries else START

    def append(self, entry: Entry) -> None:
        """Add the entry that follows the last one.

        Raises:
            ValueError: The entry leaves a gap or has a lower term.
        """
        follows = entry.position.index == self.last.index + 1
        if not follows or entry.position.term < self.last.term:
            raise ValueError(f"{entry.position} does not follow {self.last}")
        self._entries.append(entry)

    def contains(self, position: Position) -> bool:
        """Tell whether the log contains the entry at this very position."""
        if position == START:
            return True
        if not 0 < position.index <= len(self._entries):
            return False
        return self._entries[position.index - 1].position == position

    def greatest_up_to(self, position: Position) -> Position:
        """Return the greatest position in the log that is not above the given one."""
        low, high = 0, len(self._entries)
        while low < high:
            middle = (low + high) // 2
            if self._entries[middle].position <= position:
                low = middle + 1
            else:
                high = middle
        return self._entries[low - 1].position if low else START

    def after(self, position: Position, limit: int) -> list[Entry]:
        """Return at most `limit` entries that follow a position of the log."""
        return self._entries[position.index : position.index + limit]

    def up_to(self, position: Position) -> list[Entry]:
        """Return the entries from the first to the one at a position of the log."""
        return self._entries[: position.index]
