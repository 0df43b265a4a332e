"""Planned changes of primary, ordered by an operator or when a primary leaves."""

import asyncio
import time

from wasabipitch.exceptions import NoTarget, RequestError
from wasabipitch.failover import Failover
from wasabipitch.models import Position
from wasabipitch.promotion import TermChange
from wasabipitch.view import GroupView, InstanceView

CATCH_UP_TIMEOUT_S = 10.0
CATCH_UP_WAIT_S = 0.5
LEAVING_INTERVAL_S = 0.5
LEAVING_RETRY_S = 5.0


async def switch_primary(view: GroupView, failover: Failover, to: str = "") -> str:
    """Make another instance the primary and return its name.

    The replica first catches up while writes continue. Then new writes are
    blocked, the old primary is fenced, and the replica copies the last entries
    from it. ``view.activity`` describes the current step.

    Args:
        view: The group's view.
        failover: The supervisor of the group.
        to: The instance to promote, or empty for the replica that is furthest
            ahead.

    Raises:
        NoTarget: The switchover was abandoned, or an instance other than the chosen
            replica was promoted because it was ahead; the message names it.
    """
    old = view.primary_view
    if old is None:
        raise NoTarget(f"group {view.group.name} has no primary now; try again")
    if to == old.name:
        return old.name
    replica = choose_replica(view, to)
    try:
        await _wait_caught_up(view, old, replica)
    finally:
        view.activity = ""
    change = TermChange(
        f"switchover from {old.name} to {replica.name}",
        old=old.name,
        prefer=replica.name,
        planned=True,
    )
    leadership = await failover.change_primary(change)
    if leadership.name != replica.name:
        raise NoTarget(
            f"{leadership.name} was promoted at term {leadership.term} in place of "
            f"{replica.name}, which had not caught up"
        )
    return leadership.name


def choose_replica(view: GroupView, to: str = "") -> InstanceView:
    """Return the replica to promote.

    Args:
        view: The group's view.
        to: The name of the replica, or empty for the eligible one with the greatest
            position, preferably in the primary's data centre.

    Raises:
        NoTarget: No replica, or not the named one, may be promoted.
    """
    candidates = [v for v in view.instances.values() if _is_eligible(view, v)]
    if to:
        candidates = [v for v in candidates if v.name == to]
    if not candidates:
        raise NoTarget(
            f"instance {to or 'other than the primary'} of group {view.group.name} "
            "can't be promoted: it must answer, count in majorities and not be leaving"
        )
    old = view.primary_view
    data_centre = old.instance.data_centre if old else ""

    def preference(replica: InstanceView) -> tuple[Position, bool]:
        return replica.position, replica.instance.data_centre == data_centre

    return max(candidates, key=preference)


async def watch_leaving(view: GroupView, failover: Failover) -> None:
    """Switch over whenever the primary is leaving, until cancelled.

    Only the pool of rank 0 acts.
    """
    while True:
        await asyncio.sleep(LEAVING_INTERVAL_S)
        primary = view.primary_view
        if primary is None or not primary.leaving or failover.rank() > 0:
            continue
        try:
            await switch_primary(view, failover)
        except RequestError as exc:
            view.activity = f"{primary.name} is leaving, but stays primary: {exc}"
            await asyncio.sleep(LEAVING_RETRY_S)
            view.activity = ""


def _is_eligible(view: GroupView, replica: InstanceView) -> bool:
    return (
        replica.name != view.primary
        and replica.reachable
        and replica.status.member
        and not replica.leaving
    )


async def _wait_caught_up(
    view: GroupView, old: InstanceView, replica: InstanceView
) -> None:
    deadline_s = time.monotonic() + CATCH_UP_TIMEOUT_S
    goal = old.position
    while replica.position < goal:
        if time.monotonic() >= deadline_s:
            raise NoTarget(
                f"{replica.name} is at {replica.position} and did not reach {goal} "
                f"within {CATCH_UP_TIMEOUT_S} s"
            )
        behind = goal.index - replica.position.index
        view.activity = (
            f"switchover: waiting until {replica.name}, {behind} entries behind, "
            f"has caught up with {old.name}"
        )
        asked_at_s = time.monotonic()
        try:
            status = await replica.channel.wait(goal, CATCH_UP_WAIT_S)
        except RequestError as exc:
            raise NoTarget(
                f"{replica.name} stopped answering before it caught up"
            ) from exc
        view.update(replica.name, status, asked_at_s)
