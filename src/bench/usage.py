"""Processor time and memory of running processes, read from ``/proc``."""

import os
import time
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from bench.results import Usage
from standins.fleet import Fleet

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MB = 1024 * 1024
# These are the indexes of utime and stime in /proc/PID/stat after the command name.
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12
BENCH_ROLE = "bench"
ROLES = ("entry", "pool", "platform")


@dataclass(frozen=True, slots=True)
class Reading:
    """The processor time of a process since its start, and its resident memory."""

    cpu_s: float
    rss_bytes: int


class UsageMeter:
    """Measures a fleet's processes and the bench itself from the time of creation.

    Args:
        fleet: a running fleet; processes started later are not measured.
    """

    def __init__(self, fleet: Fleet) -> None:
        processes = fleet.processes.items()
        self._pids = {name: p.process.pid for name, p in processes}
        self._pids[BENCH_ROLE] = os.getpid()
        self._start_s = time.monotonic()
        self._before = self._read()

    def read_cores(self) -> dict[str, float]:
        """Return the average number of cores that each process used, by name."""
        elapsed_s = time.monotonic() - self._start_s
        now = self._read()
        return {
            name: (reading.cpu_s - self._before[name].cpu_s) / elapsed_s
            for name, reading in now.items()
        }

    def summarize(self) -> tuple[Usage, ...]:
        """Return the usage of each role since the meter was created."""
        return _summarize(self.read_cores(), self._read())

    def _read(self) -> dict[str, Reading]:
        readings = {}
        for name, pid in self._pids.items():
            reading = read_process(pid)
            if reading is not None:
                readings[name] = reading
        return readings


def read_process(pid: int) -> Reading | None:
    """Return the usage of a process, or None if it has ended."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
        pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="utf-8").split()[1])
    except (OSError, IndexError):
        return None
    # The command's name, in parentheses, may contain spaces.
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
    return Reading(ticks / TICKS_PER_S, pages * PAGE_BYTES)


def _summarize(
    cores: Mapping[str, float], readings: Mapping[str, Reading]
) -> tuple[Usage, ...]:
    by_role: dict[str, list[str]] = defaultdict(list)
    for name in cores:
        by_role[find_role(name)].append(name)
    return tuple(
        Usage(
            role=role,
            processes=len(names),
            cores=round(sum(cores[n] for n in names), 3),
            busiest=round(max(cores[n] for n in names), 3),
            rss_mb=round(max(readings[n].rss_bytes for n in names) / MB, 1),
        )
        for role, names in sorted(by_role.items())
    )


def find_role(name: str) -> str:
    """Return the role of a process in a fleet from its name."""
    if name == BENCH_ROLE:
        return BENCH_ROLE
    role = name.partition("-")[0]
    return role if role in ROLES else "target"
