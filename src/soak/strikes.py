"""The losses of the incident form: faults that strike at the same moment."""

import asyncio
import random
import signal
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from soak.hosts import HostProcess
from soak.incident_fleet import GROUPS, HOST_COUNT, IncidentFleet
from soak.judged_group import JudgedInstance

PRIMARY_FAULTS = ("crash", "dark", "dark", "stall", "isolate")
HOST_FAULTS = ("kill", "freeze", "power")
STORE_FAULTS = ("none", "none", "down", "slow", "refuse", "cut")
# An instance that stalls leaves statements unanswered for this long.
STALL_S = (0.8, 2.0)


@dataclass(frozen=True, slots=True)
class GroupStrike:
    """What happens to one group.

    Args:
        primary: The fault of the primary.
        with_confirmer: Whether the replica that confirmed last goes with it.
        deaf_s: How long before the loss the other replica receives nothing; 0 if not.
        stall_s: How long a primary that stalls, hangs or is isolated answers nothing.
    """

    primary: str
    with_confirmer: bool
    deaf_s: float
    stall_s: float


@dataclass(frozen=True, slots=True)
class Strike:
    """A loss with what precedes it, drawn before it begins.

    Args:
        calm_s: The time before anything happens.
        lead_s: The time from the first preceding fault to the loss.
        answer_delay_s: The shortest and the longest delay of answers.
        promotion_delay_s: The time until a promotion takes effect.
        groups: What happens to each group.
        host_fault: How the hosts fail.
        hosts: The indexes of the hosts that fail.
        hosts_lead_s: How long before the loss the hosts fail.
        hosts_away_s: The time from the loss until the hosts return.
        store_fault: How the store fails.
        busy_s: How long STATUS and PAUSE are answered BUSY after the loss.
        release: The role of the instance that drains before, or empty.
        release_group: The group of that instance.
        drain_s: How long before the loss all primaries begin to drain; 0 if not.
        away_s: The time until everything returns, within another second.
        return_order: Seeds the moments of the returns.
    """

    calm_s: float
    lead_s: float
    answer_delay_s: tuple[float, float]
    promotion_delay_s: float
    groups: dict[str, GroupStrike]
    host_fault: str
    hosts: tuple[int, ...]
    hosts_lead_s: float
    hosts_away_s: float
    store_fault: str
    busy_s: float
    release: str
    release_group: str
    drain_s: float
    away_s: float
    return_order: float = field(repr=False)


def draw_strike(rng: random.Random, number: int) -> Strike:
    """Draw a loss; a seed fixes all of them.

    Args:
        rng: The source of all random choices.
        number: The number of the loss within its run, from 0. Every other one is of
            the kind of the incident.
    """
    strike, kind = _draw_any(rng), rng.choice(KINDS)
    return (kind if number % 2 else _lose_unread_answers)(strike, rng)


def _draw_any(rng: random.Random) -> Strike:
    longest_s = rng.choice((0.0, rng.uniform(0.05, 0.4), 0.3, 0.4))
    # In half of the losses all primaries fail in the same way.
    same = rng.choice((*PRIMARY_FAULTS, *("",) * len(PRIMARY_FAULTS)))
    groups = {}
    for name in GROUPS:
        fault = rng.choice(PRIMARY_FAULTS)
        deaf_s = rng.choice((0.0, rng.uniform(0.02, 0.3), rng.uniform(0.02, 3.0)))
        with_confirmer, stall_s = rng.random() < 0.8, rng.uniform(*STALL_S)
        groups[name] = GroupStrike(same or fault, with_confirmer, deaf_s, stall_s)
    count = rng.choice((0, 0, rng.randint(1, HOST_COUNT - 1), HOST_COUNT))
    away_s = rng.uniform(1.5, 5.0)
    return Strike(
        calm_s=rng.uniform(0.5, 1.5),
        lead_s=max(1.0, *(plan.deaf_s for plan in groups.values())),
        answer_delay_s=(longest_s * rng.choice((0.0, 0.8)), longest_s),
        promotion_delay_s=rng.choice((0.3, 0.3, rng.uniform(0.3, 0.9))),
        groups=groups,
        host_fault=rng.choice(HOST_FAULTS),
        hosts=tuple(sorted(rng.sample(range(HOST_COUNT), count))),
        hosts_lead_s=0.0,
        hosts_away_s=away_s,
        store_fault=rng.choice(STORE_FAULTS),
        busy_s=rng.choice((0.0, 0.0, rng.uniform(0.3, 2.0))),
        release=rng.choice(("", "", "primary", "replica")),
        release_group=rng.choice(GROUPS),
        drain_s=0.0,
        away_s=away_s,
        return_order=rng.random(),
    )


def _leave_as_drawn(strike: Strike, rng: random.Random) -> Strike:
    return strike


def _lose_unread_answers(strike: Strike, rng: random.Random) -> Strike:
    """Lose the primaries while the answers to commits that a replica lacks are late."""
    groups = _draw_dark(rng, (0.05, 0.3))
    hosts = strike.hosts if rng.random() < 0.3 else ()
    return replace(
        strike, groups=groups, hosts=hosts, answer_delay_s=(0.3, 0.4), release=""
    )


