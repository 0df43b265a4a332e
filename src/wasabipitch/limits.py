"""Admission control: grants slots, queues requests and refuses excess load.

A slot is one statement that an instance can run at once. The requests of a group
wait for slots in two queues: one for requests that only the primary may serve, and
one for requests that replicas may serve.
"""

import asyncio
import enum
import time
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from wasabipitch.deployment import Policy, RequestClass
from wasabipitch.exceptions import NoTarget, Overloaded, Refused

# The tickets that may wait in all queues of a group. A gateway has a limit of its own,
# in ``policy.waiting``.
MAX_QUEUED = 1024
# The tickets examined for one free slot, so that a long queue costs little to scan.
MAX_SCANNED = 64
EWMA_WEIGHT = 0.1
# The mean service time that is assumed until statements have been timed.
INITIAL_SERVICE_S = 0.002
# A long statement is charged to its class as this many statements of mean length.
LONG_SERVICE_FACTOR = 100.0
# A request is refused if its expected wait exceeds this share of the time it has left.
MAX_WAIT_SHARE = 0.2


class QueueKind(enum.Enum):
    """The queue of a request, by the instances that may serve it."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclass(eq=False)
class Ticket:
    """A request that waits for a slot.

    Args:
        session: The session's name, by which slots are shared fairly.
        request_class: The class whose weight applies.
        deadline_s: The monotonic time at which the wait ends.
        may_run_on: Returns whether the named instance may serve the request now.
        queue_kind: The queue in which it waits.
        long: Whether the statement is expected to run long.
        pinned: The instance of its open transaction, or an empty string.
        granted: Resolves to the ``Grant``.
    """

    session: str
    request_class: RequestClass
    deadline_s: float
    may_run_on: Callable[[str], bool]
    queue_kind: QueueKind = QueueKind.PRIMARY
    long: bool = False
    pinned: str = ""
    granted: asyncio.Future = field(default_factory=asyncio.Future)


class FifoQueue:
    """Serves tickets in the order of arrival."""

    def __init__(self) -> None:
        self._tickets: OrderedDict[Ticket, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._tickets)

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        self._tickets[ticket] = None

    def remove(self, ticket: Ticket) -> None:
        """Take a ticket out, whether served or not."""
        self._tickets.pop(ticket, None)

    def record_service(self, ticket: Ticket, cost_s: float) -> None:
        """Do nothing, because the order does not depend on service times."""

    def next_tickets(self) -> Iterator[Ticket]:
        """Yield the tickets in the order of arrival."""
        yield from self._tickets

    def count_ahead(self, ticket: Ticket) -> float:
        """Return how many tickets run before one that arrives now."""
        return len(self._tickets)


@dataclass(eq=False)
class _ClassQueue:
    """The waiting tickets of one request class, by session."""

    weight: int
    virtual_finish: float = 0.0
    count: int = 0
    sessions: OrderedDict[str, deque[Ticket]] = field(default_factory=OrderedDict)


class FairQueue:
    """Shares service time between classes by weight and between sessions evenly.

    The classes are served by weighted fair queueing: each has a virtual finish time,
    which grows by the service time divided by the weight, and the class with the
    lowest one is next. The sessions of a class are served in round-robin order.
    """

    def __init__(self) -> None:
        self._classes: dict[str, _ClassQueue] = {}
        self._virtual_time = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        cls = ticket.request_class
        queue = self._classes.setdefault(cls.name, _ClassQueue(cls.weight))
        queue.weight = cls.weight
        if not queue.count:
            # A class gets no priority for the time during which it was idle.
            queue.virtual_finish = max(queue.virtual_finish, self._virtual_time)
        queue.count += 1
        queue.sessions.setdefault(ticket.session, deque()).append(ticket)
        self._count += 1

    def remove(self, ticket: Ticket) -> None:
        """Take a ticket out, whether served or not."""
        queue = self._classes[ticket.request_class.name]
        waiting = queue.sessions.get(ticket.session)
        if waiting is None or ticket not in waiting:
            return
        waiting.remove(ticket)
        queue.count -= 1
        self._count -= 1
        if not waiting:
            del queue.sessions[ticket.session]

    def record_service(self, ticket: Ticket, cost_s: float) -> None:
        """Charge the ticket's class for its service time, in seconds.

        The session moves behind the other sessions of the class.
        """
        queue = self._classes[ticket.request_class.name]
        self._virtual_time = max(self._virtual_time, queue.virtual_finish)
        queue.virtual_finish += cost_s / queue.weight
        if ticket.session in queue.sessions:
            queue.sessions.move_to_end(ticket.session)

    def next_tickets(self) -> Iterator[Ticket]:
        """Yield each session's first ticket, by the virtual finish of its class."""
        waiting = [q for q in self._classes.values() if q.count]
        for queue in sorted(waiting, key=lambda q: q.virtual_finish):
            for tickets in queue.sessions.values():
                yield tickets[0]

    def count_ahead(self, ticket: Ticket) -> float:
        """Return how many tickets run before one that arrives now."""
        cls = ticket.request_class
        own = self._classes.get(cls.name)
        own_count = own.count if own else 0
        others = [
            q for name, q in self._classes.items() if q.count and name != cls.name
        ]
        ahead = float(own_count)
        for queue in others:
            ahead += min(queue.count, (own_count + 1) * queue.weight / cls.weight)
        return ahead


