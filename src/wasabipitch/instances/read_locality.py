"""Keeps reads in the data centre of their host, as ``policy.locality`` decides."""

import math
from collections.abc import Callable, Collection
from typing import Protocol

from wasabipitch.clock import now_s
from wasabipitch.instances.pool import InstancePool
from wasabipitch.policy import locality, placement
from wasabipitch.policy.locality import Comparison, LeavingShare, Side

# A read that waits in its data centre is compared again after this time.
RECHECK_S = 0.02


class PlacedRead(Protocol):
    """A request for a connection, as far as its data centre is concerned.

    Attributes:
        kind: The kind of statement, which determines the expected service time.
        objective_s: The response-time objective, or 0 for a request that isn't kept in
            its data centre.
        leaves: Whether it was decided that it may leave.
        compared_at_s: The time of the last decision.
    """

    kind: str
    objective_s: float
    leaves: bool
    compared_at_s: float


class ReadLocality:
    """Decides for the requests of one group whether they leave the data centre.

    Args:
        data_centre: The data centre of this host.
        cost_s: The operator's setting for a crossing; see ``policy.locality``.
        describe: Returns the load of an instance.
        service_times: The mean service times of the group.
    """

    def __init__(
        self,
        data_centre: str,
        cost_s: float,
        describe: Callable[[InstancePool, float], placement.Load],
        service_times: placement.ServiceTimes,
    ) -> None:
        self._data_centre = data_centre
        self._cost_s = cost_s
        self._describe = describe
        self._service_times = service_times
        self._share = LeavingShare()

    def read_share(self) -> float:
        """Return the share of the reads that leave."""
        return self._share.read(now_s())

    def restrict(
        self,
        request: PlacedRead,
        pools: list[InstancePool],
        queue_s: Callable[[Collection[InstancePool]], float],
    ) -> list[InstancePool]:
        """Return the pools that a request may use now.

        Args:
            request: The request.
            pools: The pools of the instances that may serve it.
            queue_s: Returns the expected wait of a new request for a connection of
                some pools.
        """
        near = [p for p in pools if p.entry.data_centre == self._data_centre]
        if request.objective_s <= 0 or not near or len(near) == len(pools):
            return pools
        at_s = now_s()
        if not request.leaves and at_s - request.compared_at_s >= RECHECK_S:
            request.compared_at_s = at_s
            far = [p for p in pools if p not in near]
            request.leaves = self._decide(request, near, far, queue_s, at_s)
        return pools if request.leaves else near

    def _decide(
        self,
        request: PlacedRead,
        near: list[InstancePool],
        far: list[InstancePool],
        queue_s: Callable[[Collection[InstancePool]], float],
        at_s: float,
    ) -> bool:
        service_s = self._service_times.read(request.kind)
        sides = [
            Side(self._find_response_s(pools, service_s, at_s), queue_s(pools))
            for pools in (near, far)
        ]
        comparison = locality.compare(*sides, request.objective_s, self._cost_s)
        if math.isinf(sides[0].response_s):
            return comparison is Comparison.LEAVE
        return self._share.admit(comparison, at_s)

    def _find_response_s(
        self, pools: list[InstancePool], service_s: float, at_s: float
    ) -> float:
        return min(
            (
                placement.queued_response_s(self._describe(pool, at_s), service_s)
                for pool in pools
                if _is_usable(pool)
            ),
            default=math.inf,
        )


def _is_usable(pool: InstancePool) -> bool:
    if pool.silent_since_s is not None:
        return False
    return bool(pool.open) or pool.failing_since_s is None