def _lose_hosts(strike: Strike, rng: random.Random) -> Strike:
    """Lose most hosts with the primaries; the hosts return first."""
    hosts = tuple(sorted(rng.sample(range(HOST_COUNT), rng.choice((4, 5)))))
    return replace(
        strike,
        groups=_draw_dark(rng, (0.05, 0.5)),
        answer_delay_s=(0.0, 0.0),
        hosts=hosts,
        host_fault=rng.choice(("kill", "power")),
        hosts_away_s=rng.uniform(0.3, 1.5),
        store_fault="none",
        release="",
        away_s=rng.uniform(5.0, 8.0),
    )


def _lose_while_draining(strike: Strike, rng: random.Random) -> Strike:
    """Lose primaries that drain, while a frozen host delays their replacement."""
    drain_s = rng.uniform(0.4, 0.9)
    return replace(
        strike,
        groups=_draw_dark(rng, (drain_s * 0.4, drain_s * 0.8)),
        answer_delay_s=(0.0, 0.0),
        hosts=(rng.randrange(HOST_COUNT),),
        host_fault="freeze",
        hosts_lead_s=drain_s + 0.05,
        hosts_away_s=rng.uniform(3.0, 4.0),
        store_fault="none",
        release="",
        drain_s=drain_s,
        away_s=rng.uniform(4.0, 5.0),
    )


def _hang(strike: Strike, rng: random.Random) -> Strike:
    """Let primaries run statements late, when another instance may be promoted."""
    groups = {
        name: GroupStrike("hang", False, 0.0, rng.uniform(0.6, 2.5)) for name in GROUPS
    }
    return replace(
        strike,
        groups=groups,
        hosts=(),
        store_fault="none",
        promotion_delay_s=rng.uniform(0.6, 0.9),
        release="",
        away_s=4.0,
    )


def _thaw(strike: Strike, rng: random.Random) -> Strike:
    """Let frozen hosts run again that still reach the replaced primaries."""
    groups = {
        name: GroupStrike("isolate", False, 0.0, rng.uniform(0.5, 1.0))
        for name in GROUPS
    }
    return replace(
        strike,
        groups=groups,
        hosts=tuple(sorted(rng.sample(range(HOST_COUNT), rng.randint(1, 3)))),
        host_fault="freeze",
        hosts_away_s=rng.uniform(3.5, 5.0),
        store_fault=rng.choice(("none", "cut")),
        release="",
        away_s=7.0,
    )


KINDS = (
    *(_leave_as_drawn,) * 3,
    *(_lose_hosts,) * 2,
    _lose_while_draining,
    _hang,
    _thaw,
)


def _draw_dark(
    rng: random.Random, deaf_s: tuple[float, float]
) -> dict[str, GroupStrike]:
    return {
        name: GroupStrike(
            rng.choice(("crash", "dark")), True, rng.uniform(*deaf_s), 0.0
        )
        for name in GROUPS
    }


