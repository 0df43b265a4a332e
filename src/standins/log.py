"""Replication log of one instance, kept in memory."""

import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field


@dataclass(frozen=True, order=True)
class Position:
    """A position in the log, which compares by term first and then by index.

    Attributes:
        term: Term of the primary that wrote the entry; 0 before the first entry.
        index: Number of the entry in the log, from 1; 0 before the first entry.
    """

    term: int = 0
    index: int = 0


START = Position()


@dataclass(frozen=True)
class StatementInputs:
    """Inputs of a statement besides the tables, logged so that replay is deterministic.

    Attributes:
        at_ms: Wall clock time that NOW() returns, in milliseconds since the epoch.
        seed: Seed of RAND() and UUID().
        last_insert_id: Value that LAST_INSERT_ID() returns.
    """

    at_ms: int = 0
    seed: int = 0
    last_insert_id: int = 0


@dataclass(frozen=True)
class LoggedStatement:
    """One statement of a committed transaction.

    Attributes:
        sql: Text in sqlite's dialect.
        inputs: Inputs of its execution.
    """

    sql: str
    inputs: StatementInputs


@dataclass(frozen=True)
class Entry:
    """One committed transaction, or the first entry of a term without statements.

    Attributes:
        position: Term and index of the entry.
        statements: Statements in the order of their execution.
        committed_at: Time of the commit on the monotonic clock of this process, in
            seconds.
    """

    position: Position
    statements: tuple[LoggedStatement, ...] = ()
    committed_at: float = field(default_factory=time.monotonic, compare=False)


class Log:
    """A list of entries with consecutive indexes from 1 and non-decreasing terms."""

    def __init__(self, entries: Sequence[Entry] = ()) -> None:
        self._entries = list(entries)

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Entry]:
        return iter(self._entries)

    @property
    def last(self) -> Position:
        """Position of the last entry; `START` if the log is empty."""
        return self._entries[-1].position if self._entries else START

    def append(self, entry: Entry) -> None:
        """Append the entry that follows the last one.

        Raises:
            ValueError: The index is not the next one, or the term is lower.
        """
        follows = entry.position.index == self.last.index + 1
        if not follows or entry.position.term < self.last.term:
            raise ValueError(f"{entry.position} does not follow {self.last}")
        self._entries.append(entry)

    def contains(self, position: Position) -> bool:
        """Return whether the log has an entry with this term and index."""
        if position == START:
            return True
        if not 0 < position.index <= len(self._entries):
            return False
        return self._entries[position.index - 1].position == position

    def greatest_up_to(self, position: Position) -> Position:
        """Return the greatest position in the log that is at most the given one."""
        low, high = 0, len(self._entries)
        while low < high:
            middle = (low + high) // 2
            if self._entries[middle].position <= position:
                low = middle + 1
            else:
                high = middle
        return self._entries[low - 1].position if low else START

    def after(self, position: Position, limit: int) -> list[Entry]:
        """Return at most `limit` entries after a position that the log contains."""
        return self._entries[position.index : position.index + limit]

    def up_to(self, position: Position) -> list[Entry]:
        """Return the entries up to and including a position that the log contains."""
        return self._entries[: position.index]
