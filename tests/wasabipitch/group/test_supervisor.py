import asyncio
import unittest
from types import SimpleNamespace
from unittest.mock import AsyncMock, patch

from standins.memory_store import MemoryStore
from wasabipitch.coordination.documents import (
    GROUPS_PREFIX,
    RELINQUISHED_PREFIX,
    SUSPICIONS_PREFIX,
    GroupRecord,
    GroupSettings,
    Phase,
    RelinquishedRecord,
    SuspicionRecord,
    decode,
    encode,
)
from wasabipitch.coordination.members import Membership
from wasabipitch.exceptions import RecordConflict, StoreUnavailable
from wasabipitch.group.state import GroupState
from wasabipitch.group.supervisor import GroupSupervisor
from wasabipitch.models import Position
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.policy.quorum import READ_LEASE_MARGIN_S
from wasabipitch.policy.read_leases import READ_LEASE_S
from wasabipitch.policy.succession import RANK_DELAY_S
from wasabipitch.wire.messages import InstanceReport, Reply

GROUP = "ledger"
KEY = GROUPS_PREFIX + GROUP
WRITERS = SimpleNamespace(is_listed=lambda group, incarnation: False)
MEMBERS = SimpleNamespace(find=lambda group: Membership())
LEADER = SimpleNamespace(name="i-0", born_ms=1, is_primary=True)


class RecordRaceTest(unittest.IsolatedAsyncioTestCase):
    """Another host writes the group record while this host prepares to write it.

    Two hosts that both acted around a hand-over named two primaries.
    """

    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.state = GroupState(
            GroupSettings(GROUP, 16, 1), lambda: 0.0, DecisionLog("host")
        )
        self.state.entries = {"i-0": LEADER}
        incarnation = SimpleNamespace(incarnation="host.1")
        mirror = SimpleNamespace(
            reachable_since_s=-100.0,
            epoch=0,
            apply_writes=lambda writes, revision: None,
        )
        recovery = SimpleNamespace(
            is_needed=False, fetch_newest=AsyncMock(return_value=None)
        )
        live_hosts = SimpleNamespace(
            list_serving_hosts=lambda group: {"host.1"}, hosts={}
        )
        self.supervisor = GroupSupervisor(
            self.state,
            None,
            None,
            self.store,
            None,
            mirror,
            SimpleNamespace(record=incarnation),
            live_hosts,
            recovery,
            WRITERS,
            MEMBERS,
            DecisionLog("host"),
        )

    def write_as_another_host(self, record):
        """Write the record to the store and deliver it to this host."""
        self.store.put(KEY, encode(record))
        self.state.set_record(record, self.store.items[KEY].revision)

    async def test_a_record_that_appears_meanwhile_is_not_created_again(self):
        successor = GroupRecord(Phase.STEADY, "i-1", 1, 2, "")

        async def report(entry):
            self.write_as_another_host(successor)
            return InstanceReport(True, 1, Position(1, 5), 0, 0.0, 0, 1)

        with patch.object(self.supervisor, "_fetch_leader_report", report):
            await self.supervisor._create_record()
        self.assertEqual(self.store.items[KEY].value, encode(successor))

    async def test_a_replacement_that_was_taken_over_establishes_nobody(self):
        own = GroupRecord(Phase.CHANGING, "i-0", 1, 1, "host.1")
        taken_over = GroupRecord(Phase.CHANGING, "i-0", 1, 1, "other.1")
        self.write_as_another_host(own)

        async def replace(record):
            self.write_as_another_host(taken_over)
            return GroupRecord(Phase.STEADY, "i-1", 1, 2, "")

        replacement = SimpleNamespace(run=replace)
        with (
            patch("wasabipitch.group.supervisor.Replacement", return_value=replacement),
            patch("wasabipitch.group.supervisor.FollowerRepair") as repair,
        ):
            repair.return_value.run = AsyncMock()
            await self.supervisor._replace_primary(own)
        self.assertEqual(self.store.items[KEY].value, encode(taken_over))
        repair.return_value.run.assert_not_called()

    async def test_a_record_without_an_answer_is_not_in_force_beside_the_next(self):
        # The store executed the write seconds later, while another instance was being
        # promoted. Callers then committed at the first one.
        own = GroupRecord(Phase.CHANGING, "i-0", 1, 1, "host.1")
        self.write_as_another_host(own)
        self.supervisor._live_hosts.hosts = {"host.1": None}
        successor = GroupRecord(Phase.STEADY, "i-1", 1, 2, "host.1")
        replacement = SimpleNamespace(run=AsyncMock(return_value=successor))
        with (
            patch("wasabipitch.group.supervisor.Replacement", return_value=replacement),
            patch.object(
                self.store, "commit", AsyncMock(side_effect=StoreUnavailable("late"))
            ) as commit,
            self.assertRaises(StoreUnavailable),
        ):
            await self.supervisor._replace_primary(own)
        with patch(
            "wasabipitch.group.supervisor.Replacement", return_value=replacement
        ):
            await self.supervisor._replace_primary(own)
        replacement.run.assert_awaited_once()
        with self.assertRaises(RecordConflict):
            await self.store.commit(*commit.await_args.args)
        self.assertEqual(
            decode(self.store.items[KEY].value, GroupRecord).phase, own.phase
        )


