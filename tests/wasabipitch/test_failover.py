"""Tests failover with three stand-in instances that run in this process."""

import asyncio
import random
import time
import unittest
from collections.abc import Callable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

from standins.instance import TargetConfig
from standins.target import Target
from tests.wasabipitch.memory_store import MemoryStore
from wasabipitch.deployment import Group, Instance
from wasabipitch.events import Timeline
from wasabipitch.exceptions import NoTarget, TargetError
from wasabipitch.failover import Failover
from wasabipitch.health import Monitor
from wasabipitch.messages import AskEvents, Opinion
from wasabipitch.metrics import StatsdMetrics
from wasabipitch.models import Address, Position
from wasabipitch.mysql_targets import MysqlConnector
from wasabipitch.promotion import Order, Promoter, TermChange
from wasabipitch.switchover import switch_primary, watch_leaving
from wasabipitch.targets import Answer, ControlChannel, InstanceStatus
from wasabipitch.terms import TermAllocator
from wasabipitch.view import GroupView, InstanceView

NAMES = ("a", "b", "c")
TIMEOUT_S = 20.0
SEED = 20261204


async def eventually(condition: Callable[[], bool], what: str) -> None:
    """Wait until a condition holds; fail the test after ``TIMEOUT_S``."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError(f"{what}: not within {TIMEOUT_S} s")
        await asyncio.sleep(0.01)


class Cluster:
    """Three instances: a is the primary of term 1, and b and c follow it."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self._stack = stack
        self.targets: dict[str, Target] = {}
        self.addresses: dict[str, Address] = {}

    async def start(self) -> None:
        self._stack.push_async_callback(self.stop)
        for name in NAMES:
            await self.launch(name, primary=name == "a")
        for name in ("b", "c"):
            await self.run(name, f"CALL wasabipitch_follow('{self.addresses['a']}', 1)")
        await self.run("a", "CREATE TABLE jobs (id INTEGER PRIMARY KEY)")
        await self.wait_replicated(self.position("a"), NAMES)

    async def launch(
        self, name: str, *, primary: bool = False, initial: bool = True
    ) -> None:
        port = self.addresses[name].port if name in self.addresses else 0
        cfg = TargetConfig(name=name, port=port, connect_ms=1, lag_ms=1, connections=60)
        target = Target(replace(cfg, primary=primary, initial=initial))
        await target.__aenter__()
        self.targets[name] = target
        self.addresses[name] = Address.parse(target.address)

    async def stop(self) -> None:
        await asyncio.gather(*map(self._stop, self.targets.values()))

    async def kill(self, name: str) -> None:
        await self._stop(self.targets.pop(name))

    async def _stop(self, target: Target) -> None:
        target.instance.partitioned_users = frozenset()
        target.instance.changed.notify()
        await target.__aexit__(None, None, None)

    def cut(self, name: str, *users: str) -> None:
        instance = self.targets[name].instance
        instance.partitioned_users = frozenset(users)
        instance.changed.notify()

    def isolate(self, name: str, *users: str) -> None:
        """Cut an instance off from the other instances and from some users."""
        others = [n for n in self.targets if n != name]
        self.cut(name, *others, *users)
        for other in others:
            self.cut(other, name)

    def heal(self) -> None:
        for name in self.targets:
            self.cut(name)

    async def run(self, name: str, statement: str, user: str = "harness") -> Answer:
        conn = await MysqlConnector(user).connect(self.addresses[name], "")
        try:
            return await conn.run(statement)
        finally:
            conn.close()

    async def insert(self, name: str, key: int) -> Position:
        await self.run(name, f"INSERT INTO jobs VALUES ({key})")
        return self.position(name)

    async def insert_acknowledged(self, name: str, key: int) -> None:
        """Insert a row and wait until a majority holds it, as the proxy does."""
        position = await self.insert(name, key)
        await eventually(lambda: self.count_holders(position) >= 2, "replication")

    async def wait_replicated(self, position: Position, names: tuple[str, ...]) -> None:
        for name in names:
            reached = lambda n=name: self.position(n) >= position  # noqa: E731
            await eventually(reached, f"{name} at {position}")

    def count_holders(self, position: Position) -> int:
        return sum(self.position(name) >= position for name in self.targets)

    def position(self, name: str) -> Position:
        position = self.targets[name].instance.position
        return Position(position.term, position.index)

    async def keys(self, name: str) -> set[int]:
        answer = await self.run(name, "SELECT id FROM jobs")
        return {int(row[0]) for row in answer.rows}

    async def wait_settled(self) -> None:
        """Wait until all instances hold the same log."""
        await eventually(
            lambda: len({self.position(n) for n in self.targets}) == 1, "same logs"
        )


