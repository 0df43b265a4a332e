import asyncio
import errno
import random
import unittest
from unittest import mock

from tests.wasabipitch.memory_store import MemoryStore
from tests.wasabipitch.processes import Process, wait_until
from wasabipitch import contracts
from wasabipitch.contracts import Envelope
from wasabipitch.members import (
    DEAD,
    LEAVING,
    LIVE,
    MAX_DIGEST_BYTES,
    SUSPECT,
    MemberTable,
    ProbeOrder,
)
from wasabipitch.messages import HostFact
from wasabipitch.models import Host
from wasabipitch.owners import OwnerOrder, find_local_pool
from wasabipitch.store import HostList


def make_host(name, role="pool", data_centre="thonburi"):
    return Host(name, role, "127.0.0.1:65000", data_centre)


class MemberTableTests(unittest.TestCase):
    def setUp(self):
        self.rng = random.Random(3)
        self.host = make_host("pool-0")
        self.table = MemberTable(self.host, "0005", self.rng)

    def fact(self, name, state=LIVE, incarnation="0001", heartbeat=0):
        return HostFact(make_host(name), incarnation, heartbeat, state)

    def test_worse_state_wins_until_a_greater_heartbeat_refutes_it(self):
        self.table.merge(self.fact("pool-1"), 0)
        self.table.merge(self.fact("pool-1", DEAD), 0)
        self.assertIsNone(self.table.merge(self.fact("pool-1", SUSPECT), 0))
        self.assertEqual(DEAD, self.table.others["pool-1"].state)
        self.table.merge(self.fact("pool-1", LIVE, heartbeat=1), 0)
        self.assertEqual(LIVE, self.table.others["pool-1"].state)

    def test_restart_under_a_new_incarnation_is_live(self):
        self.table.merge(self.fact("pool-1", DEAD, heartbeat=9), 0)
        self.table.merge(self.fact("pool-1", LIVE, incarnation="0002"), 0)
        self.assertEqual(LIVE, self.table.others["pool-1"].state)

    def test_own_death_is_refuted(self):
        self.table.merge(HostFact(self.host, "0005", 4, DEAD), 0)
        self.assertEqual((LIVE, 5), (self.table.own.state, self.table.own.heartbeat))

    def test_fact_of_an_earlier_incarnation_changes_nothing(self):
        self.table.merge(HostFact(self.host, "0004", 4, DEAD), 0)
        self.assertEqual(0, self.table.own.heartbeat)

    def test_clock_that_went_back_between_starts(self):
        self.table.merge(HostFact(self.host, "0009", 0, LIVE), 0)
        self.assertGreater(self.table.own.incarnation, "0009")

    def test_replaced_process_does_not_reclaim_its_name(self):
        other = Host("pool-0", "pool", "127.0.0.1:65001", "bangna")
        self.table.merge(HostFact(other, "0009", 0, LIVE), 0)
        self.assertEqual("0005", self.table.own.incarnation)

    def test_host_that_work_failed_on_is_probed_next(self):
        for i in range(200):
            self.table.merge(self.fact(f"pool-{i + 1}"), 0)
        order = ProbeOrder(self.table, self.rng)
        for _ in range(3):
            order.prioritize("pool-77")
        self.assertEqual(["pool-77"], order.choose_next())
        self.assertNotEqual(["pool-77"], order.choose_next())

    def test_digest_stays_within_its_bytes_at_780_nodes(self):
        for i in range(2 * 780):
            name = f"wheelcraft-entry-bangkok-{i:04}"
            host = Host(name, "entry", f"10.20.{i // 250}.{i % 250}:40000", "chatuchak")
            self.table.merge(HostFact(host, "0" * 16, 1000 + i, LEAVING), 0)
        for peer in ("", "wheelcraft-entry-bangkok-0007"):
            digest = self.table.build_digest(2**40, peer)
            frame = contracts.pack(Envelope(2**31, 2**62, digest))
            self.assertLessEqual(len(frame), MAX_DIGEST_BYTES)
            self.assertGreaterEqual(len(digest.facts), 3)

    def test_recent_change_is_sent_first(self):
        for i in range(50):
            self.table.merge(self.fact(f"pool-{i + 1}"), 0)
        for _ in range(60):
            self.table.build_digest(1)
        self.table.set_state("pool-7", SUSPECT, 0)
        states = [f.state for f in self.table.build_digest(1).facts]
        self.assertIn(SUSPECT, states)


class OwnersTests(unittest.TestCase):
    def setUp(self):
        self.names = {f"pool-{i}" for i in range(9)}
        self.order = OwnerOrder()
        self.order.set_pools(self.names)
        self.groups = [f"workshop-{i}" for i in range(200)]

    def test_order_is_stable_when_one_host_leaves_and_returns(self):
        before = {g: list(self.order.order(g)) for g in self.groups}
        self.order.set_pools(self.names - {"pool-4"})
        for group, order in before.items():
            expected = [name for name in order if name != "pool-4"]
            self.assertEqual(expected, self.order.order(group))
        self.order.set_pools(self.names)
        self.assertEqual(before, {g: self.order.order(g) for g in self.groups})

    def test_groups_are_spread(self):
        first = [self.order.order(f"ledger-{i}")[0] for i in range(900)]
        self.assertTrue(all(60 <= first.count(name) <= 140 for name in self.names))

    def test_local_pool(self):
        pools = [
            make_host(f"pool-{i}", data_centre=dc)
            for i, dc in ((1, "thonburi"), (2, "bangna"), (3, "bangna"))
        ]
        entry = make_host("entry-3", "entry", "bangna")
        self.assertEqual("pool-3", find_local_pool(pools, entry).name)
        self.assertEqual("pool-2", find_local_pool(pools, pools[1]).name)
        self.assertIsNone(
            find_local_pool(pools, make_host("entry-9", "entry", "bangna"))
        )


