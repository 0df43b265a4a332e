"""Decides which instances may serve a request, and in which order to prefer them."""

import random
import time
from collections.abc import Callable, Iterable

from wasabipitch.deployment import Policy
from wasabipitch.health import SUSPECT_MISSES, find_up_to_date_as_of_s
from wasabipitch.models import Position
from wasabipitch.view import GroupView


class Router:
    """Routes requests by role, floor, permitted staleness, load and distance.

    The floor of a read is the lowest log position that it must see.

    Args:
        view: What is known of the group and its instances.
        policy: Says whether replicas serve reads.
        data_centre: The data centre of this pool, whose instances are preferred.
        count_running: Returns how many statements run on the named instance.
        rng: Breaks ties between instances.
    """

    def __init__(
        self,
        view: GroupView,
        policy: Policy,
        data_centre: str,
        count_running: Callable[[str], int],
        rng: random.Random,
    ) -> None:
        self._view = view
        self._policy = policy
        self._data_centre = data_centre
        self._count_running = count_running
        self._rng = rng
        self._up_to_date_at_s: dict[str, float | None] = {}
        self._cached_view_version = -1
        # New writes and transactions stay in the queue during a switchover.
        self.writes_paused = False

    def is_primary(self, name: str) -> bool:
        """Return whether an instance is the established primary."""
        return name == self._view.primary

    def may_write(self, name: str) -> bool:
        """Return whether a write or a transaction may start on an instance."""
        return self.is_primary(name) and not self.writes_paused

    def may_read(self, name: str, floor: Position) -> bool:
        """Return whether a read that must not be stale may run on an instance."""
        if not self.is_primary(name):
            return False
        return self._view.instances[name].position >= floor

    def may_read_stale(self, name: str, floor: Position, max_age_s: float) -> bool:
        """Return whether a read that accepts stale data may run on an instance.

        The primary serves such a read only if no replica may.

        Args:
            name: The instance's name.
            floor: The lowest log position that the read must see.
            max_age_s: The staleness that the read accepts.
        """
        if self.is_primary(name):
            eligible = self._find_eligible_replicas(floor, max_age_s)
            return not eligible and self.may_read(name, floor)
        return self._is_eligible_replica(name, floor, max_age_s)

    def has_eligible_replica(self, floor: Position, max_age_s: float) -> bool:
        """Return whether any replica may serve a read that accepts stale data."""
        return bool(self._find_eligible_replicas(floor, max_age_s))

    def sort_by_cost(self, names: Iterable[str]) -> list[str]:
        """Return instances sorted by load, then by distance, the best one first."""
        return sorted(names, key=self._cost)

    def _find_eligible_replicas(self, floor: Position, max_age_s: float) -> list[str]:
        names = self._view.instances
        return [n for n in names if self._is_eligible_replica(n, floor, max_age_s)]

    def _is_eligible_replica(
        self, name: str, floor: Position, max_age_s: float
    ) -> bool:
        view = self._view.instances[name]
        if not self._policy.replica_reads or self.is_primary(name):
            return False
        if view.leaving or view.misses >= SUSPECT_MISSES or view.position < floor:
            return False
        up_to_date_at_s = self._get_up_to_date_at_s(name)
        if up_to_date_at_s is None:
            return False
        return time.monotonic() - up_to_date_at_s <= max_age_s

    def _get_up_to_date_at_s(self, name: str) -> float | None:
        # The result is cached until the view changes, because it is needed for each
        # waiting request.
        if self._cached_view_version != self._view.version:
            self._cached_view_version = self._view.version
            self._up_to_date_at_s.clear()
        if name not in self._up_to_date_at_s:
            self._up_to_date_at_s[name] = find_up_to_date_as_of_s(self._view, name)
        return self._up_to_date_at_s[name]

    def _cost(self, name: str) -> tuple[int, bool, float]:
        view = self._view.instances[name]
        far = view.instance.data_centre != self._data_centre
        return (self._count_running(name), far, self._rng.random())
