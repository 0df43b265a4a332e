"""Supervises a group: finds its primary and replaces it after a failure.

Several pools may supervise the same group; a pool of higher rank acts later. They
need no lock: each promotion opens a new term, and the instances refuse the orders
of a term that a later one has superseded.
"""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack, suppress
from dataclasses import dataclass

from wasabipitch import health
from wasabipitch.events import Timeline
from wasabipitch.exceptions import NoTarget, WasabipitchError
from wasabipitch.health import Leadership
from wasabipitch.messages import Opinion
from wasabipitch.metrics import Metrics
from wasabipitch.promotion import Promoter, TermChange
from wasabipitch.stalls import StallDetector
from wasabipitch.terms import TermAllocator
from wasabipitch.view import GroupView, InstanceView

EVALUATION_INTERVAL_S = 0.2
START_WAIT_S = 1.0  # for the first reports, when a group is taken over
RANK_DELAY_S = 1.5  # for each rank above 0, so that pools of lower rank act first
PENDING_WAIT_S = 1.0  # for a majority to follow a primary already promoted
PEER_FAILOVER_WAIT_S = 0.5  # lets the pool that fenced the primary finish

OPINION_TIMEOUT_S = 0.15
OPINION_INTERVAL_S = 0.2
CONTRADICTION_TIMEOUT_S = 3.0  # limit on waiting while others reach the primary

BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 2.0
QUIESCE_TIMEOUT_S = 2.0

REPAIR_DELAY_S = 0.3  # also between two orders to the same instance
RENEW_DELAY_S = 1.0
RENEW_INTERVAL_S = 10.0

