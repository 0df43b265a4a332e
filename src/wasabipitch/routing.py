"""Which instance may serve a request, and which is best."""

import random
import time
from collections.abc import Callable, Iterable

from wasabipitch.deployment import Policy
from wasabipitch.health import SUSPECT_MISSES, find_current_at_s
from wasabipitch.models import Position
from wasabipitch.view import GroupView


class Router:
    """Decides by floor, declared age, load and distance.

    Args:
        view: the group.
        policy: which parts of the policy are on.
        data_centre: where this pool runs; nearer instances are preferred.
        count_running: returns how many statements run on an instance, by name.
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
        # New writes and transactions wait while a planned change goes on.
        self.writes_paused = False

    def is_primary(self, name: str) -> bool:
        """Return whether an instance is the established primary."""
        return name == self._view.primary

    def may_write(self, name: str) -> bool:
        """Return whether a write or a transaction may start on an instance."""
        return self.is_primary(name) and not self.writes_paused

    def may_read(self, name: str, floor: Position) -> bool:
        """Return whether an undeclared read may run on an instance."""
        if not self.is_primary(name):
            return False
        return self._view.instances[name].position >= floor

    def may_read_stale(self, name: str, floor: Position, max_age_s: float) -> bool:
        """Return whether a read that accepts data of an age may run there.

        The primary serves such a read only if no replica may.
        """
        if self.is_primary(name):
            suited = self._find_eligible_replicas(floor, max_age_s)
            return not suited and self.may_read(name, floor)
        return self._is_eligible_replica(name, floor, max_age_s)

    def has_eligible_replica(self, floor: Position, max_age_s: float) -> bool:
        """Return whether any replica may serve such a read now."""
        return bool(self._find_eligible_replicas(floor, max_age_s))

    def sort_by_cost(self, names: Iterable[str]) -> list[str]:
        """Return instances with the best first: idle ones, then near ones."""
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
        # Asked for each waiting request, so kept until the view changes.
        if self._cached_view_version != self._view.version:
            self._cached_view_version = self._view.version
            self._up_to_date_at_s.clear()
        if name not in self._up_to_date_at_s:
            self._up_to_date_at_s[name] = find_current_at_s(self._view, name)
        return self._up_to_date_at_s[name]

    def _cost(self, name: str) -> tuple[int, bool, float]:
        view = self._view.instances[name]
        far = view.instance.data_centre != self._data_centre
        return (self._count_running(name), far, self._rng.random())
