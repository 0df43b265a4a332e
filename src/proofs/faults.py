"""Faults that are injected into a running fleet, and healed again."""

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
LONG_FAULT_S = 3.5  # longer than any lease, and than the suspicion of a primary
FAILOVER_LIMIT_S = 9.0  # for a change of primary
OUTAGE_S = 2.0
TAKEOVER_S = 5.5  # by when the second owner has taken over from a silent one
POLL_S = 0.05
OWNER_TIMEOUT_S = 15.0
MEMBER_TIMEOUT_S = 15.0
STATUS = "CALL wasabipitch_status()"

Fault = Callable[[Fleet], Awaitable[None]]


async def find_primary(fleet: Fleet) -> str:
    """Return the primary that the first owner holds, once there is one."""
    async with asyncio.timeout(OWNER_TIMEOUT_S):
        while not (name := await fleet.fetch_primary(GROUP)):
            await asyncio.sleep(POLL_S)
    return name


async def find_owner(fleet: Fleet) -> RunningProcess:
    """Return the pool that comes first among the group's owners."""
    async with asyncio.timeout(OWNER_TIMEOUT_S):
        while True:
            for pool in fleet.pools:
                with contextlib.suppress(WasabipitchError):
                    state = await fleet.ask(pool.name, AskStatus())
                    if any(g.name == GROUP and g.rank == 0 for g in state.groups):
                        return pool
            await asyncio.sleep(POLL_S)


async def kill_primary(fleet: Fleet) -> None:
    """Kill the primary; it comes back empty after a while.

    It counts again before this ends: of three instances, one may be empty.
    """
    name = await find_primary(fleet)
    await fleet.processes[name].kill()
    await asyncio.sleep(SHORT_FAULT_S)
    await fleet.start_target(_group(fleet), name, initial=False)
    async with asyncio.timeout(MEMBER_TIMEOUT_S):
        while not (await fleet.call_target(name, STATUS))["member"]:
            await asyncio.sleep(POLL_S)


async def kill_owner(fleet: Fleet) -> None:
    """Kill the pool that owns the group; it comes back after a while."""
    pool = await find_owner(fleet)
    await pool.kill()
    await asyncio.sleep(SHORT_FAULT_S)
    await fleet.start_pool(pool.name, _data_centre(fleet, pool))


async def stop_owner(fleet: Fleet) -> None:
    """Stop the owner gracefully; it comes back after a while."""
    pool = await find_owner(fleet)
    await pool.stop()
    await asyncio.sleep(SHORT_FAULT_S)
    await fleet.start_pool(pool.name, _data_centre(fleet, pool))


async def kill_entry(fleet: Fleet) -> None:
    """Kill the first entry; it comes back after a while."""
    entry = fleet.entries[0]
    await entry.kill()
    await asyncio.sleep(SHORT_FAULT_S)
    await fleet.start_entry(entry.name, _data_centre(fleet, entry))


async def pause_primary(fleet: Fleet) -> None:
    """Stop the primary until another one leads, then let it wake."""
    await _pause(fleet.processes[await find_primary(fleet)], LONG_FAULT_S)


async def pause_owner(fleet: Fleet) -> None:
    """Stop the owner past any lease, then let it wake as if nothing had been."""
    await _pause(await find_owner(fleet), TAKEOVER_S)


async def cut_primary_from_group(fleet: Fleet) -> None:
    """Cut the primary off from its replicas, until another one leads.

    Pools still reach it.

    Raises:
        TimeoutError: no other one led within the limit for a change.
    """
    primary = await find_primary(fleet)
    replicas = [i.name for i in _group(fleet).instances if i.name != primary]
    async with _cut_targets(fleet, primary, replicas):
        async with asyncio.timeout(FAILOVER_LIMIT_S):
            while await find_primary(fleet) == primary:
                await asyncio.sleep(POLL_S)
        await asyncio.sleep(SHORT_FAULT_S)


async def cut_primary_from_pools(fleet: Fleet) -> None:
    """Cut the primary off from all pools; it still reaches its replicas."""
    primary = await find_primary(fleet)
    async with _cut_targets(fleet, primary, [p.name for p in fleet.pools]):
        await asyncio.sleep(LONG_FAULT_S)


async def cut_primary_from_owner(fleet: Fleet) -> None:
    """Cut the primary off from the first owner only, past any suspicion."""
    primary = await find_primary(fleet)
    async with _cut_targets(fleet, primary, [(await find_owner(fleet)).name]):
        await asyncio.sleep(TAKEOVER_S)


async def cut_entry_from_owner(fleet: Fleet) -> None:
    """Drop all traffic between the first entry and the owner."""
    owner, entry = await find_owner(fleet), fleet.entries[0]
    async with _cut_links(fleet, owner.name, entry.name):
        await asyncio.sleep(LONG_FAULT_S)


async def partition_pools(fleet: Fleet) -> None:
    """Drop all traffic between the two pools: both take themselves for first."""
    first, second = fleet.pools[:2]
    async with _cut_links(fleet, first.name, second.name):
        await asyncio.sleep(LONG_FAULT_S)


async def stop_platform_answering(fleet: Fleet) -> None:
    """Take the platform down for a while."""
    await _with_platform_faults(fleet, OUTAGE_S, down=True)


async def slow_platform(fleet: Fleet) -> None:
    """Delay each of the platform's answers for a while."""
    await _with_platform_faults(fleet, OUTAGE_S, delay_ms=1500)


async def lose_platform_answers(fleet: Fleet) -> None:
    """Lose answers of the platform after their changes took effect."""
    await _with_platform_faults(fleet, OUTAGE_S, lose_answers=0.9)


def combine_faults(*faults: Fault) -> Fault:
    """Return a fault that injects several at once."""

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
    """Cut one instance off from other instances and pools, in both directions."""
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