AskOpinions = Callable[[str], Awaitable[list[Opinion]]]
Quiesce = Callable[[], AbstractAsyncContextManager[None]]


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Evidence that a primary has failed or was replaced.

    Args:
        primary: The suspected primary and its term.
        reason: The evidence, as text for the timeline.
        since_s: The monotonic time at which the suspicion arose.
        report_asked_at_s: The monotonic time at which its latest report was
            requested.
        silent: Whether it missed its probes, so that other pools are asked
            whether they still reach it.
    """

    primary: Leadership
    reason: str
    since_s: float
    report_asked_at_s: float
    silent: bool


class Failover:
    """Supervises one group.

    Args:
        view: The group's view, which a ``Monitor`` keeps up to date.
        terms: Allocates the terms of the group.
        ask_opinions: Asks pools in other data centres whether they reach an
            instance; an empty answer means that none could be asked.
        rank: Returns this pool's rank in the order of the group's owners, from 0.
        timeline: Receives an event for each step.
        metrics: Receives the length of each interval without a primary, and the
            counts of failovers and false alarms.
        enabled: Returns whether this pool may change anything; otherwise it only
            observes.
        quiesce: Returns a context manager for planned changes. Entering it blocks
            new writes and waits for the running ones; leaving it admits writes again.
            Entering is cancelled after ``QUIESCE_TIMEOUT_S``.
        rng: Jitters the retries of pools that attempt a failover concurrently.
    """

    def __init__(
        self,
        view: GroupView,
        terms: TermAllocator,
        ask_opinions: AskOpinions,
        rank: Callable[[], int],
        timeline: Timeline,
        metrics: Metrics,
        *,
        enabled: Callable[[], bool] = lambda: True,
        quiesce: Quiesce | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._view = view
        self._promoter = Promoter(view, terms, timeline)
        self._ask_opinions = ask_opinions
        self.rank = rank
        self._timeline = timeline
        self._metrics = metrics
        self._enabled = enabled
        self._quiesce = quiesce
        self._rng = rng or random.Random()
        self._repairer = FollowerRepairer(view, self._promoter, rank)
        self._stalls = StallDetector(view)
        self._change_lock = asyncio.Lock()  # serializes changes of term
        self._suspicion: Suspicion | None = None
        self._last_primary = ""
        self._no_primary_since_s = time.monotonic()
        self._next_attempt_at_s = 0.0
        self._failed_attempts = 0
        self._pending: Leadership | None = None
        self._pending_since_s = 0.0

    async def run(self) -> None:
        """Supervise the group until cancelled."""
        await self._wait_first_reports()
        self._no_primary_since_s = time.monotonic()
        while True:
            async with self._change_lock:
                await self.evaluate()
            await self._view.wait_changed(EVALUATION_INTERVAL_S)

    async def evaluate(self) -> None:
        """Evaluate the latest reports once and act on them."""
        leadership = health.find_established(self._view)
        if leadership is not None:
            self._adopt(leadership)
        elif reason := health.find_suspicion_reason(self._view):
            self.suspect_primary(reason)
        if not self._enabled():
            return
        if self._view.primary_view is None:
            if self._is_attempt_due():
                await self._replace_primary()
        elif reason := self._stalls.find_stall(self.rank() * RANK_DELAY_S):
            old = self._view.primary
            with suppress(NoTarget):
                await self._change_term(TermChange(reason, old=old, avoid=old))
        else:
            await self._repair_followers()

    async def change_primary(self, change: TermChange) -> Leadership:
        """Carry out a change of term and return the primary that it established.

        Raises:
            NoTarget: The change was abandoned; ``run`` continues to supervise the
                group and restores a primary.
        """
        async with self._change_lock:
            return await self._change_term(change)

    def suspect_primary(self, reason: str) -> None:
        """Record a suspicion of the established primary and demote it in the view.

        Args:
            reason: The evidence, as text for the timeline.
        """
        view = self._view.instances[self._view.primary]
        now_s = time.monotonic()
        silent = view.misses >= health.SUSPECT_MISSES
        self._suspicion = Suspicion(
            primary=Leadership(view.name, self._view.term),
            reason=reason,
            since_s=now_s,
            report_asked_at_s=view.report_asked_at_s,
            silent=silent,
        )
        self._record("failover.suspected", self._view.term, reason)
        self._demote_primary()
        if not silent:
            self._next_attempt_at_s = now_s + PEER_FAILOVER_WAIT_S

    async def _replace_primary(self) -> None:
        if await self._support_pending():
            return
        members = health.count_members(self._view)
        if members < self._view.majority:
            self._abandon(f"only {members} members of the group answer")
            return
        suspicion = self._suspicion or self._suspect_named_leader()
        if suspicion is not None and await self._is_contradicted(suspicion):
            self._next_attempt_at_s = time.monotonic() + OPINION_INTERVAL_S
            return
        reason = suspicion.reason if suspicion else "the group has no primary"
        old = suspicion.primary.name if suspicion else self._last_primary
        with suppress(NoTarget):
            await self._change_term(TermChange(reason, old=old))

    async def _change_term(self, change: TermChange) -> Leadership:
        async with AsyncExitStack() as stack:
            stack.callback(setattr, self._view, "activity", "")
            if change.planned:
                await self._enter_quiesce(stack)
            self._demote_primary()
            try:
                leadership = await self._promoter.carry_out(change)
            except NoTarget as exc:
                self._abandon(str(exc))
                raise
            self._metrics.count("failover.count")
            self._establish(leadership, change.reason)
        return leadership

    async def _enter_quiesce(self, stack: AsyncExitStack) -> None:
        if self._quiesce is None:
            return
        self._view.activity = "waiting for running writes to end"
        with suppress(TimeoutError):
            async with asyncio.timeout(QUIESCE_TIMEOUT_S):
                await stack.enter_async_context(self._quiesce())

    async def _support_pending(self) -> bool:
        """Direct followers to a promoted primary; return whether to wait for it."""
        pending = health.find_pending(self._view)
        now_s = time.monotonic()
        if pending != self._pending:
            self._pending = pending
            self._pending_since_s = now_s
        if pending is None or now_s - self._pending_since_s >= PENDING_WAIT_S:
            return False
        await self._repairer.correct_followers(pending)
        return True

    async def _is_contradicted(self, suspicion: Suspicion) -> bool:
        """Return whether a pool elsewhere still reaches a silent primary."""
        waited_s = time.monotonic() - suspicion.since_s
        if not suspicion.silent or waited_s >= CONTRADICTION_TIMEOUT_S:
            return False
        opinions: list[Opinion] = []
        with suppress(WasabipitchError, TimeoutError):
            async with asyncio.timeout(OPINION_TIMEOUT_S):
                opinions = await self._ask_opinions(suspicion.primary.name)
        return any(o.reachable and o.term == suspicion.primary.term for o in opinions)

    def _suspect_named_leader(self) -> Suspicion | None:
        """Suspect the primary that the replicas follow, if it does not answer."""
        guess = health.infer_primary(self._view)
        if guess is None or self._view.instances[guess.name].reachable:
            return None
        now_s = time.monotonic()
        reason = f"{guess.name}, which the replicas follow, does not answer"
        self._suspicion = Suspicion(guess, reason, now_s, now_s, silent=True)
        self._record("failover.suspected", guess.term, reason)
        return self._suspicion

    async def _repair_followers(self) -> None:
        """Repair the followers, and open a new term if one can't follow in this one."""
        primary = Leadership(self._view.primary, self._view.term)
        await self._repairer.correct_followers(primary)
        reason = self._repairer.find_renewal_reason(primary)
        if not reason:
            return
        nonmembers = self._repairer.list_nonmembers()
        change = TermChange(reason, old=primary.name, prefer=primary.name, planned=True)
        with suppress(NoTarget):
            leadership = await self._change_term(change)
            await self._repairer.readmit(nonmembers, leadership.term)

    def _adopt(self, leadership: Leadership) -> None:
        if leadership.term < self._view.term:
            return
        if leadership == Leadership(self._view.primary, self._view.term):
            return
        if self._suspicion is not None and self._suspicion.primary == leadership:
            self._metrics.count("failover.false_alarm")
            self._record(
                "failover.abandoned", leadership.term, f"{leadership.name} is well"
            )
        self._establish(leadership, "found in the reports")

    def _establish(self, leadership: Leadership, reason: str) -> None:
        self._record(
            "failover.established", leadership.term, f"{leadership.name}: {reason}"
        )
        if self._last_primary and not self._view.primary and self.rank() == 0:
            self._measure_gap()
        self._view.establish(leadership.name, leadership.term)
        self._last_primary = leadership.name
        self._suspicion = None
        self._pending = None
        self._failed_attempts = 0
        self._next_attempt_at_s = 0.0

    def _measure_gap(self) -> None:
        since_s = self._no_primary_since_s
        if self._suspicion is not None:
            since_s = self._suspicion.report_asked_at_s
        self._metrics.timing("failover.gap_ms", (time.monotonic() - since_s) * 1000)

    def _demote_primary(self) -> None:
        if self._view.primary:
            self._no_primary_since_s = time.monotonic()
        self._view.demote()

    def _abandon(self, reason: str) -> None:
        """Record why no primary was promoted, and schedule the next attempt."""
        self._record("failover.abandoned", self._view.greatest_term(), reason)
        limit_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**self._failed_attempts)
        self._failed_attempts += 1
        wait_s = limit_s * self._rng.uniform(0.5, 1.0)
        self._next_attempt_at_s = time.monotonic() + wait_s

    def _is_attempt_due(self) -> bool:
        now_s = time.monotonic()
        delay_s = self.rank() * RANK_DELAY_S
        return now_s >= max(self._next_attempt_at_s, self._no_primary_since_s + delay_s)

    async def _wait_first_reports(self) -> None:
        deadline_s = time.monotonic() + START_WAIT_S
        while time.monotonic() < deadline_s:
            views = self._view.instances.values()
            if all(v.status is not None or v.misses for v in views):
                return
            await self._view.wait_changed(EVALUATION_INTERVAL_S)

    def _record(self, kind: str, term: int, detail: str) -> None:
        self._timeline.record(
            kind, group=self._view.group.name, term=term, detail=detail
        )


