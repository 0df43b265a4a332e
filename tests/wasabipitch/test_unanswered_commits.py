import asyncio
import unittest
from unittest.mock import patch

from tests.wasabipitch.gateway_fixture import (
    GROUP,
    OWN_DB,
    PRIMARY_DB,
    Fleet,
    HostStore,
)
from wasabipitch.coordination.documents import (
    GROUPS_PREFIX,
    HEAD_KEY,
    RELINQUISHED_PREFIX,
    WRITERS_PREFIX,
    GroupRecord,
    Phase,
    encode,
)
from wasabipitch.policy.read_leases import READ_LEASE_S

SETTLED_S = READ_LEASE_S + 1.5


class UnansweredCommitsTest(unittest.IsolatedAsyncioTestCase):
    """A primary acknowledges commits whose answers no host has read.

    A replica that had received none of them was promoted while the primary and the
    replica that had confirmed them were dark, since no host had seen them acknowledged.
    """

    async def asyncSetUp(self):
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(3)
        self.instances = self.fleet.group.instances

    async def write(self, number, host="host-0"):
        caller, _ = await self.fleet.connect(OWN_DB, host)
        return (await caller.ask(f"WRITE job v{number}", f"w{number}"))[0]

    async def lose_answers(self):
        """Let a commit be acknowledged whose answer no host reads."""
        self.assertEqual(await self.write(1), "COMPLETE i-0.w1")
        self.instances["i-2"].replication_blocked = True
        self.instances["i-0"].silent = True
        for number, host in enumerate(self.fleet.hosts, 2):
            caller, _ = await self.fleet.connect(OWN_DB, host)
            caller.send(f"WRITE job v{number}", f"w{number}")
            await self.fleet.wait_for(
                lambda number=number: len(self.instances["i-1"].log) == number
            )
        self.instances["i-1"].silent = True

    def list_chosen(self):
        return [chosen for chosen, _, _ in self.fleet.group.promotions]

    async def wait_changing(self):
        await self.fleet.wait_for(
            lambda: all(self.fleet.state(h).is_changing for h in self.fleet.hosts)
        )

    async def test_a_replica_without_them_is_not_promoted(self):
        await self.lose_answers()
        await self.wait_changing()
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(self.list_chosen(), [])
        self.instances["i-1"].silent = False
        await self.fleet.wait_for(lambda: self.fleet.state().primary == "i-1")
        caller, _ = await self.fleet.connect(PRIMARY_DB)
        self.assertEqual((await caller.ask("READ job"))[0], "ROW v4")

    async def test_requests_are_refused_at_once_while_they_are_in_doubt(self):
        await self.lose_answers()
        for host in self.fleet.hosts:
            for _ in range(4):
                caller, _ = await self.fleet.connect(OWN_DB, host)
                caller.send("READ job")
        await self.wait_changing()
        await asyncio.sleep(1.0)
        for host in self.fleet.hosts:
            async with asyncio.timeout(0.5):
                self.assertTrue((await self.write(9, host)).startswith("ERROR BUSY"))

    async def test_a_connection_that_broke_leaves_its_commit_in_doubt(self):
        self.assertEqual(await self.write(1), "COMPLETE i-0.w1")
        self.instances["i-2"].replication_blocked = True
        self.instances["i-0"].lost_answers = 1
        self.assertTrue((await self.write(2)).startswith("ERROR UNKNOWN"))
        await self.instances["i-0"].stop()
        self.instances["i-1"].silent = True
        await self.wait_changing()
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(self.list_chosen(), [])

    async def test_a_later_commit_ends_the_doubt(self):
        self.instances["i-0"].lost_answers = 1
        self.assertTrue((await self.write(1)).startswith("ERROR UNKNOWN"))
        self.assertFalse(self.fleet.state().unanswered.is_empty)
        await asyncio.sleep(0.1)
        self.assertEqual(await self.write(2), "COMPLETE i-0.w2")
        # The lost answer's statement may still have been running then.
        self.assertFalse(self.fleet.state().unanswered.is_empty)
        with patch("wasabipitch.group.unanswered.STATEMENT_END_S", 0.05):
            self.assertEqual(await self.write(3), "COMPLETE i-0.w3")
        self.assertTrue(self.fleet.state().unanswered.is_empty)
        await self.instances["i-0"].stop()
        self.instances["i-1"].silent = True
        await self.fleet.wait_for(lambda: self.list_chosen() == ["i-2"])

    async def test_the_doubt_ends_without_a_later_commit(self):
        with patch("wasabipitch.group.unanswered.STATEMENT_END_S", 0.2):
            self.instances["i-0"].lost_answers = 1
            self.assertTrue((await self.write(1)).startswith("ERROR UNKNOWN"))
            unanswered = self.fleet.state().unanswered
            self.assertFalse(unanswered.is_empty)
            await self.fleet.wait_for(lambda: unanswered.is_empty)

    async def test_a_transaction_does_not_commit_after_its_host_was_marked_as_ended(
        self,
    ):
        caller, _ = await self.fleet.connect(PRIMARY_DB)
        await caller.ask("BEGIN")
        await caller.ask("WRITE job v1", "w1")
        self.fleet.hosts["host-0"].registration._retired.add(GROUP)
        lines = await caller.ask("COMMIT", "w2")
        self.assertTrue(lines[0].startswith("ERROR ABORTED"), lines)
        self.assertEqual(self.instances["i-0"].log, [])

    async def test_a_transaction_does_not_commit_at_a_primary_that_was_replaced_unseen(
        self,
    ):
        # The claim and the record of the successor arrive together.
        caller, _ = await self.fleet.connect(PRIMARY_DB)
        await caller.ask("BEGIN")
        await caller.ask("WRITE job v1", "w1")
        state = self.fleet.state()
        successor = GroupRecord(Phase.STEADY, "i-1", 1, state.record.term + 1, epoch=0)
        state.set_record(successor, state.record_revision + 5)
        lines = await caller.ask("COMMIT", "w2")
        self.assertTrue(lines[0].startswith("ERROR ABORTED"), lines)
        self.assertEqual(self.instances["i-0"].log, [])

    async def test_they_count_in_the_replacement_after_the_next_one(self):
        # The next primary holds them, and is lost before a host reads an answer of it.
        self.assertEqual(await self.write(1), "COMPLETE i-0.w1")
        await self.fleet.wait_for(lambda: len(self.instances["i-2"].log) == 1)
        self.instances["i-2"].replication_blocked = True
        self.instances["i-0"].lost_answers = 1
        self.assertTrue((await self.write(2)).startswith("ERROR UNKNOWN"))
        await self.instances["i-0"].stop()
        await self.fleet.wait_for(
            lambda: all(self.fleet.state(h).primary == "i-1" for h in self.fleet.hosts)
        )
        await self.instances["i-1"].stop()
        await self.wait_changing()
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(self.list_chosen(), ["i-1"])

    async def test_a_transaction_does_not_commit_after_its_host_has_reported(self):
        caller, _ = await self.fleet.connect(PRIMARY_DB)
        await caller.ask("BEGIN")
        await caller.ask("WRITE job v1", "w1")
        state = self.fleet.state()
        record = GroupRecord(
            Phase.CHANGING, "i-0", 1, state.record.term, "host-9.1", epoch=0
        )
        self.fleet.store.put(GROUPS_PREFIX + GROUP, encode(record))
        key = RELINQUISHED_PREFIX + GROUP
        await self.fleet.wait_for(
            lambda: any(k.startswith(key) for k in self.fleet.store.items)
        )
        await self.fleet.wait_for(lambda: state.abandoned_revision > 0)
        lines = await caller.ask("COMMIT", "w2")
        self.assertTrue(lines[0].startswith("ERROR ABORTED"), lines)
        self.assertEqual(self.instances["i-0"].log, [])


