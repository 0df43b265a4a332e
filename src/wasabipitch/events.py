"""A hybrid logical clock, and the timeline of events of one process."""

import time
from collections import deque
from collections.abc import Callable

from wasabipitch.messages import AskEvents, Event

LOGICAL_BITS = 16
DEFAULT_CAPACITY = 20_000


def _read_wall_ms() -> int:
    return time.time_ns() // 1_000_000


class Clock:
    """A hybrid logical clock.

    A time is an integer: milliseconds of wall-clock time in the high bits and a
    counter in the low ``LOGICAL_BITS``. Times of one process never decrease, and an
    event after a received message is later than the message. The clock only orders
    the timeline; no decision depends on it.

    Args:
        read_wall_ms: Returns the wall-clock time in milliseconds.
    """

    def __init__(self, read_wall_ms: Callable[[], int] = _read_wall_ms) -> None:
        self._read_wall_ms = read_wall_ms
        self._latest = 0

    def tick(self) -> int:
        """Return the time of a new local event."""
        self._latest = max(self._latest + 1, self._read_wall_ms() << LOGICAL_BITS)
        return self._latest

    def observe(self, clock: int) -> None:
        """Make the next tick later than a time received in a message."""
        self._latest = max(self._latest, clock)


class Timeline:
    """The latest events of one process, up to a fixed number.

    Args:
        host: The name of the process.
        clock: Gives each event its time.
        capacity: The number of events to keep; the oldest are dropped first.
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
        """Record an event of the given kind with the current time."""
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
        """Return the newest ``query.limit`` events that match, oldest first.

        Args:
            query: The values to match; an empty value matches all events.
        """
        matching = [e for e in self._events if _matches(e, query)]
        return tuple(matching[-query.limit :])


def _matches(event: Event, query: AskEvents) -> bool:
    return (
        (not query.group or event.group == query.group)
        and (not query.session or event.session == query.session)
        and (not query.request or event.request == query.request)
        and (not query.term or event.term == query.term)
    )
