import unittest
from types import SimpleNamespace
from unittest.mock import AsyncMock, patch

from standins.memory_store import MemoryStore
from wasabipitch.coordination.documents import (
    GROUPS_PREFIX,
    GroupRecord,
    GroupSettings,
    Phase,
    encode,
)
from wasabipitch.group.state import GroupState
from wasabipitch.group.supervisor import GroupSupervisor
from wasabipitch.models import Position
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.wire.messages import InstanceReport

GROUP = "ledger"
KEY = GROUPS_PREFIX + GROUP
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
            reachable_since_s=-100.0, apply_writes=lambda writes, revision: None
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