class SlowStore(HostStore):
    """A host's access to the store, through which reads of changes wait.

    Args:
        store: The store that all hosts share.
        on_lease: Called when the host opens its lease.
        released: Set once the reads may go on.
    """

    def __init__(self, store, on_lease, released):
        super().__init__(store)
        self._on_lease = on_lease
        self._released = released

    def __getattr__(self, name):
        method = super().__getattr__(name)

        async def call(*args, **kwargs):
            if name in ("watch", "read_revision"):
                await self._released.wait()
            if name == "open_lease":
                self._on_lease()
            return await method(*args, **kwargs)

        return call


class LateHostTest(unittest.IsolatedAsyncioTestCase):
    """A host registers while a primary is replaced, and has not read the claim.

    The holder of the claim need not wait for it, and commits that it sent could be
    confirmed by an instance that was not fenced.
    """

    async def test_it_sends_no_write_before_it_has_read_the_claim(self):
        fleet = Fleet()
        self.addAsyncCleanup(fleet.close)
        await fleet.start(1)
        claim = GroupRecord(
            Phase.CHANGING, "i-0", 1, fleet.state().record.term, "host-9.1", epoch=0
        )
        released = asyncio.Event()

        def write_claim():
            fleet.store.put(GROUPS_PREFIX + GROUP, encode(claim))
            fleet.store.put(HEAD_KEY, encode(GROUP))

        def make_store(store):
            return SlowStore(store, write_claim, released)

        with patch("tests.wasabipitch.gateway_fixture.HostStore", make_store):
            await fleet.add_host("host-1")
        await fleet.wait_for(lambda: fleet.state().is_changing)
        await fleet.wait_for(
            lambda: any(
                key.startswith(WRITERS_PREFIX) and "/host-1." in key
                for key in fleet.store.items
            )
        )
        caller, _ = await fleet.connect(OWN_DB, "host-1")
        caller.send("WRITE job v1", "w1")
        await asyncio.sleep(0.5)
        self.assertEqual(fleet.group.instances["i-0"].ran, [])
        released.set()
