"""Makes an instance, which may be the current primary, primary of a new term.

Several processes may run these steps concurrently: every order carries a term, and
the instances refuse the orders of a superseded term. An instance that is fenced at
a term accepts no log of lower terms. The opening entry is the first log entry of a
term, which its primary writes when it is promoted.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Collection, Mapping
from dataclasses import dataclass

from wasabipitch.events import Timeline
from wasabipitch.exceptions import NoTarget, RequestError
from wasabipitch.health import Leadership
from wasabipitch.models import Position
from wasabipitch.targets import ControlChannel, InstanceStatus
from wasabipitch.terms import TermAllocator
from wasabipitch.view import GroupView

FENCE_TIMEOUT_S = 0.25
PROMOTE_TIMEOUT_S = 0.5
FOLLOW_TIMEOUT_S = 0.5
OPENING_TIMEOUT_S = 1.0
CATCH_UP_TIMEOUT_S = 1.0
CATCH_UP_POLL_S = 0.01
STRAGGLER_WAIT_S = 0.02  # for the remaining answers once enough have arrived

Order = Callable[[ControlChannel], Awaitable[InstanceStatus]]
StatusPredicate = Callable[[InstanceStatus], bool]


@dataclass(frozen=True, slots=True)
class TermChange:
    """A change of term to carry out.

    Args:
        reason: Why the term changes, as text for the timeline.
        old: The last known primary, or empty.
        prefer: The instance to promote if no other has a greater position, or
            empty.
        planned: Whether the old primary works and may finish its writes; this
            requires both ``old`` and ``prefer``.
        avoid: An instance that is neither fenced nor promoted, or empty.
    """

    reason: str
    old: str = ""
    prefer: str = ""
    planned: bool = False
    avoid: str = ""


class Promoter:
    """Carries out changes of term in one group.

    Args:
        view: The group's view, updated with every report that answers an order.
        terms: Allocates the terms of the group.
        timeline: Receives an event for each step.
    """

    def __init__(
        self, view: GroupView, terms: TermAllocator, timeline: Timeline
    ) -> None:
        self._view = view
        self._terms = terms
        self._timeline = timeline

    async def carry_out(self, change: TermChange) -> Leadership:
        """Open a new term and return its primary, once a majority follows it.

        Raises:
            NoTarget: The change was abandoned; the instances may be fenced.
        """
        term = await self._terms.allocate(self._view.greatest_term())
        stopped: set[str] = set()
        if change.planned:
            await self._fence_old_primary(change, term)
            stopped.add(change.old)
        fenced = await self.fence_majority(term, stopped, change.avoid)
        successor = self.choose_successor(fenced, change)
        await self.promote(successor, term)
        await self.follow(successor, term)
        return Leadership(successor, term)

    async def fence_majority(
        self, term: int, already: Collection[str] = (), avoid: str = ""
    ) -> Mapping[str, InstanceStatus]:
        """Fence the instances that answer, and return the reports of those fenced.

        An instance that restarts empty loses its fence. Therefore the status of
        all fenced instances is read again after the last one accepted: only a
        majority that is fenced at the same time is sure to overlap with every
        majority that acknowledges a write.

        Args:
            term: A term greater than any that was seen.
            already: Instances that have already accepted this fence.
            avoid: An instance that is not fenced, or empty.

        Returns:
            The status of each fenced instance by name, read after the fencing.

        Raises:
            NoTarget: No majority of members holds the fence.
        """
        self._set_activity(f"fencing a majority at term {term}")
        others = [n for n in self._view.instances if n not in (*already, avoid)]
        needed = self._view.majority - len(already)
        answers = await self._order_all(
            others, lambda ch: ch.fence(term, FENCE_TIMEOUT_S), _accepted_fence, needed
        )
        accepting = [n for n, status in answers.items() if _accepted_fence(status)]
        self._check_majority([*accepting, *already], term, answers)

        def holds_fence(status: InstanceStatus) -> bool:
            return status.member and status.fence == term

        reports = await self._order_all(
            [*accepting, *already],
            lambda ch: ch.status(FENCE_TIMEOUT_S),
            holds_fence,
            self._view.majority,
        )
        fenced = {n: status for n, status in reports.items() if holds_fence(status)}
        self._check_majority(fenced, term, reports)
        self._record("failover.fenced", term, ", ".join(sorted(fenced)))
        return fenced

    def choose_successor(
        self, fenced: Mapping[str, InstanceStatus], change: TermChange
    ) -> str:
        """Return the fenced instance to promote: one with the greatest position.

        Every acknowledged entry is at or below that position. Ties are broken in
        favour of the preferred instance, then of those that are not leaving, then
        of those in the data centre of the old primary.
        """
        greatest = max(status.position for status in fenced.values())
        instances = self._view.instances
        old = instances.get(change.old)
        data_centre = old.instance.data_centre if old else ""

        def preference(name: str) -> tuple[bool, bool, bool]:
            view = instances[name]
            return (
                name != change.prefer,
                view.leaving,
                view.instance.data_centre != data_centre,
            )

        ahead = [n for n, status in fenced.items() if status.position == greatest]
        return min(sorted(ahead), key=preference)

    async def promote(self, name: str, term: int) -> None:
        """Promote a fenced instance.

        Raises:
            NoTarget: It refused or gave no answer. Without an answer it may be the
                primary of the term, so the caller must promote no other
                instance at the same term.
        """
        self._set_activity(f"promoting {name} at term {term}")
        status = await self.order(name, lambda ch: ch.promote(term, PROMOTE_TIMEOUT_S))
        if status is None:
            raise NoTarget(f"{name} gave no answer to its promotion at term {term}")
        if not status.accepted:
            raise NoTarget(f"{name} refused promotion at {term}: {status.reason}")
        self._record("failover.promoted", term, name)

    async def follow(self, leader: str, term: int) -> None:
        """Make the others follow a leader until a majority holds its opening entry.

        Raises:
            NoTarget: No majority held it in time.
        """
        self._set_activity(
            f"waiting until a majority holds the first entry of term {term}"
        )

        def holds_opening(status: InstanceStatus) -> bool:
            return (
                status.member and status.fence <= term and status.position.term == term
            )

        async def follow_and_wait(name: str) -> InstanceStatus | None:
            if not await self.order_follow(name, leader, term):
                return None
            opening = Position(term, 0)
            return await self.order(
                name, lambda ch: ch.wait(opening, OPENING_TIMEOUT_S)
            )

        others = [n for n in self._view.instances if n != leader]
        needed = self._view.majority - 1
        answers = await _gather(
            {n: follow_and_wait(n) for n in others}, holds_opening, needed
        )
        if sum(map(holds_opening, answers.values())) < needed:
            raise NoTarget(f"no majority holds the first entry of term {term} in time")

    async def order_follow(self, name: str, leader: str, term: int) -> bool:
        """Order an instance to follow a leader; return whether it accepted."""
        address = self._view.instances[leader].instance.endpoint
        status = await self.order(
            name, lambda ch: ch.follow(address, term, FOLLOW_TIMEOUT_S)
        )
        if status is None or not status.accepted:
            return False
        self._record("failover.followed", term, f"{name} follows {leader}")
        return True

    async def order(self, name: str, order: Order) -> InstanceStatus | None:
        """Send an order, and update the view with the status that answers it.

        Returns:
            The status, or None if the instance gave no answer.
        """
        asked_at_s = time.monotonic()
        try:
            status = await order(self._view.instances[name].channel)
        except RequestError:
            return None
        self._view.update(name, status, asked_at_s)
        return status

    async def _fence_old_primary(self, change: TermChange, term: int) -> None:
        """Fence the old primary, and wait for the preferred instance to catch up.

        A fenced primary still serves its log to followers of its own term.

        Raises:
            NoTarget: The old primary did not accept the fence.
        """
        self._set_activity(
            f"waiting until {change.prefer} has caught up with {change.old}"
        )
        status = await self.order(
            change.old, lambda ch: ch.fence(term, FENCE_TIMEOUT_S)
        )
        if status is None or not _accepted_fence(status):
            raise NoTarget(f"{change.old} did not take the fence of term {term}")
        deadline_s = time.monotonic() + CATCH_UP_TIMEOUT_S
        preferred = self._view.instances[change.prefer]
        while preferred.position < status.position and time.monotonic() < deadline_s:
            await asyncio.sleep(CATCH_UP_POLL_S)
            await self.order(change.prefer, lambda ch: ch.status(FENCE_TIMEOUT_S))

    async def _order_all(
        self, names: Collection[str], order: Order, counts: StatusPredicate, enough: int
    ) -> dict[str, InstanceStatus]:
        return await _gather({n: self.order(n, order) for n in names}, counts, enough)

    def _check_majority(
        self, names: Collection[str], term: int, answers: Mapping[str, InstanceStatus]
    ) -> None:
        if len(names) >= self._view.majority:
            return
        refusals = [f"{n}: {s.reason}" for n, s in answers.items() if s.reason]
        reasons = "; ".join(refusals) or "the others gave no answer"
        raise NoTarget(
            f"term {term} is fenced on {len(names)} of {self._view.majority} "
            f"needed instances ({reasons})"
        )

    def _set_activity(self, activity: str) -> None:
        self._view.activity = activity

    def _record(self, kind: str, term: int, detail: str) -> None:
        self._timeline.record(
            kind, group=self._view.group.name, term=term, detail=detail
        )


def _accepted_fence(status: InstanceStatus) -> bool:
    return status.accepted and status.member


async def _gather(
    work: Mapping[str, Awaitable[InstanceStatus | None]],
    counts: StatusPredicate,
    enough: int,
) -> dict[str, InstanceStatus]:
    """Return the answers by name, without waiting for instances that are down.

    Once ``enough`` answers satisfy ``counts``, the others are cancelled as soon as
    none arrives within ``STRAGGLER_WAIT_S``.
    """
    names = {asyncio.ensure_future(task): name for name, task in work.items()}
    answers: dict[str, InstanceStatus] = {}
    waiting = set(names)
    try:
        while waiting:
            counted = sum(map(counts, answers.values()))
            done, waiting = await asyncio.wait(
                waiting,
                timeout=STRAGGLER_WAIT_S if counted >= enough else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            for task in done:
                if (status := task.result()) is not None:
                    answers[names[task]] = status
    finally:
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
    return answers
