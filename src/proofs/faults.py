"""Faults for a running fleet; each one is undone before it returns."""

import asyncio
import contextlib
import dataclasses
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable

from standins.faults import Faults
from standins.fleet import Fleet, RunningProcess
from wasabipitch.deployment import Group
from wasabipitch.exceptions import WasabipitchError
from wasabipitch.messages import AskStatus, SetCut

GROUP = "workshop"
SHORT_FAULT_S = 1.5
# Longer than any lease and than the suspicion of a primary lasts.
LONG_FAULT_S = 3.5
# The upper limit for the duration of a failover.
FAILOVER_LIMIT_S = 9.0
OUTAGE_S = 2.0
# The time within which the second owner takes over from an unresponsive one.
TAKEOVER_S = 5.5
POLL_S = 0.05
OWNER_TIMEOUT_S = 15.0
MEMBER_TIMEOUT_S = 15.0
STATUS = "CALL wasabipitch_status()"

Fault = Callable[[Fleet], Awaitable[None]]


async def find_primary(fleet: Fleet) -> str:
    """Wait until the first owner reports a primary, and return its name."""
    async with asyncio.timeout(OWNER_TIMEOUT_S):
        while not (name := await fleet.fetch_primary(GROUP)):
            await asyncio.sleep(POLL_S)
    return name


async def find_owner(fleet: Fleet) -> RunningProcess:
    """Wait for a pool that is the group's first owner, and return it."""
    async with asyncio.timeout(OWNER_TIMEOUT_S):
        while True:
            for pool in fleet.pools:
                with contextlib.suppress(WasabipitchError):
                    state = await fleet.ask(pool.name, AskStatus())
                    if any(g.name == GROUP and g.rank == 0 for g in state.groups):
                        return pool
            await asyncio.sleep(POLL_S)


async def kill_primary(fleet: Fleet) -> None:
    """Kill the primary and restart it without data.

    It is a member again before this returns, because only one of three instances
    may be without data at a time.
    """
    name = await find_primary(fleet)
    await fleet.processes[name].kill()
    await asyncio.sleep(SHORT_FAULT_S)
    await fleet.start_target(_group(fleet), name, initial=False)
    async with asyncio.timeout(MEMBER_TIMEOUT_S):
        while not (await fleet.call_target(name, STATUS))["member"]:
            await asyncio.sleep(POLL_S)


async def kill_owner(fleet: Fleet) -> None:
    """Kill the pool that owns the group and restart it after ``SHORT_FAULT_S``."""
    pool = await find_owner(fleet)
    await pool.kill()
    await asyncio.sleep(SHORT_FAULT_S)
    await fleet.start_pool(pool.name, _data_centre(fleet, pool))


async def stop_owner(fleet: Fleet) -> None:
    """Stop the owner gracefully and restart it after ``SHORT_FAULT_S``."""
    pool = await find_owner(fleet)
    await pool.stop()
    await asyncio.sleep(SHORT_FAULT_S)
    await fleet.start_pool(pool.name, _data_centre(fleet, pool))


async def kill_entry(fleet: Fleet) -> None:
    """Kill the first entry and restart it after ``SHORT_FAULT_S``."""
    entry = fleet.entries[0]
    await entry.kill()
    await asyncio.sleep(SHORT_FAULT_S)
    await fleet.start_entry(entry.name, _data_centre(fleet, entry))


async def pause_primary(fleet: Fleet) -> None:
    """Suspend the primary for longer than its lease, so that it is replaced."""
    await _pause(fleet.processes[await find_primary(fleet)], LONG_FAULT_S)


async def pause_owner(fleet: Fleet) -> None:
    """Suspend the owner until another pool has taken over, then resume it.

    The resumed owner starts from outdated state.
    """
    await _pause(await find_owner(fleet), TAKEOVER_S)


async def cut_primary_from_group(fleet: Fleet) -> None:
    """Disconnect the primary from its replicas until it has been replaced.

    Pools can still reach it.

    Raises:
        TimeoutError: It was not replaced within ``FAILOVER_LIMIT_S``.
    """
    primary = await find_primary(fleet)
    replicas = [i.name for i in _group(fleet).instances if i.name != primary]
    async with _cut_targets(fleet, primary, replicas):
        async with asyncio.timeout(FAILOVER_LIMIT_S):
            while await find_primary(fleet) == primary:
                await asyncio.sleep(POLL_S)
        await asyncio.sleep(SHORT_FAULT_S)


