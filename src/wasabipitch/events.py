"""The hybrid logical clock and each process's time line of events."""

import time
from collections import deque
from collections.abc import Callable

from wasabipitch.messages import AskEvents, Event

LOGICAL_BITS = 16
DEFAULT_CAPACITY = 20_000


def _read_wall_ms() -> int:
    return time.time_ns() // 1_000_000


class Clock:
    """A hybrid logical clock: milliseconds of wall time above a counter.

    It never goes back, and an event that follows from a message is later than
    the message. No decision rests on it: it only orders the time line.

    Args:
        read_wall_ms: returns the wall time in milliseconds.
    """

    def __init__(self, read_wall_ms: Callable[[], int] = _read_wall_ms) -> None:
        self._read_wall_ms = read_wall_ms
        self._latest = 0

    def tick(self) -> int:
        """Return the time of a new local event."""
        self._latest = max(self._latest + 1, self._read_wall_ms() << LOGICAL_BITS)
        return self._latest

    def observe(self, clock: int) -> None:
        """Move past the time that a message carried."""
        self._latest = max(self._latest, clock)


class Timeline:
    """A bounded ring of the events that one process recorded.

    Args:
        host: the process's name.
        capacity: how many events are kept; the oldest go first.
    """

    def __init__(
        self, host: str, clock: Clock | None = None, capacity: int = DEFAULT_CAPACITY
    ) -> None:
        self.host = host
        self.clock = clock or Clock()
        self._events: deque[Event] = deque(maxlen=capacity)

    def record(
        self,
        kind: str,
        *,
        group: str = "",
        session: str = "",
        request: str = "",
        term: int = 0,
        detail: str = "",
    ) -> None:
        """Record an event of the given kind, now."""
        self._events.append(
            Event(
                clock=self.clock.tick(),
                host=self.host,
                kind=kind,
                group=group,
                session=session,
                request=request,
                term=term,
                detail=detail,
            )
        )

    def select(self, query: AskEvents) -> tuple[Event, ...]:
        """Return the newest events that match, oldest first."""
        matching = [e for e in self._events if _matches(e, query)]
        return tuple(matching[-query.limit :])


def _matches(event: Event, query: AskEvents) -> bool:
    return (
        (not query.group or event.group == query.group)
        and (not query.session or event.session == query.session)
        and (not query.request or event.request == query.request)
        and (not query.term or event.term == query.term)
    )
