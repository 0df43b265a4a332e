"""Detects a primary whose log no longer reaches the other instances."""

import time

from wasabipitch.models import Position
from wasabipitch.view import GroupView, InstanceView

STALL_TIMEOUT_S = 4.0  # longer than the lag of a healthy replica
MIN_STALL_INTERVAL_S = 30.0  # keeps slow replicas from causing repeated failovers


class StallDetector:
    """Detects that the other instances make no progress behind the primary.

    A primary that is cut off only from its replicas still answers every probe, but
    no majority ever holds what it commits.

    Args:
        view: The group's view.
    """

    def __init__(self, view: GroupView) -> None:
        self._view = view
        self._follower_position: Position | None = None
        self._unchanged_since_s = 0.0
        self._last_stall_at_s = float("-inf")

    def find_stall(self, delay_s: float = 0.0) -> str:
        """Return a description of the stall, or '' if there is none.

        A stall is reported only if the other reachable instances form a majority, so
        that one of them can be promoted.

        Args:
            delay_s: Time to wait in addition to ``STALL_TIMEOUT_S``.
        """
        now_s = time.monotonic()
        primary = self._view.primary_view
        others = self._list_others()
        if primary is None or len(others) < self._view.majority:
            self._follower_position = None
            return ""
        reached = max(view.position for view in others)
        if reached >= primary.position:
            self._follower_position = None
            return ""
        if reached != self._follower_position:
            self._follower_position = reached
            self._unchanged_since_s = now_s
        stalled_s = now_s - self._unchanged_since_s
        if (
            stalled_s < STALL_TIMEOUT_S + delay_s
            or now_s - self._last_stall_at_s < MIN_STALL_INTERVAL_S
        ):
            return ""
        self._last_stall_at_s = now_s
        return (
            f"{primary.name} is at {primary.position}, but no other instance has "
            f"got past {reached} for {stalled_s:.1f} s"
        )

    def _list_others(self) -> list[InstanceView]:
        return [
            view
            for view in self._view.instances.values()
            if view.name != self._view.primary
            and view.reachable
            and view.status.member
            and view.status.fence <= self._view.term
        ]
