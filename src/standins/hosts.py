"""The platform's list of hosts, which readers see with a delay."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Literal

HISTORY_S = 600.0


@dataclass(frozen=True)
class Host:
    """A process on the platform's list.

    Attributes:
        name: Name of the process.
        role: The program that it runs.
        address: IP number and port.
        data_centre: Name of its data centre.
        state: ``live`` while it serves, ``leaving`` once it is about to stop.
    """

    name: str
    role: Literal["entry", "pool", "target"]
    address: str
    data_centre: str = ""
    state: Literal["live", "leaving"] = "live"


@dataclass(frozen=True)
class HostList:
    """The hosts of the list at one revision."""

    hosts: tuple[Host, ...] = ()
    revision: int = 0


class Hosts:
    """The list of hosts and its revisions of the last ``HISTORY_S`` seconds.

    Args:
        lag_s: Delay until readers see a change, in seconds.
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
        """The newest revision of the list."""
        return self._history[-1][1]

    def lagged(self) -> HostList:
        """Return the newest revision that is at least ``lag_s`` old."""
        until = self._clock() - self.lag_s
        past = [hosts for changed_at, hosts in self._history if changed_at <= until]
        return past[-1] if past else HostList()

    def replace(self, hosts: Iterable[Host]) -> None:
        """Replace the whole list by the given hosts."""
        ordered = tuple(sorted(hosts, key=lambda host: host.name))
        now = self._clock()
        self._prune_history(now - HISTORY_S)
        self._history.append((now, HostList(ordered, self.latest.revision + 1)))

    def put(self, host: Host) -> None:
        """Add a host, replacing a host of the same name."""
        self.replace([*self._hosts_except(host.name), host])

    def remove(self, name: str) -> bool:
        """Remove a host and return whether it was on the list."""
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
