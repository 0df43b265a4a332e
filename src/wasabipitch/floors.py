"""Confirms floors for sessions that arrive without a token.

The floor of a session is the lowest log position that its reads must see. A caller's
token normally carries it; without a token the floor must cover every acknowledged
write.
"""

import asyncio
import time

from wasabipitch.exceptions import NoTarget
from wasabipitch.models import Position
from wasabipitch.sampling import Sampler
from wasabipitch.targets import InstanceStatus
from wasabipitch.view import GroupView

RETRY_S = 0.05


class FloorConfirmer:
    """Finds a position at or above every write acknowledged so far.

    A primary that is cut off doesn't know of its successor, so its report alone is
    not sufficient: a majority must show no greater term.

    Args:
        view: The group's view.
        sampler: Requests reports, with one request shared by all waiting sessions.
    """

    def __init__(self, view: GroupView, sampler: Sampler) -> None:
        self._view = view
        self._sampler = sampler

    async def confirm_floor(self, deadline_s: float) -> Position:
        """Return the primary's position, confirmed by reports requested from now on.

        Args:
            deadline_s: A monotonic time.

        Raises:
            NoTarget: No primary is confirmed by the deadline.
        """
        while True:
            reports = await self._sampler.sample_all()
            position = self.confirm(list(reports.values()))
            if position is not None:
                return position
            if time.monotonic() + RETRY_S > deadline_s:
                name = self._view.group.name
                raise NoTarget(f"no majority of group {name} confirms a primary")
            await asyncio.sleep(RETRY_S)

    def confirm(self, reports: list[InstanceStatus]) -> Position | None:
        """Return the position of the primary that a majority of reports confirms.

        Returns:
            The position, or None if no primary is confirmed.
        """
        primaries = [r for r in reports if r.is_primary and r.member]
        if not primaries:
            return None
        primary = max(primaries, key=lambda r: r.term)
        agreeing = [r for r in reports if r.member and r.fence <= primary.term]
        if len(agreeing) < self._view.majority:
            return None
        return primary.position
