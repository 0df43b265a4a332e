"""The platform's list of hosts, which readers see some time late."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Literal

HISTORY_S = 600.0


@dataclass(frozen=True)
class Host:
    """One process that the platform knows.

    Attributes:
        name: Name of the process.
        role: What it runs.
        address: IP number and port.
        data_centre: Where it is.
        state: Whether it serves, or is about to leave.
    """

    name: str
    role: Literal["entry", "pool", "target"]
    address: str
    data_centre: str = ""
    state: Literal["live", "leaving"] = "live"


@dataclass(frozen=True)
class HostList:
    """The list as it stood at one revision."""

    hosts: tuple[Host, ...] = ()
    revision: int = 0


class Hosts:
    """The list of hosts with its recent past.

    Args:
        lag_s: How late readers see a change, in seconds.
        clock: Monotonic clock in seconds.
    """

    def __init__(
        self, lag_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.lag_s = lag_s
        self._clock = clock
        self._history: list[tuple[float, HostList]] = [(-HISTORY_S, HostList())]

    @property
    def latest(self) -> HostList:
        """The list as it stands now."""
        return self._history[-1][1]

    def lagged(self) -> HostList:
        """Return the list as it stood the lag ago."""
        until = self._clock() - self.lag_s
        past = [hosts for changed_at, hosts in self._history if changed_at <= until]
        return past[-1] if past else HostList()

    def replace(self, hosts: Iterable[Host]) -> None:
        """Set the whole list."""
        ordered = tuple(sorted(hosts, key=lambda host: host.name))
        now = self._clock()
        self._prune_history(now - HISTORY_S)
        self._history.append((now, HostList(ordered, self.latest.revision + 1)))

    def put(self, host: Host) -> None:
        """Add a host, or replace the one of the same name."""
        self.replace([*self._hosts_except(host.name), host])

    def remove(self, name: str) -> bool:
        """Remove a host; return whether it was there."""
        others = self._hosts_except(name)
        if len(others) == len(self.latest.hosts):
            return False
        self.replace(others)
        return True

    def _hosts_except(self, name: str) -> list[Host]:
        return [host for host in self.latest.hosts if host.name != name]

    def _prune_history(self, before: float) -> None:
        while len(self._history) > 1 and self._history[1][0] <= before:
            del self._history[0]
