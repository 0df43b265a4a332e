"""The faults of a run, drawn at random from its seed."""

import asyncio
import contextlib
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from soak.fleet import SoakFleet
from wasabipitch.coordination.revisions import find_number

# Starts of faults are mostly closer together than a fault lasts, so they overlap.
FAULT_INTERVAL_S = (0.2, 1.5)
FAULT_DURATION_S = (0.3, 4.0)
# The store returns from older copies in series, with shorter pauses than between them.
SERIES_INTERVAL_S = (1.0, 8.0)
MAX_SERIES = 4
RETURN_INTERVAL_S = (0.2, 4.0)
STORE_ABSENCE_S = (0.0, 2.5)
# Longer than the time for which a withdrawn key may be used (``keys.REVOCATION_S``).
SEPARATION_S = (3.5, 7.0)
SEPARATION_PAUSE_S = (1.0, 2.5)


@dataclass(frozen=True, slots=True)
class FaultKind:
    """A kind of fault.

    Args:
        name: The name that the fault log shows.
        inject: Starts the fault and returns a function that ends it.
    """

    name: str
    inject: Callable[[SoakFleet, random.Random], Awaitable[Callable[[], Awaitable]]]


async def _kill_host(fleet: SoakFleet, rng: random.Random):
    host = rng.choice(fleet.hosts)
    await host.kill()
    return host.start


async def _stop_host(fleet: SoakFleet, rng: random.Random):
    host = rng.choice(fleet.hosts)
    host.send(signal.SIGTERM)

    async def restart() -> None:
        await host.wait_exit()
        await host.start()

    return restart


async def _kill_all_hosts(fleet: SoakFleet, rng: random.Random):
    for host in fleet.hosts:
        await host.kill()

    async def restart() -> None:
        for host in fleet.hosts:
            await host.start()

    return restart


async def _freeze_host(fleet: SoakFleet, rng: random.Random):
    host = rng.choice(fleet.hosts)
    host.pause()

    async def resume() -> None:
        host.resume()

    return resume


async def _cut_host_from_store(fleet: SoakFleet, rng: random.Random):
    return _cut_proxy(rng.choice(fleet.store_proxies), rng)


async def _cut_instance(fleet: SoakFleet, rng: random.Random):
    return _cut_proxy(rng.choice(list(fleet.instance_proxies.values())), rng)


def _cut_proxy(proxy, rng: random.Random):
    up, down = rng.choice([(True, False), (False, True), (True, True)])
    proxy.cut(up, down)

    async def heal() -> None:
        proxy.heal()

    return heal


async def _delay_proxy(fleet: SoakFleet, rng: random.Random):
    proxy = rng.choice(fleet.proxies)
    proxy.delay_s = rng.uniform(0.01, 0.3)

    async def heal() -> None:
        proxy.heal()

    return heal


async def _reset_proxy(fleet: SoakFleet, rng: random.Random):
    rng.choice(fleet.proxies).reset()
    return _do_nothing


async def _crash_instance(fleet: SoakFleet, rng: random.Random):
    instance = rng.choice([*fleet.group.instances.values(), fleet.group.primary])
    await instance.stop()

    async def restart() -> None:
        if not instance.is_running:
            await instance.start()

    return restart


async def _block_replication(fleet: SoakFleet, rng: random.Random):
    instance = rng.choice(list(fleet.group.instances.values()))
    instance.replication_blocked = True

    async def unblock() -> None:
        instance.replication_blocked = False
        fleet.group.catch_up(instance)

    return unblock


async def _lag_replicas(fleet: SoakFleet, rng: random.Random):
    for instance in fleet.group.instances.values():
        instance.lag_s = rng.uniform(0.0, 1.0)

    async def catch_up() -> None:
        for instance in fleet.group.instances.values():
            instance.lag_s = 0.0

    return catch_up


async def _lose_answers(fleet: SoakFleet, rng: random.Random):
    fleet.group.primary.lost_answers = rng.randint(1, 5)
    return _do_nothing


async def _lose_store_answers(fleet: SoakFleet, rng: random.Random):
    fleet.platform.store.lost_answers = rng.randint(1, 6)
    return _do_nothing


async def _make_store_unavailable(fleet: SoakFleet, rng: random.Random):
    fleet.platform.store.down = True

    async def restore() -> None:
        fleet.platform.store.down = False

    return restore


async def _slow_store(fleet: SoakFleet, rng: random.Random):
    fleet.platform.delay_s = rng.uniform(0.05, 0.6)

    async def speed_up() -> None:
        fleet.platform.delay_s = 0.0

    return speed_up