class Pool:
    """A pool that supervises the group, with its own view and connections."""

    def __init__(self, cluster: Cluster, store: MemoryStore, name: str = "pool1"):
        self.opinions: list[Opinion] = []
        self.rank = 0
        self.timeline = Timeline(name)
        self.metrics = StatsdMetrics()
        connector = MysqlConnector(name)
        instances = tuple(
            Instance(name=n, address=str(cluster.addresses[n]), data_centre=f"dc-{n}")
            for n in NAMES
        )
        group = Group(name="workshop", instances=instances)
        channels = {
            i.name: connector.open_control(i.name, i.endpoint) for i in instances
        }
        views = {i.name: InstanceView(i, channels[i.name]) for i in instances}
        self.view = GroupView(group, views)
        self.terms = TermAllocator(store, "workshop")
        self.promoter = Promoter(self.view, self.terms, self.timeline)
        self.failover = Failover(
            self.view,
            self.terms,
            self._ask_opinions,
            lambda: self.rank,
            self.timeline,
            self.metrics,
            rng=random.Random(SEED),
        )

    async def start(self, stack: AsyncExitStack) -> None:
        monitor = Monitor(self.view, self.timeline, self.metrics)
        for work in (monitor.run(), self.failover.run()):
            stack.push_async_callback(_cancel, asyncio.ensure_future(work))
        for view in self.view.instances.values():
            stack.push_async_callback(view.channel.close)

    async def wait_established(self, *, above: int = 0) -> str:
        """Wait for a primary of a term above a given one, and return its name."""
        await eventually(
            lambda: self.view.primary != "" and self.view.term > above,
            f"a primary above term {above}",
        )
        return self.view.primary

    async def observe(self) -> None:
        """Read the status of every instance that answers, once."""
        monitor = Monitor(self.view, self.timeline, self.metrics)
        for view in self.view.instances.values():
            await monitor.probe(view)

    def events(self, kind: str) -> list[str]:
        events = self.timeline.select(AskEvents())
        return [f"{e.term} {e.detail}" for e in events if e.kind == kind]

    async def _ask_opinions(self, instance: str) -> list[Opinion]:
        return self.opinions


async def _cancel(task: asyncio.Future) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


class GroupTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.store = MemoryStore()
        self.cluster = Cluster(self.stack)
        await self.cluster.start()

    async def start_pool(self, name: str = "pool1", rank: int = 0) -> Pool:
        pool = Pool(self.cluster, self.store, name)
        pool.rank = rank
        await pool.start(self.stack)
        return pool


class AdoptionTest(GroupTest):
    async def test_established_primary_is_adopted_without_a_new_term(self) -> None:
        pool = await self.start_pool()
        self.assertEqual(await pool.wait_established(), "a")
        self.assertEqual(pool.view.term, 1)
        self.assertEqual(pool.events("failover.promoted"), [])

    async def test_primary_that_nobody_follows_is_given_followers(self) -> None:
        for name in ("b", "c"):
            await self.cluster.kill(name)
            await self.cluster.launch(name)
        pool = await self.start_pool()
        self.assertEqual(await pool.wait_established(), "a")
        await self.cluster.wait_settled()

    async def test_group_whose_primary_is_lost_is_taken_over(self) -> None:
        await self.cluster.insert_acknowledged("a", 1)
        await self.cluster.kill("a")
        pool = await self.start_pool()
        name = await pool.wait_established(above=1)
        self.assertEqual(await self.cluster.keys(name), {1})


