"""The faults of a run, drawn from its seed, in series and overlapping."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from soak.fleet import SoakFleet

# Between the beginnings of two faults; each lasts longer, so that they overlap.
GAP_S = (0.2, 1.5)
DURATION_S = (0.3, 4.0)


@dataclass(frozen=True, slots=True)
class FaultKind:
    """A kind of fault.

    Args:
        inject: begins it and returns what ends it.
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
        await host.wait_end()
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
    return _hold(rng.choice(fleet.store_proxies), rng)


async def _cut_instance(fleet: SoakFleet, rng: random.Random):
    return _hold(rng.choice(list(fleet.instance_proxies.values())), rng)


def _hold(proxy, rng: random.Random):
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


async def _deafen_replica(fleet: SoakFleet, rng: random.Random):
    instance = rng.choice(list(fleet.group.instances.values()))
    instance.deaf = True

    async def hear() -> None:
        instance.deaf = False
        fleet.group.catch_up(instance)

    return hear


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


async def _turn_store_off(fleet: SoakFleet, rng: random.Random):
    fleet.platform.store.down = True

    async def turn_on() -> None:
        fleet.platform.store.down = False

    return turn_on


async def _slow_store(fleet: SoakFleet, rng: random.Random):
    fleet.platform.delay_s = rng.uniform(0.05, 0.6)

    async def speed_up() -> None:
        fleet.platform.delay_s = 0.0

    return speed_up


async def _forget_history(fleet: SoakFleet, rng: random.Random):
    fleet.platform.store.forget_history()
    return _do_nothing


async def _release_primary(fleet: SoakFleet, rng: random.Random):
    name = fleet.group.primary.name
    fleet.leaving.add(name)

    async def stay() -> None:
        fleet.leaving.discard(name)

    return stay


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
    FaultKind("deaf replica", _deafen_replica),
    FaultKind("lagging replicas", _lag_replicas),
    FaultKind("lost answers", _lose_answers),
    FaultKind("lost store answers", _lose_store_answers),
    FaultKind("store off", _turn_store_off),
    FaultKind("slow store", _slow_store),
    FaultKind("lost history", _forget_history),
    FaultKind("leaving primary", _release_primary),
)


async def run_faults(
    fleet: SoakFleet, rng: random.Random, say: Callable[[str], None]
) -> None:
    """Inject faults one after the other until cancelled; then end all of them."""
    running: set[asyncio.Task] = set()
    try:
        while True:
            await asyncio.sleep(rng.uniform(*GAP_S))
            kind, duration_s = rng.choice(KINDS), rng.uniform(*DURATION_S)
            say(f"{kind.name} for {duration_s:.1f} s")
            end = await kind.inject(fleet, rng)
            task = asyncio.ensure_future(_end_later(end, duration_s))
            running.add(task)
            task.add_done_callback(running.discard)
    finally:
        for task in list(running):
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)


async def _end_later(end: Callable[[], Awaitable], duration_s: float) -> None:
    try:
        await asyncio.sleep(duration_s)
    finally:
        await end()