class TurnsTest(unittest.IsolatedAsyncioTestCase):
    """A primary has to be replaced again at once, since its successor leaves.

    All hosts claimed the second replacement at the same moment, so that hosts
    promoted by turns.
    """

    async def asyncSetUp(self):
        self.state = GroupState(
            GroupSettings(GROUP, 16, 1), lambda: 0.0, DecisionLog("host")
        )
        live_hosts = SimpleNamespace(
            list_serving_hosts=lambda group: {"host.1", "other.1"},
            find_suspicions=lambda group, revision: [],
            hosts={},
        )
        registration = SimpleNamespace(
            record=SimpleNamespace(incarnation="host.1"), is_new=False
        )
        self.supervisor = GroupSupervisor(
            self.state,
            None,
            None,
            None,
            None,
            SimpleNamespace(
                received_revision=100, was_restored=True, epoch_since_s=0.0
            ),
            registration,
            live_hosts,
            None,
            WRITERS,
            MEMBERS,
            DecisionLog("host"),
        )
        self.claims = self.enterContext(patch.object(self.supervisor, "_claim"))
        self.at_s = 100.0
        for module in ("supervisor", "state"):
            self.enterContext(
                patch(f"wasabipitch.group.{module}.now_s", lambda: self.at_s)
            )

    async def watch(self, primary, revision):
        """Adopt a record whose primary is not registered, and watch it."""
        record = GroupRecord(Phase.STEADY, primary, 1, 1, epoch=0)
        if revision != self.state.record_revision:
            self.state.set_record(record, revision)
        await self.supervisor._watch_primary(record)

    async def test_the_ranks_of_the_hosts_count_for_each_record(self):
        with patch.object(self.supervisor, "_find_rank", lambda: 1):
            await self.watch("i-0", 1)
            self.at_s += 2 * RANK_DELAY_S
            await self.watch("i-1", 2)
            self.claims.assert_not_called()
            self.at_s += RANK_DELAY_S
            await self.watch("i-1", 2)
            self.claims.assert_called_once()

    async def test_a_primary_is_not_missed_before_its_registration_was_read(self):
        # The records may be read before the changes that the watch still has to
        # return, the registration of an instance among them.
        with patch.object(self.supervisor, "_find_rank", lambda: 0):
            self.supervisor._mirror.received_revision = 6
            await self.watch("i-0", 7)
            self.claims.assert_not_called()
            self.supervisor._mirror.received_revision = 7
            await self.watch("i-0", 7)
            self.claims.assert_called_once()

    async def test_the_host_that_replaced_the_last_primary_comes_first(self):
        hosts = dict.fromkeys(("host.1", "other.1", "third.1"))
        live_hosts = self.supervisor._live_hosts
        live_hosts.list_serving_hosts = lambda group: set(hosts)
        live_hosts.hosts = hosts
        ranks = {}
        for revision, last in enumerate(["host.1", "other.1", "third.1"], start=1):
            record = GroupRecord(Phase.STEADY, "i-0", 1, 1, last)
            self.state.set_record(record, revision)
            for name in hosts:
                self.supervisor._host = name
                ranks[last, name] = self.supervisor._find_rank()
            self.assertEqual(ranks[last, last], 0)
            self.assertEqual({ranks[last, name] for name in hosts}, {0, 1, 2})
        hosts.pop("third.1")
        self.supervisor._host = "host.1"
        self.assertLess(self.supervisor._find_rank(), 2)