class Grant:
    """A slot of an instance, held until it is released.

    Args:
        scheduler: Takes the slot back.
        instance: The name of the instance.
        ticket: The ticket that got the slot.
    """

    def __init__(self, scheduler: "Scheduler", instance: str, ticket: Ticket) -> None:
        self.instance = instance
        self._scheduler = scheduler
        self._ticket = ticket
        self._since_s = time.monotonic()
        self._released = False

    def release(self) -> None:
        """Return the slot; a second call does nothing."""
        if self._released:
            return
        self._released = True
        service_s = time.monotonic() - self._since_s
        self._scheduler.free(self.instance, self._ticket, service_s)

    def __enter__(self) -> "Grant":
        return self

    def __exit__(self, *exc_info) -> None:
        self.release()


@dataclass
class _Slots:
    total: int
    running: int = 0
    long_running: int = 0

    def admits(self, ticket: Ticket, reserve: bool) -> bool:
        if self.running >= self.total:
            return False
        if ticket.long and reserve and self.total > 1:
            return self.long_running < self.total - 1
        return True


class Scheduler:
    """Grants the slots of a group's instances to waiting tickets.

    Args:
        slots: The number of slots of each instance, by name.
        policy: Says which scheduling rules are enabled.
        prefer: Sorts instances by preference, the best one first.
        is_primary: Returns whether the named instance is the primary now.
    """

    def __init__(
        self,
        slots: Mapping[str, int],
        policy: Policy,
        prefer: Callable[[Iterable[str]], list[str]],
        is_primary: Callable[[str], bool],
    ) -> None:
        self._slots = {name: _Slots(total) for name, total in slots.items()}
        self._policy = policy
        self._prefer = prefer
        self._is_primary = is_primary
        make = FairQueue if policy.fair_queue else FifoQueue
        self._queues = {queue_kind: make() for queue_kind in QueueKind}
        self._pinned: dict[str, deque[Ticket]] = {name: deque() for name in slots}
        self._service_s = dict.fromkeys(QueueKind, INITIAL_SERVICE_S)

    @property
    def queued(self) -> int:
        """The number of waiting tickets, including those of open transactions."""
        in_queues = sum(len(queue) for queue in self._queues.values())
        return in_queues + sum(len(tickets) for tickets in self._pinned.values())

    @property
    def running(self) -> int:
        """The number of slots in use."""
        return sum(s.running for s in self._slots.values())

    def running_on(self, instance: str) -> int:
        """Return how many slots of an instance are in use."""
        return self._slots[instance].running

    def expected_wait_s(self, ticket: Ticket) -> float:
        """Return the expected wait of a ticket that arrives now, in seconds."""
        usable = [n for n in self._slots if self._serves(n, ticket.queue_kind)]
        # While there is no primary, any instance represents the next one, which is
        # assumed to have as many slots.
        slots = [self._slots[n] for n in usable] or list(self._slots.values())[:1]
        total = sum(s.total - s.long_running for s in slots)
        free = sum(s.total - s.running for s in slots) if usable else 0
        ahead = self._queues[ticket.queue_kind].count_ahead(ticket)
        if ahead < free:
            return 0.0
        return (ahead + 1) * self._service_s[ticket.queue_kind] / max(1, total)

    def check(self, ticket: Ticket) -> None:
        """Refuse a ticket that could not be served in time if it arrived now.

        Raises:
            Overloaded: The queue is full, the deadline has passed, or the expected
                wait is too long.
        """
        if self.queued >= MAX_QUEUED:
            raise Overloaded(f"{MAX_QUEUED} requests wait already")
        left_s = ticket.deadline_s - time.monotonic()
        if left_s <= 0:
            raise Overloaded("the deadline has passed")
        if not self._policy.refuse_early or ticket.pinned:
            return
        wait_s = self.expected_wait_s(ticket)
        if wait_s > left_s * MAX_WAIT_SHARE:
            raise Overloaded(
                f"the expected wait of {wait_s:.3f} s is too long for the deadline"
            )

    async def acquire(self, ticket: Ticket) -> Grant:
        """Wait for a slot.

        Raises:
            Overloaded: The queue is full, the expected wait is too long, or the
                deadline passed while the ticket waited.
            NoTarget: The group had no primary until the deadline.
        """
        self.check(ticket)
        queue = self._enqueue(ticket)
        self.dispatch()
        try:
            async with asyncio.timeout(ticket.deadline_s - time.monotonic()):
                return await ticket.granted
        except TimeoutError:
            self._abandon(ticket, queue)
            raise self._make_timeout_error(ticket) from None
        except asyncio.CancelledError:
            self._abandon(ticket, queue)
            raise

    def dispatch(self) -> None:
        """Grant free slots to waiting tickets.

        It must be called whenever slots, roles or positions have changed. A statement
        of an open transaction gets a slot at once, even above the limit: the
        statements that hold the slots may wait for a lock of its transaction.
        """
        for name, pinned in self._pinned.items():
            for ticket in list(pinned):
                if not ticket.granted.done():
                    self._grant(name, ticket)
        for name in self._prefer(self._slots):
            while self._slots[name].running < self._slots[name].total:
                ticket = self._choose(name)
                if ticket is None:
                    break
                self._grant(name, ticket)

    def free(self, instance: str, ticket: Ticket, service_s: float) -> None:
        """Free a slot and record how long the ticket used it, in seconds."""
        slots = self._slots[instance]
        slots.running -= 1
        if ticket.long:
            slots.long_running -= 1
        else:
            queue_kind = ticket.queue_kind
            old_s = self._service_s[queue_kind]
            self._service_s[queue_kind] = old_s + EWMA_WEIGHT * (service_s - old_s)
        self.dispatch()

    def _make_timeout_error(self, ticket: Ticket) -> Refused:
        has_primary = any(map(self._is_primary, self._slots))
        if ticket.queue_kind is QueueKind.PRIMARY and not has_primary:
            return NoTarget("the group had no primary until the deadline")
        return Overloaded("the deadline passed while waiting for a slot")

    def _serves(self, instance: str, queue_kind: QueueKind) -> bool:
        return self._is_primary(instance) == (queue_kind is QueueKind.PRIMARY)

    def _enqueue(self, ticket: Ticket):
        if ticket.pinned:
            queue = _PinnedQueue(self._pinned[ticket.pinned])
        else:
            queue = self._queues[ticket.queue_kind]
        queue.push(ticket)
        return queue

    def _choose(self, name: str) -> Ticket | None:
        queue_kinds = [QueueKind.REPLICA]
        if self._is_primary(name):
            queue_kinds = [QueueKind.PRIMARY, QueueKind.REPLICA]
        for queue_kind in queue_kinds:
            ticket = self._choose_from(name, queue_kind)
            if ticket is not None:
                return ticket
        return None

    def _choose_from(self, name: str, queue_kind: QueueKind) -> Ticket | None:
        slots = self._slots[name]
        reserve = self._policy.reserve_slot
        for scanned, ticket in enumerate(self._queues[queue_kind].next_tickets()):
            if scanned >= MAX_SCANNED:
                return None
            if ticket.granted.done():
                # The waiter was cancelled but has not left the queue yet.
                continue
            if slots.admits(ticket, reserve) and ticket.may_run_on(name):
                return ticket
        return None

    def _grant(self, name: str, ticket: Ticket) -> None:
        slots = self._slots[name]
        slots.running += 1
        if ticket.long:
            slots.long_running += 1
        if ticket.pinned:
            self._pinned[name].remove(ticket)
        else:
            queue = self._queues[ticket.queue_kind]
            factor = LONG_SERVICE_FACTOR if ticket.long else 1.0
            queue.remove(ticket)
            queue.record_service(ticket, self._service_s[ticket.queue_kind] * factor)
        ticket.granted.set_result(Grant(self, name, ticket))

    def _abandon(self, ticket: Ticket, queue) -> None:
        if ticket.granted.done() and not ticket.granted.cancelled():
            ticket.granted.result().release()
            return
        queue.remove(ticket)
        # Only a session's first ticket is considered, so the next one may run now.
        self.dispatch()


class _PinnedQueue:
    """The tickets of open transactions on one instance."""

    def __init__(self, tickets: deque[Ticket]) -> None:
        self._tickets = tickets

    def push(self, ticket: Ticket) -> None:
        self._tickets.append(ticket)

    def remove(self, ticket: Ticket) -> None:
        if ticket in self._tickets:
            self._tickets.remove(ticket)