class LostPrimaryTest(GroupTest):
    async def test_killed_primary_is_replaced_and_readmitted_empty(self) -> None:
        pool = await self.start_pool()
        await pool.wait_established()
        await self.cluster.insert_acknowledged("a", 1)
        await self.cluster.kill("a")
        name = await pool.wait_established(above=1)
        self.assertEqual(await self.cluster.keys(name), {1})
        await self.cluster.insert_acknowledged(name, 2)
        term = pool.view.term
        await self.cluster.launch("a", initial=False)
        a = self.cluster.targets["a"].instance
        await eventually(lambda: a.member, "readmission")
        self.assertGreater(await self._term_of_admission(pool, term), term)
        await self.cluster.wait_settled()
        self.assertEqual(await self.cluster.keys("a"), {1, 2})

    async def _term_of_admission(self, pool: Pool, term: int) -> int:
        await pool.wait_established(above=term)
        return self.cluster.targets["a"].instance.position.term

    async def test_primary_cut_off_drops_its_unacknowledged_entry(self) -> None:
        pool = await self.start_pool()
        await pool.wait_established()
        await self.cluster.insert_acknowledged("a", 1)
        self.cluster.isolate("a", "pool1")
        await self.cluster.insert("a", 2)
        name = await pool.wait_established(above=1)
        await self.cluster.insert_acknowledged(name, 3)
        self.assertEqual(await self.cluster.keys("a"), {1, 2})
        self.cluster.heal()
        await self.cluster.wait_settled()
        for instance in NAMES:
            self.assertEqual(await self.cluster.keys(instance), {1, 3})
        with self.assertRaises(TargetError):
            await self.cluster.insert("a", 4)

    async def test_store_that_is_down_does_not_stop_a_failover(self) -> None:
        self.store.set_down(True)
        pool = await self.start_pool()
        await pool.wait_established()
        await self.cluster.insert_acknowledged("a", 1)
        await self.cluster.kill("a")
        name = await pool.wait_established(above=1)
        self.assertEqual(await self.cluster.keys(name), {1})

    async def test_lone_instance_is_never_promoted(self) -> None:
        pool = await self.start_pool()
        await pool.wait_established()
        await self.cluster.kill("b")
        await self.cluster.kill("a")
        await eventually(
            lambda: any("only 1" in e for e in pool.events("failover.abandoned")),
            "an abandoned failover",
        )
        self.assertEqual(pool.events("failover.promoted"), [])
        self.assertEqual(self.cluster.targets["c"].instance.fence_term, 1)

    async def test_disabled_failover_only_watches(self) -> None:
        pool = await self.start_pool()
        pool.failover._enabled = lambda: False
        await pool.wait_established()
        await self.cluster.kill("a")
        await eventually(lambda: pool.view.primary == "", "demotion")
        await asyncio.sleep(1)
        self.assertEqual(pool.events("failover.promoted"), [])


class RenewalTest(GroupTest):
    async def test_instance_fenced_by_an_abandoned_attempt_rejoins(self) -> None:
        pool = await self.start_pool()
        await pool.wait_established()
        await self.cluster.run("c", "CALL wasabipitch_fence(9)")
        self.assertEqual(await pool.wait_established(above=9), "a")
        await self.cluster.wait_settled()

    async def test_writes_are_held_back_for_a_bounded_time(self) -> None:
        steps = []

        @asynccontextmanager
        async def hold_writes():
            steps.append("held")
            try:
                await asyncio.Event().wait()
                yield
            finally:
                steps.append("released")

        pool = await self.start_pool()
        pool.failover._quiesce = hold_writes
        await pool.wait_established()
        self.assertEqual(await switch_primary(pool.view, pool.failover, "b"), "b")
        self.assertEqual(steps, ["held", "released"])