async def cut_primary_from_pools(fleet: Fleet) -> None:
    """Disconnect the primary from all pools, but not from its replicas."""
    primary = await find_primary(fleet)
    async with _cut_targets(fleet, primary, [p.name for p in fleet.pools]):
        await asyncio.sleep(LONG_FAULT_S)


async def cut_primary_from_owner(fleet: Fleet) -> None:
    """Disconnect the primary from the first owner only, past any suspicion of it."""
    primary = await find_primary(fleet)
    async with _cut_targets(fleet, primary, [(await find_owner(fleet)).name]):
        await asyncio.sleep(TAKEOVER_S)


async def cut_entry_from_owner(fleet: Fleet) -> None:
    """Drop all traffic between the first entry and the owner."""
    owner, entry = await find_owner(fleet), fleet.entries[0]
    async with _cut_links(fleet, owner.name, entry.name):
        await asyncio.sleep(LONG_FAULT_S)


async def partition_pools(fleet: Fleet) -> None:
    """Drop all traffic between the two pools, so that both act as first owner."""
    first, second = fleet.pools[:2]
    async with _cut_links(fleet, first.name, second.name):
        await asyncio.sleep(LONG_FAULT_S)


async def stop_platform_answering(fleet: Fleet) -> None:
    """Take the platform down for ``OUTAGE_S``."""
    await _with_platform_faults(fleet, OUTAGE_S, down=True)


async def slow_platform(fleet: Fleet) -> None:
    """Delay all replies of the platform for ``OUTAGE_S``."""
    await _with_platform_faults(fleet, OUTAGE_S, delay_ms=1500)


async def lose_platform_answers(fleet: Fleet) -> None:
    """Lose most replies of the platform after their changes took effect."""
    await _with_platform_faults(fleet, OUTAGE_S, lose_answers=0.9)


def combine_faults(*faults: Fault) -> Fault:
    """Return a fault that injects several faults at once."""

    async def inject(fleet: Fleet) -> None:
        await asyncio.gather(*(fault(fleet) for fault in faults))

    return inject


def _group(fleet: Fleet) -> Group:
    return fleet.deployment.group(GROUP)


def _data_centre(fleet: Fleet, process: RunningProcess) -> str:
    return fleet.cfg.data_centres[int(process.name.rpartition("-")[2]) - 1]


async def _pause(process: RunningProcess, duration_s: float) -> None:
    process.send(signal.SIGSTOP)
    try:
        await asyncio.sleep(duration_s)
    finally:
        process.send(signal.SIGCONT)


@contextlib.asynccontextmanager
async def _cut_targets(
    fleet: Fleet, name: str, others: Iterable[str]
) -> AsyncIterator[None]:
    """Disconnect an instance from other instances and from pools, both ways."""
    others = list(others)
    instances = [i.name for i in _group(fleet).instances if i.name in others]
    await fleet.call_target(name, f"CALL standin_cut('{','.join(others)}')")
    for other in instances:
        await fleet.call_target(other, f"CALL standin_cut('{name}')")
    try:
        yield
    finally:
        for each in (name, *instances):
            await fleet.call_target(each, "CALL standin_cut('')")


@contextlib.asynccontextmanager
async def _cut_links(fleet: Fleet, first: str, second: str) -> AsyncIterator[None]:
    await fleet.ask(first, SetCut((second,)))
    await fleet.ask(second, SetCut((first,)))
    try:
        yield
    finally:
        await fleet.ask(first, SetCut())
        await fleet.ask(second, SetCut())


async def _with_platform_faults(
    fleet: Fleet, duration_s: float, **faults: float
) -> None:
    defaults = dataclasses.asdict(Faults())
    await fleet.set_faults(**faults)
    try:
        await asyncio.sleep(duration_s)
    finally:
        await fleet.set_faults(**{name: defaults[name] for name in faults})