async def _compact_history(fleet: SoakFleet, rng: random.Random):
    fleet.platform.store.compact_history()
    return _do_nothing


async def _mark_primary_leaving(fleet: SoakFleet, rng: random.Random):
    name = fleet.group.primary.name
    fleet.leaving.add(name)

    async def unmark() -> None:
        fleet.leaving.discard(name)

    return unmark


async def _do_nothing() -> None:
    return


KINDS = (
    FaultKind("kill host", _kill_host),
    FaultKind("stop host", _stop_host),
    FaultKind("kill all hosts", _kill_all_hosts),
    FaultKind("freeze host", _freeze_host),
    FaultKind("cut host from store", _cut_host_from_store),
    FaultKind("cut instance", _cut_instance),
    FaultKind("delay", _delay_proxy),
    FaultKind("reset", _reset_proxy),
    FaultKind("crash instance", _crash_instance),
    FaultKind("deaf replica", _block_replication),
    FaultKind("lagging replicas", _lag_replicas),
    FaultKind("lost answers", _lose_answers),
    FaultKind("lost store answers", _lose_store_answers),
    FaultKind("store off", _make_store_unavailable),
    FaultKind("slow store", _slow_store),
    FaultKind("lost history", _compact_history),
    FaultKind("leaving primary", _mark_primary_leaving),
)


async def run_faults(
    fleet: SoakFleet,
    rng: random.Random,
    log: Callable[[str], None],
    ended: asyncio.Event,
) -> None:
    """Start random faults until an event is set, then end those that still last.

    A fault that is starting or ending must not be interrupted: its host would stop and
    not start again.

    Args:
        fleet: The fleet to inject the faults into.
        rng: The source of all random choices.
        log: Writes a line to the fault log.
        ended: Set when no more faults are to be started.
    """
    ends = []
    while not await _is_set_within(ended, rng.uniform(*FAULT_INTERVAL_S)):
        kind, duration_s = rng.choice(KINDS), rng.uniform(*FAULT_DURATION_S)
        log(f"{kind.name} for {duration_s:.1f} s")
        end_fault = await kind.inject(fleet, rng)
        ends.append(asyncio.ensure_future(_end_after(end_fault, duration_s, ended)))
    await asyncio.gather(*ends)


async def run_returns(
    fleet: SoakFleet, rng: random.Random, log: Callable[[str], None]
) -> None:
    """Let the store return from older copies of its content until cancelled.

    The other faults go on meanwhile. They are drawn separately, so that a seed still
    injects the faults that it injected before there were returns.

    Args:
        fleet: The fleet whose store returns.
        rng: The source of all random choices.
        log: Writes a line to the fault log.
    """
    store = fleet.platform.store
    try:
        while True:
            await asyncio.sleep(rng.uniform(*SERIES_INTERVAL_S))
            for _ in range(rng.randint(1, MAX_SERIES)):
                absence_s, age = rng.uniform(*STORE_ABSENCE_S), rng.random()
                copies = list(fleet.copies)
                store.down = True
                await asyncio.sleep(absence_s)
                if copies:
                    copy = copies[int(age * len(copies))]
                    fleet.platform.restore(copy)
                    number = find_number(copy.revision)
                    log(f"store returned at {number} after {absence_s:.1f} s")
                store.down = False
                await asyncio.sleep(rng.uniform(*RETURN_INTERVAL_S))
    finally:
        store.down = False


async def run_separations(
    fleet: SoakFleet, rng: random.Random, log: Callable[[str], None]
) -> None:
    """Keep changes of the configuration from hosts for longer than a key may live.

    Either the store answers nobody while the operator goes on changing it, or a host is
    frozen, or cut off from the store. Goes on until cancelled, and then ends the fault.

    Args:
        fleet: The fleet.
        rng: The source of all random choices.
        log: Writes a line to the fault log.
    """
    kinds = (
        FaultKind("store off", _make_store_unavailable),
        FaultKind("freeze host", _freeze_host),
        FaultKind("cut host from store", _cut_host_from_store),
    )
    while True:
        await asyncio.sleep(rng.uniform(*SEPARATION_PAUSE_S))
        kind, duration_s = rng.choice(kinds), rng.uniform(*SEPARATION_S)
        log(f"{kind.name} for {duration_s:.1f} s")
        end_fault = await kind.inject(fleet, rng)
        try:
            await asyncio.sleep(duration_s)
        finally:
            await end_fault()


async def _end_after(
    end_fault: Callable[[], Awaitable], duration_s: float, ended: asyncio.Event
) -> None:
    await _is_set_within(ended, duration_s)
    await end_fault()


async def _is_set_within(event: asyncio.Event, seconds: float) -> bool:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()
    return event.is_set()