class FalseAlarmTest(GroupTest):
    async def test_one_missed_probe_does_not_demote_the_primary(self) -> None:
        pool = await self.start_pool()
        await pool.wait_established()
        a = pool.view.instances["a"]
        self.cluster.cut("a", "pool1")
        await eventually(lambda: a.misses == 1, "a miss")
        self.cluster.heal()
        await eventually(lambda: a.misses == 0, "a report")
        self.assertEqual(pool.events("failover.suspected"), [])

    async def test_pool_alone_cut_off_leaves_the_primary_in_place(self) -> None:
        pool = await self.start_pool()
        await pool.wait_established()
        pool.opinions = [Opinion("a", reachable=True, term=1)]
        self.cluster.cut("a", "pool1")
        await eventually(lambda: pool.view.primary == "", "demotion")
        await asyncio.sleep(1)
        self.cluster.heal()
        self.assertEqual(await pool.wait_established(), "a")
        self.assertEqual(pool.view.term, 1)
        self.assertEqual(pool.metrics.counters["failover.false_alarm"], 1)

    async def test_opinion_of_an_older_term_does_not_delay_failover(self) -> None:
        pool = await self.start_pool()
        await pool.wait_established()
        pool.opinions = [Opinion("a", reachable=True, term=0)]
        await self.cluster.kill("a")
        await pool.wait_established(above=1)


class ConcurrentPoolsTest(GroupTest):
    async def test_two_pools_end_with_one_primary(self) -> None:
        pools = [await self.start_pool(f"pool{i}") for i in (1, 2)]
        for pool in pools:
            await pool.wait_established()
        await self.cluster.insert_acknowledged("a", 1)
        await self.cluster.kill("a")
        for pool in pools:
            await pool.wait_established(above=1)
        await eventually(
            lambda: (
                pools[0].view.primary != ""
                and pools[0].view.primary == pools[1].view.primary
                and pools[0].view.term == pools[1].view.term
            ),
            "agreement",
        )
        terms = [e.split()[0] for p in pools for e in p.events("failover.promoted")]
        self.assertEqual(len(terms), len(set(terms)), "a term had two primaries")
        self.assertEqual(await self.cluster.keys(pools[0].view.primary), {1})

    async def test_second_pool_waits_for_the_first(self) -> None:
        first = await self.start_pool("pool1")
        second = await self.start_pool("pool2", rank=1)
        for pool in (first, second):
            await pool.wait_established()
        await self.cluster.kill("a")
        await second.wait_established(above=1)
        self.assertEqual(second.events("failover.promoted"), [])

    async def test_promotion_after_a_pause_is_refused(self) -> None:
        paused, other = (Pool(self.cluster, self.store, n) for n in ("p1", "p2"))
        for pool in (paused, other):
            await pool.observe()
        term = await paused.terms.allocate(paused.view.greatest_term())
        fenced = await paused.promoter.fence_majority(term)
        late = paused.promoter.choose_successor(fenced, TermChange("pause"))
        leadership = await other.promoter.carry_out(TermChange("overtakes"))
        await self.cluster.insert_acknowledged(leadership.name, 1)
        with self.assertRaises(NoTarget):
            await paused.promoter.promote(late, term)
        self.assertEqual(await self.cluster.keys(leadership.name), {1})


class UnfencedPromoter(Promoter):
    """Promotes without a fenced majority, to show that this loses a write."""

    async def fence_majority(self, term: int, already=(), avoid="") -> Mapping:
        status = await self.order("c", lambda ch: ch.fence(term))
        return {"c": status}