class StrikeRunner:
    """Carries out losses on a fleet.

    Args:
        fleet: The fleet.
        log: Writes a line to the fault log.
    """

    def __init__(self, fleet: IncidentFleet, log: Callable[[str], None]) -> None:
        self._fleet = fleet
        self._log = log
        # Hosts that are harmed at the moment.
        self.harmed: set[str] = set()

    async def run(self, strike: Strike) -> None:
        """Carry out a loss, and return when everything is back."""
        fleet, rng = self._fleet, random.Random(strike.return_order)
        await asyncio.sleep(strike.calm_s)
        self._log(f"{strike}")
        for group in fleet.groups.values():
            group.promotion_delay_s = strike.promotion_delay_s
        self._delay_answers(strike.answer_delay_s)
        release = asyncio.ensure_future(self._release(strike, rng.uniform(2.0, 6.0)))
        async with asyncio.TaskGroup() as faults:
            for name, plan in strike.groups.items():
                at_s = strike.lead_s - plan.deaf_s
                faults.create_task(self._deafen(name, plan, at_s, strike))
                returns_s = strike.away_s + rng.uniform(0.0, 1.0)
                faults.create_task(self._fail_group(name, plan, strike, returns_s))
            for number in strike.hosts:
                returns_s = strike.hosts_away_s + rng.uniform(0.0, 1.0)
                host = fleet.hosts[number]
                faults.create_task(self._fail_host(host, strike, returns_s))
            faults.create_task(self._drain(strike))
            faults.create_task(self._fail_store(strike))
            faults.create_task(self._keep_busy(strike))
        await release
        self._delay_answers((0.0, 0.0))
        self._log("everything is back")

    def _delay_answers(self, delay_s: tuple[float, float]) -> None:
        for group in self._fleet.groups.values():
            for instance in group.instances.values():
                instance.answer_delay_s = delay_s

    async def _deafen(
        self, name: str, plan: GroupStrike, at_s: float, strike: Strike
    ) -> None:
        if not plan.deaf_s:
            return
        await asyncio.sleep(at_s)
        group = self._fleet.groups[name]
        replica = next(
            i
            for i in group.instances.values()
            if i is not group.primary and i.name not in self._fleet.leaving
        )
        replica.replication_blocked = True
        self._log(f"{replica.name} receives nothing")
        await asyncio.sleep(plan.deaf_s + strike.away_s)
        replica.replication_blocked = False

    async def _fail_group(
        self, name: str, plan: GroupStrike, strike: Strike, returns_s: float
    ) -> None:
        await asyncio.sleep(strike.lead_s)
        group = self._fleet.groups[name]
        primary = group.primary
        failing = [primary]
        if plan.with_confirmer:
            failing.append(group.find_confirmer())
        ends = ", ".join(
            f"{n} {i.log_end[0]}.{i.log_end[1]}" for n, i in group.instances.items()
        )
        self._log(f"{plan.primary} {[i.name for i in failing]} of {ends}")
        if plan.primary in ("crash", "dark"):
            for instance in failing:
                await self._lose(instance, plan.primary)
            await asyncio.sleep(returns_s)
        else:
            # The confirmer loses power; the primary runs on.
            primary.silent = plan.primary != "hang"
            primary.hangs = plan.primary == "hang"
            primary.is_cut = plan.primary == "isolate"
            for instance in failing[1:]:
                await self._lose(instance, "dark")
            await asyncio.sleep(min(plan.stall_s, returns_s))
            primary.silent = primary.hangs = False
            await asyncio.sleep(max(returns_s - plan.stall_s, 0.0))
        for instance in failing:
            instance.is_cut = False
            instance.wake()
            if not instance.is_running and group.instances.get(instance.name):
                await instance.start()
        self._log(f"{[i.name for i in failing]} are back")

    async def _lose(self, instance: JudgedInstance, fault: str) -> None:
        if fault == "crash":
            await instance.stop()
        else:
            instance.go_dark()

    async def _fail_host(
        self, host: HostProcess, strike: Strike, returns_s: float
    ) -> None:
        await asyncio.sleep(strike.lead_s - strike.hosts_lead_s)
        self.harmed.add(host.name)
        if strike.host_fault == "kill":
            await host.kill()
        else:
            # Without power, a host leaves its connections open, too.
            host.pause()
        await asyncio.sleep(strike.hosts_lead_s + returns_s)
        if strike.host_fault == "power":
            host.send(signal.SIGKILL)
            await host.wait_exit()
        host.resume()
        await host.start()
        self._log(f"{host.name} is back")

    async def _drain(self, strike: Strike) -> None:
        """Let all primaries drain; after the loss they stay."""
        if not strike.drain_s:
            return
        fleet = self._fleet
        await asyncio.sleep(strike.lead_s - strike.drain_s)
        names = [group.primary.name for group in fleet.groups.values()]
        fleet.leaving.update(names)
        fleet.register_all()
        self._log(f"{names} drain")
        await asyncio.sleep(strike.drain_s + strike.away_s)
        fleet.leaving.difference_update(names)

    async def _fail_store(self, strike: Strike) -> None:
        await asyncio.sleep(strike.lead_s)
        fleet, fault = self._fleet, strike.store_fault
        proxies = [fleet.store_proxies[n] for n in strike.hosts or (0, 1)]
        if fault == "down":
            fleet.platform.store.down = True
        elif fault == "slow":
            fleet.platform.delay_s = 0.3
        elif fault in ("refuse", "cut"):
            for number in strike.hosts or (0, 1):
                self.harmed.add(fleet.hosts[number].name)
            for proxy in proxies:
                if fault == "cut":
                    proxy.cut(True, True)
                else:
                    proxy.is_refusing = True
                    proxy.reset()
        await asyncio.sleep(strike.away_s)
        fleet.platform.store.down = False
        fleet.platform.delay_s = 0.0
        for proxy in proxies:
            proxy.heal()

    async def _keep_busy(self, strike: Strike) -> None:
        instances = [
            i for g in self._fleet.groups.values() for i in g.instances.values()
        ]
        await asyncio.sleep(strike.lead_s)
        for instance in instances:
            instance.is_busy = strike.busy_s > 0
        await asyncio.sleep(strike.busy_s)
        for instance in instances:
            instance.is_busy = False

    async def _release(self, strike: Strike, drain_s: float) -> None:
        if not strike.release:
            return
        await asyncio.sleep(strike.return_order * strike.lead_s)
        group = self._fleet.groups[strike.release_group]
        primary = group.primary
        old = primary
        if strike.release == "replica":
            old = next(i for i in group.instances.values() if i is not primary)
        self._fleet.leaving.add(old.name)
        self._fleet.register_all()
        self._log(f"{old.name} drains for {drain_s:.1f} s")
        await asyncio.sleep(drain_s)
        while not old.is_running or old.is_dark:
            await asyncio.sleep(0.1)
        new = await self._fleet.replace(old)
        self._log(f"{old.name} is replaced by {new.name}")