class MembershipTests(unittest.IsolatedAsyncioTestCase):
    async def start_fleet(self, count):
        self.store = MemoryStore()
        names = [f"pool-{i}" for i in range(count)]
        fleet = [Process(n, self.store, seed=i) for i, n in enumerate(names)]
        for process in fleet:
            await process.start()
            self.addAsyncCleanup(process.kill)
        self.store.listed = HostList(tuple(p.host for p in fleet), 1)
        for process in fleet:
            process.run()
        await wait_until(lambda: all(len(names_of(p)) == count for p in fleet))
        await wait_until(lambda: all(knows_facts_of_all(p) for p in fleet))
        return fleet

    async def test_death_and_restart_while_the_list_is_stale_and_the_store_down(self):
        fleet = await self.start_fleet(5)
        self.store.set_down(True)
        lost, others = fleet[2], fleet[:2] + fleet[3:]
        group = next(g for g in map(str, range(99)) if owner(others[0], g) == "pool-2")
        port = int(lost.host.address.rpartition(":")[2])
        await lost.kill()
        await wait_until(lambda: all(state(p, "pool-2") == DEAD for p in others))
        self.assertTrue(all(owner(p, group) == owner(fleet[0], group) for p in others))
        self.assertNotEqual("pool-2", owner(fleet[0], group))
        restarted = await Process("pool-2", self.store, seed=7).start(port)
        self.addAsyncCleanup(restarted.kill)
        restarted.run()
        await wait_until(lambda: all(state(p, "pool-2") == LIVE for p in others))
        self.assertEqual("pool-2", owner(fleet[0], group))

    async def test_false_suspicion_is_refuted(self):
        fleet = await self.start_fleet(3)
        table = fleet[0].membership.table
        table.set_state("pool-1", DEAD, 0)
        await wait_until(lambda: state(fleet[0], "pool-1") == LIVE)
        await wait_until(lambda: fleet[1].membership.table.own.heartbeat == 1)

    async def test_peers_cut_off_from_each_other_stay_live_by_an_indirect_probe(self):
        fleet = await self.start_fleet(3)
        fleet[0].cuts.peers = frozenset({"pool-1"})
        seen = set()
        for process, other in ((fleet[0], "pool-1"), (fleet[1], "pool-0")):
            process.membership.subscribe(
                lambda process=process, other=other: seen.add(state(process, other))
            )
        for _ in range(2):
            await asyncio.gather(
                fleet[0].membership._probe(fleet[1].host),
                fleet[1].membership._probe(fleet[0].host),
            )
        self.assertFalse(seen & {SUSPECT, DEAD})
        self.assertIn(fleet[1].host, fleet[0].membership.live("pool"))

    async def test_lack_of_file_descriptors_is_not_taken_for_a_dead_peer(self):
        fleet = await self.start_fleet(3)
        await fleet[0].membership.links.close()
        full = OSError(errno.EMFILE, "too many open files")
        with mock.patch("asyncio.open_connection", side_effect=full):
            await fleet[0].membership._probe(fleet[1].host)
        self.assertEqual(LIVE, state(fleet[0], "pool-1"))

    async def test_paused_owner_loses_its_groups_until_it_resumes(self):
        fleet = await self.start_fleet(4)
        frozen, others = fleet[1], [fleet[0], *fleet[2:]]
        group = next(g for g in map(str, range(99)) if owner(fleet[0], g) == "pool-1")
        frozen.responsive.clear()
        await wait_until(lambda: all(owner(p, group) != "pool-1" for p in others))
        frozen.responsive.set()
        await wait_until(lambda: all(owner(p, group) == "pool-1" for p in fleet))

    async def test_suspect_owner_comes_last(self):
        fleet = await self.start_fleet(3)
        membership = fleet[0].membership
        first = next(h for h in membership.owners("workshop") if h.name != "pool-0")
        membership._mark_suspect(first.name)
        self.assertEqual(first, membership.owners("workshop")[-1])
        self.assertEqual(first, membership.owners("workshop", local=True)[-1])
        self.assertEqual(0, membership.rank("workshop", local=True))

    async def test_leaving_host_gets_no_groups(self):
        fleet = await self.start_fleet(4)
        await fleet[3].membership.leave()
        await wait_until(lambda: all("pool-3" not in names_of(p) for p in fleet))
        self.assertEqual(LEAVING, state(fleet[0], "pool-3"))

    async def test_target_that_is_listed_as_leaving(self):
        fleet = await self.start_fleet(2)
        live = make_host("wc-1", "target")
        leaving = Host("wc-2", "target", "127.0.0.1:65001", "bangna", LEAVING)
        listed = (*self.store.listed.hosts, live, leaving)
        self.store.listed = HostList(listed, 2)
        fleet[0].membership.apply_host_list(self.store.listed)
        self.assertEqual((live,), fleet[0].membership.live("target"))
        self.assertEqual((leaving,), fleet[0].membership.leaving("target"))


def names_of(process):
    return [host.name for host in process.membership.live("pool")]


def knows_facts_of_all(process):
    members = process.membership.table.others.values()
    return all(member.fact.incarnation for member in members)


def state(process, name):
    return process.membership.state(name)


def owner(process, group):
    return process.membership.owners(group)[0].name
