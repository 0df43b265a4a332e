"""Which instance may serve a request, and which is best."""

import random
import time
from collections.abc import Callable, Iterable

from wasabipitch.deployment import Policy
from wasabipitch.health import SUSPECT_MISSES, find_up_to_date_as_of_s
from wasabipitch.models import Position
from wasabipitch.view import GroupView


class Router:
    """Decides by floor, declared age, load and distance.

    Args:
        view: the group.
        policy: which parts of the policy are on.
        data_centre: where this pool runs; nearer instances are preferred.
        read_load: returns how many statements run on an instance, by name.
    """

    def __init__(
        self,
        view: GroupView,
        policy: Policy,
        data_centre: str,
        read_load: Callable[[str], int],
        rng: random.Random,
    ) -> None:
        self._view = view
        self._policy = policy
        self._data_centre = data_centre
        self._read_load = read_load
        self._rng = rng
        self._current_at_s: dict[str, float | None] = {}
        self._current_version = -1
        # New writes and transactions wait while a planned change goes on.
        self.holding_writes = False

    def is_primary(self, name: str) -> bool:
        """Return whether an instance is the established primary."""
        return name == self._view.primary

    def may_write(self, name: str) -> bool:
        """Return whether a write or a transaction may start on an instance."""
        return self.is_primary(name) and not self.holding_writes

    def may_read(self, name: str, floor: Position) -> bool:
        """Return whether an undeclared read may run on an instance."""
        if not self.is_primary(name):
            return False
        return self._view.instances[name].position >= floor

    def may_read_aged(self, name: str, floor: Position, max_age_s: float) -> bool:
        """Return whether a read that accepts data of an age may run there.

        The primary serves such a read only if no replica may.
        """
        if self.is_primary(name):
            suited = self._find_replicas(floor, max_age_s)
            return not suited and self.may_read(name, floor)
        return self._replica_suits(name, floor, max_age_s)

    def has_replica(self, floor: Position, max_age_s: float) -> bool:
        """Return whether any replica may serve such a read now."""
        return bool(self._find_replicas(floor, max_age_s))

    def order(self, names: Iterable[str]) -> list[str]:
        """Return instances with the best first: idle ones, then near ones."""
        return sorted(names, key=self._cost)

    def _find_replicas(self, floor: Position, max_age_s: float) -> list[str]:
        names = self._view.instances
        return [n for n in names if self._replica_suits(n, floor, max_age_s)]

    def _replica_suits(self, name: str, floor: Position, max_age_s: float) -> bool:
        view = self._view.instances[name]
        if not self._policy.replica_reads or self.is_primary(name):
            return False
        if view.leaving or view.misses >= SUSPECT_MISSES or view.position < floor:
            return False
        current_at_s = self._read_current_at_s(name)
        if current_at_s is None:
            return False
        return time.monotonic() - current_at_s <= max_age_s

    def _read_current_at_s(self, name: str) -> float | None:
        # Asked for each waiting request, so kept until the view changes.
        if self._current_version != self._view.version:
            self._current_version = self._view.version
            self._current_at_s.clear()
        if name not in self._current_at_s:
            self._current_at_s[name] = find_up_to_date_as_of_s(self._view, name)
        return self._current_at_s[name]

    def _cost(self, name: str) -> tuple[int, bool, float]:
        view = self._view.instances[name]
        far = view.instance.data_centre != self._data_centre
        return (self._read_load(name), far, self._rng.random())