class FollowerRepairer:
    """Makes instances follow the established primary again.

    Args:
        view: The group's view.
        promoter: Sends the orders to the instances.
        rank: Returns this pool's rank in the order of the group's owners.
    """

    def __init__(
        self, view: GroupView, promoter: Promoter, rank: Callable[[], int]
    ) -> None:
        self._view = view
        self._promoter = promoter
        self._rank = rank
        self._order_needed_since_s: dict[str, float] = {}
        self._blocked_since_s: float | None = None
        self._renewed_at_s = float("-inf")

    async def correct_followers(self, primary: Leadership) -> None:
        """Order instances that follow another leader or term to follow the primary.

        This includes an old primary that returns: the order also fences it, and it
        discards its unacknowledged entries.
        """
        now_s = time.monotonic()
        for view in self._view.instances.values():
            if not self._needs_follow_order(view, primary):
                self._order_needed_since_s.pop(view.name, None)
                continue
            since_s = self._order_needed_since_s.setdefault(view.name, now_s)
            if now_s - since_s >= REPAIR_DELAY_S + self._rank() * RANK_DELAY_S:
                self._order_needed_since_s[view.name] = now_s
                await self._promoter.order_follow(view.name, primary.name, primary.term)

    def find_renewal_reason(self, primary: Leadership) -> str:
        """Return why the primary needs a new term, or '' if it needs none.

        An instance fenced at a later term accepts no log of the current one. An
        instance that restarted empty counts in majorities again only from a term
        that was opened after its restart.
        """
        now_s = time.monotonic()
        reasons = [
            self._describe_blocked_follower(v, primary) for v in self._others(primary)
        ]
        reason = next(filter(None, reasons), "")
        if not reason or health.count_members(self._view) < self._view.majority:
            self._blocked_since_s = None
            return ""
        if self._blocked_since_s is None:
            self._blocked_since_s = now_s
        delay_s = RENEW_DELAY_S + self._rank() * RANK_DELAY_S
        if now_s - self._blocked_since_s < delay_s:
            return ""
        if now_s - self._renewed_at_s < RENEW_INTERVAL_S:
            return ""
        self._renewed_at_s = now_s
        return reason

    def list_nonmembers(self) -> list[str]:
        """Return the names of instances that answer but count in no majority."""
        views = self._view.instances.values()
        return [v.name for v in views if v.reachable and not v.status.member]

    async def readmit(self, names: list[str], term: int) -> None:
        """Let restarted instances count in majorities again.

        Args:
            names: The instances.
            term: A term that was opened after they restarted.
        """
        for name in names:
            await self._promoter.order(name, lambda ch: ch.join(term))

    def _others(self, primary: Leadership) -> list[InstanceView]:
        views = self._view.instances.values()
        return [v for v in views if v.reachable and v.name != primary.name]

    def _needs_follow_order(self, view: InstanceView, primary: Leadership) -> bool:
        if not view.reachable or view.name == primary.name:
            return False
        status = view.status
        leader = str(self._view.instances[primary.name].instance.endpoint)
        follows = status.role == "replica" and status.leader == leader
        follows_term = follows and status.term == primary.term
        return not follows_term and status.fence <= primary.term

    def _describe_blocked_follower(
        self, view: InstanceView, primary: Leadership
    ) -> str:
        status = view.status
        if status.fence > primary.term:
            return f"{view.name} is fenced at term {status.fence}"
        if not status.member and status.position.term == primary.term:
            return f"{view.name} restarted empty and counts in no majority"
        return ""