class SingleReadPromoter(Promoter):
    """Uses the answers to the fence without reading the status again."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self._first: dict[str, InstanceStatus] = {}

    async def order(self, name: str, order: Order) -> InstanceStatus | None:
        if name not in self._first:
            self._first[name] = await super().order(name, order)
        return self._first[name]


class LateChannel:
    """Delays a fence, as a paused process or a full link does."""

    def __init__(self, inner: ControlChannel) -> None:
        self._inner = inner
        self.released = asyncio.Event()

    async def fence(self, term: int, timeout_s: float) -> InstanceStatus:
        await self.released.wait()
        return await self._inner.fence(term, timeout_s)

    def __getattr__(self, name: str):
        return getattr(self._inner, name)


class RestartDuringFenceTest(GroupTest):
    """Guards against counting a fence that an instance lost in a restart.

    One instance accepts a fence, restarts empty, and is readmitted. A write is then
    acknowledged, and only afterwards does a second instance accept the fence. The two
    were never fenced at the same time, so they are no fenced majority.
    """

    TERM = 5

    async def fence_across_restart(self, kind: type[Promoter]) -> set[str]:
        slow = Pool(self.cluster, MemoryStore(), "p1")
        late = LateChannel(slow.view.instances["b"].channel)
        slow.view.instances["b"].channel = late
        self.cluster.cut("a", "p1")
        promoter = kind(slow.view, slow.terms, slow.timeline)
        fencing = asyncio.ensure_future(promoter.fence_majority(self.TERM))
        c = self.cluster.targets["c"].instance
        await eventually(lambda: c.fence_term == self.TERM, "the first fence")
        await self.restart_and_readmit("c")
        self.cluster.cut("b", "a")
        await self.cluster.insert_acknowledged("a", 1)
        late.released.set()
        return set(await fencing)

    async def restart_and_readmit(self, name: str) -> None:
        await self.cluster.kill(name)
        await self.cluster.launch(name, initial=False)
        pool = Pool(self.cluster, self.store, "p2")
        await pool.observe()
        leadership = await pool.promoter.carry_out(
            TermChange("renewal", old="a", prefer="a")
        )
        self.assertLess(leadership.term, self.TERM)
        await pool.promoter.order(name, lambda ch: ch.join(leadership.term))
        instance = self.cluster.targets[name].instance
        await eventually(lambda: instance.member, "membership")

    async def test_forgotten_fence_does_not_count(self) -> None:
        with self.assertRaises(NoTarget):
            await self.fence_across_restart(Promoter)

    async def test_without_the_second_reading_a_write_is_lost(self) -> None:
        fenced = await self.fence_across_restart(SingleReadPromoter)
        self.assertEqual(fenced, {"b", "c"})
        await self.cluster.run("b", f"CALL wasabipitch_promote({self.TERM})")
        self.assertEqual(self.cluster.targets["b"].instance.term, self.TERM)
        self.assertEqual(await self.cluster.keys("b"), set())


class FencedMajorityTest(GroupTest):
    async def lag_behind(self) -> None:
        """Acknowledge a write on a and b only, then cut the pool off from both."""
        self.cluster.cut("c", "a")
        await self.cluster.insert_acknowledged("a", 1)
        for name in ("a", "b"):
            self.cluster.cut(name, "p1")

    async def test_minority_is_not_promoted(self) -> None:
        pool = Pool(self.cluster, self.store, "p1")
        await self.lag_behind()
        with self.assertRaises(NoTarget):
            await pool.promoter.carry_out(TermChange("lost"))
        self.assertEqual(self.cluster.targets["c"].instance.role, "replica")

    async def test_without_a_fenced_majority_a_write_is_lost(self) -> None:
        pool = Pool(self.cluster, self.store, "p1")
        await self.lag_behind()
        promoter = UnfencedPromoter(pool.view, pool.terms, pool.timeline)
        with self.assertRaises(NoTarget):
            await promoter.carry_out(TermChange("lost"))
        self.assertEqual(self.cluster.targets["c"].instance.role, "primary")
        self.assertEqual(await self.cluster.keys("c"), set())


class SwitchoverTest(GroupTest):
    async def test_named_replica_becomes_primary_with_the_last_write(self) -> None:
        pool = await self.start_pool()
        await pool.wait_established()
        self.cluster.targets["c"].instance.lag_ms = 100
        await self.cluster.insert("a", 1)
        self.assertEqual(await switch_primary(pool.view, pool.failover, "c"), "c")
        self.assertEqual(pool.view.primary, "c")
        self.assertEqual(await self.cluster.keys("c"), {1})
        self.assertEqual(pool.view.activity, "")
        await self.cluster.wait_settled()

    async def test_leaving_primary_is_replaced(self) -> None:
        pool = await self.start_pool()
        await pool.wait_established()
        task = asyncio.ensure_future(watch_leaving(pool.view, pool.failover))
        self.stack.push_async_callback(_cancel, task)
        pool.view.instances["a"].leaving = True
        self.assertNotEqual(await pool.wait_established(above=1), "a")

    async def test_unknown_instance_is_refused(self) -> None:
        pool = await self.start_pool()
        await pool.wait_established()
        with self.assertRaisesRegex(NoTarget, "instance nobody"):
            await switch_primary(pool.view, pool.failover, "nobody")