class NewHostTest(unittest.TestCase):
    """A host starts after the store returned from a copy.

    The copy may lack hosts that had read leases, and only hosts that ran before know
    them.
    """

    def setUp(self):
        self.at_s = 100.0
        self.enterContext(
            patch("wasabipitch.group.supervisor.now_s", lambda: self.at_s)
        )
        self.mirror = SimpleNamespace(epoch_since_s=100.0, was_restored=False)
        self.supervisor = GroupSupervisor(
            GroupState(GroupSettings(GROUP, 16, 1), lambda: 0.0, DecisionLog("host")),
            None,
            None,
            None,
            None,
            self.mirror,
            SimpleNamespace(record=SimpleNamespace(incarnation="host.1"), is_new=True),
            SimpleNamespace(all_registered=lambda: True),
            None,
            WRITERS,
            MEMBERS,
            DecisionLog("host"),
        )

    def test_it_replaces_no_primary_until_the_leases_from_before_have_ended(self):
        self.assertFalse(self.supervisor._may_replace())
        self.at_s += READ_LEASE_S + 2 * READ_LEASE_MARGIN_S
        self.assertTrue(self.supervisor._may_replace())

    def test_a_host_that_ran_before_need_not_wait(self):
        self.mirror.was_restored = True
        self.assertTrue(self.supervisor._may_replace())


class LostReportsTest(unittest.IsolatedAsyncioTestCase):
    """A host's lease ends while a primary is suspected or replaced.

    The reports that ended with the lease were not written again, so a replacement
    waited for the read leases of hosts that had long relinquished the primary.
    """

    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.state = GroupState(
            GroupSettings(GROUP, 16, 1), lambda: 0.0, DecisionLog("host")
        )
        self.registration = SimpleNamespace(
            record=SimpleNamespace(incarnation="host.1"),
            lease=await self.store.open_lease(6.0),
            may_serve=lambda group: True,
        )
        self.supervisor = GroupSupervisor(
            self.state,
            None,
            None,
            self.store,
            None,
            None,
            self.registration,
            SimpleNamespace(count_names=lambda: 3),
            None,
            WRITERS,
            MEMBERS,
            DecisionLog("host"),
        )

    async def replace_lease(self):
        await self.store.end_lease(self.registration.lease)
        self.registration.lease = await self.store.open_lease(6.0)

    async def test_a_relinquished_primary_is_reported_under_the_next_lease(self):
        claim = GroupRecord(Phase.CHANGING, "i-0", 1, 1, "other.1")
        self.state.set_record(claim, 5)
        for _ in range(2):
            await self.supervisor._report_relinquished()
            self.assertIn(f"{RELINQUISHED_PREFIX}{GROUP}/host.1", self.store.items)
            await self.replace_lease()

    async def test_a_suspicion_is_reported_under_the_next_lease(self):
        suspicion = SuspicionRecord(5, True, "refused")
        with patch.object(self.supervisor, "_find_suspicion", lambda: suspicion):
            for _ in range(2):
                await self.supervisor._report_suspicion()
                self.assertIn(f"{SUSPICIONS_PREFIX}{GROUP}/host.1", self.store.items)
                await self.replace_lease()

    async def test_a_report_is_written_once_for_each_lease(self):
        self.state.set_record(GroupRecord(Phase.CHANGING, "i-0", 1, 1, "other.1"), 5)
        await self.supervisor._report_relinquished()
        revision = self.store.revision
        await self.supervisor._report_relinquished()
        self.assertEqual(self.store.revision, revision)

    async def test_a_repair_has_ended_when_the_primary_is_relinquished(self):
        # It ends the fences of replicas, which the next replacement sets after the
        # reports. A replica then confirmed commits that the successor lacked.
        repair = asyncio.ensure_future(asyncio.sleep(60))
        self.supervisor._repair = repair
        self.state.set_record(GroupRecord(Phase.CHANGING, "i-0", 1, 1, "other.1"), 5)
        with patch.object(self.supervisor, "_write") as write:
            write.side_effect = lambda *args: self.assertTrue(repair.cancelled())
            await self.supervisor._report_relinquished()
        write.assert_called_once()

    async def test_a_late_answer_is_reported(self):
        # A commit was under way when the primary was relinquished.
        answer = asyncio.get_running_loop().create_future()
        self.state.unanswered.watch(answer)
        self.state.set_record(GroupRecord(Phase.CHANGING, "i-0", 1, 1, "other.1"), 5)
        await self.supervisor._report_relinquished()
        self.assertFalse(self.read_report().is_answered)
        answer.set_result(Reply(position=Position(1, 7)))
        await asyncio.sleep(0)
        await self.supervisor._report_relinquished()
        self.assertTrue(self.read_report().is_answered)
        self.assertEqual(self.read_report().limit, Position(1, 7))

    def read_report(self):
        item = self.store.items[f"{RELINQUISHED_PREFIX}{GROUP}/host.1"]
        return decode(item.value, RelinquishedRecord)
