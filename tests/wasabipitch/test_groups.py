import asyncio
import unittest

from tests.wasabipitch.group_fixture import ServedGroup
from wasabipitch.contracts import unpack_rows
from wasabipitch.deployment import Policy, RequestClass
from wasabipitch.exceptions import ER_QUERY_INTERRUPTED
from wasabipitch.links import RemoteError
from wasabipitch.messages import Kind
from wasabipitch.models import Position
from wasabipitch.verdict import Verdict

CREATE = "CREATE TABLE jobs (id INTEGER PRIMARY KEY AUTO_INCREMENT, bike VARCHAR(40))"
SELECT = "SELECT bike FROM jobs ORDER BY id"


def insert(bike):
    return f"INSERT INTO jobs (bike) VALUES ('{bike}')"


class GroupTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, **fields):
        group = ServedGroup(**fields)
        await group.__aenter__()
        self.addAsyncCleanup(group.__aexit__, None, None, None)
        await group.send(CREATE)
        return group

    async def read(self, group, **fields):
        result = await group.send(SELECT, Kind.READ, **fields)
        return [row[0].decode() for row in unpack_rows(result.rows)]

    async def test_write_is_answered_and_read_back(self):
        group = await self.start()
        result = await group.send(insert("red"))
        self.assertEqual((result.affected_rows, result.last_insert_id), (1, 1))
        self.assertGreater(result.position, Position(1, 0))
        read = await self.read(group, floor=result.position)
        self.assertEqual(read, ["red"])
        self.assertEqual(await self.read(group), ["red"])

    async def test_stale_reads_go_to_replicas_at_or_above_the_floor(self):
        group = await self.start(lag_ms=150)
        result = await group.send(insert("red"))
        for _ in range(8):
            read = await self.read(group, cls="lookup", floor=result.position)
            self.assertEqual(read, ["red"])
        await asyncio.sleep(0.6)
        replies = [
            await group.send(SELECT, Kind.READ, "lookup", floor=result.position)
            for _ in range(8)
        ]
        self.assertEqual({r.target for r in replies} & {"w1"}, set())

    async def test_repeated_request_id_gets_the_first_outcome(self):
        group = await self.start()
        first = await group.send(insert("red"), request_id="p-1")
        again = await group.send(insert("red"), request_id="p-1")
        self.assertTrue(again.repeated and not first.repeated)
        self.assertFalse(first.in_transaction or again.in_transaction)
        self.assertEqual(again.last_insert_id, first.last_insert_id)
        self.assertEqual(await self.read(group), ["red"])
        # Without a request id the same statement runs again.
        await group.send(insert("red"))
        self.assertEqual(await self.read(group), ["red", "red"])

    async def test_purge_removes_only_expired_request_ids(self):
        group = await self.start()
        await group.send(insert("red"), request_id="old")
        await group.send("UPDATE wasabipitch_requests SET created_s = 1000")
        await group.send(insert("blue"), request_id="young")
        await group.server._writes.purge(RequestClass(name="purge"), 3600)
        repeat = await group.send(insert("blue"), request_id="young")
        self.assertTrue(repeat.repeated)
        self.assertFalse((await group.send(insert("red"), request_id="old")).repeated)

    async def test_failed_request_leaves_its_id_free(self):
        group = await self.start()
        with self.assertRaises(RemoteError) as caught:
            await group.send("INSERT INTO nowhere VALUES (1)", request_id="p-1")
        self.assertEqual(caught.exception.code, 1146)
        self.assertEqual(caught.exception.verdict, Verdict.NOT_RUN)
        await group.send(insert("red"), request_id="p-1")
        self.assertEqual(await self.read(group), ["red"])

    async def test_not_run_for_a_request_in_doubt_writes_a_tombstone(self):
        group = await self.start()
        failing_insert = "INSERT INTO nowhere VALUES (1)"
        with self.assertRaises(RemoteError) as caught:
            await group.send(failing_insert, request_id="p-1", in_doubt=True)
        self.assertEqual(caught.exception.verdict, Verdict.NOT_RUN)
        self.assertEqual(caught.exception.code, ER_QUERY_INTERRUPTED)
        # The original arrives late and is refused, since its id has a tombstone.
        with self.assertRaises(RemoteError) as caught:
            await group.send(insert("late"), request_id="p-1")
        self.assertEqual(caught.exception.verdict, Verdict.NOT_RUN)
        self.assertEqual(await self.read(group), [])

    async def test_transactions_stay_on_their_connection(self):
        group = await self.start()
        await group.send("BEGIN", Kind.BEGIN, session="a")
        await group.send(insert("red"), session="a", in_transaction=True)
        self.assertEqual(await self.read(group, session="b"), [])
        inside = {"session": "a", "in_transaction": True}
        self.assertEqual(await self.read(group, **inside), ["red"])
        await group.send("ROLLBACK", Kind.ROLLBACK, **inside)
        self.assertEqual(await self.read(group), [])
        with self.assertRaises(RemoteError) as caught:
            await group.send(insert("blue"), **inside)
        self.assertEqual(caught.exception.verdict, Verdict.NOT_RUN)
        self.assertEqual(await self.read(group), [])

    async def test_transactions_of_a_lost_peer_are_rolled_back(self):
        group = await self.start()
        await group.send("BEGIN", Kind.BEGIN)
        await group.send(insert("red"), in_transaction=True)
        group.server.abort_peer_transactions(group.connection)
        with self.assertRaises(RemoteError):
            await group.send("COMMIT", Kind.COMMIT, in_transaction=True)
        await group.send(insert("blue"), session="b")
        self.assertEqual(await self.read(group), ["blue"])

    async def test_commit_in_doubt_is_resolved_by_its_request_id(self):
        group = await self.start()
        in_doubt_fields = {"in_doubt": True, "session": "other", "request_id": "t-1"}
        await group.send("BEGIN", Kind.BEGIN, request_id="t-1")
        await group.send(insert("red"), in_transaction=True)
        await group.send("COMMIT", Kind.COMMIT, in_transaction=True)
        result = await group.send("COMMIT", Kind.COMMIT, **in_doubt_fields)
        self.assertTrue(result.repeated)
        in_doubt_fields["request_id"] = "t-2"
        with self.assertRaises(RemoteError) as caught:
            await group.send("COMMIT", Kind.COMMIT, **in_doubt_fields)
        self.assertEqual(caught.exception.verdict, Verdict.NOT_RUN)
        # The tombstone keeps the transaction from starting later.
        with self.assertRaises(RemoteError):
            await group.send("BEGIN", Kind.BEGIN, session="late", request_id="t-2")

    async def test_primary_read_does_not_return_an_unreplicated_write(self):
        """A read waits until a majority holds what it shows.

        Otherwise a failover could undo data that a session has already read.
        """
        group = await self.start()
        floor = (await group.send(insert("red"))).position
        for name in ("w2", "w3"):
            await group.on_target(name, "CALL standin_set('lag_ms', 60000)")
        write = asyncio.create_task(group.send(insert("blue"), deadline_ms=1000))
        await asyncio.sleep(0.2)
        with self.assertRaises(RemoteError) as caught:
            await self.read(group, session="other", floor=floor, deadline_ms=300)
        self.assertEqual(caught.exception.verdict, Verdict.NOT_RUN)
        await asyncio.wait([write])
        self.assertIsNotNone(write.exception())

    async def test_write_is_not_acknowledged_without_a_majority(self):
        group = await self.start()
        for name in ("w2", "w3"):
            await group.on_target(name, "CALL standin_set('lag_ms', 60000)")
        with self.assertRaises(RemoteError) as caught:
            await group.send(insert("red"), deadline_ms=400)
        self.assertEqual(caught.exception.verdict, Verdict.MAY_HAVE_RUN)

    async def test_acknowledged_writes_survive_the_loss_of_the_primary(self):
        group = await self.start()
        for n in range(5):
            await group.send(insert(f"bike {n}"))
        await group.targets["w1"].__aexit__(None, None, None)
        # Writes wait in the queue for the next primary.
        result = await group.send(insert("after"), deadline_ms=10_000)
        self.assertNotEqual(group.server.view.primary, "w1")
        bikes = await self.read(group, floor=result.position)
        self.assertEqual(bikes, [*(f"bike {n}" for n in range(5)), "after"])

    async def test_failover_answers_requests_that_wait_for_the_lost_primary(self):
        """A request to a primary that went silent must not wait until its deadline."""
        group = await self.start()
        await group.on_target("w1", "CALL standin_set('work_ms', 60000)")
        write = asyncio.create_task(group.send(insert("red"), deadline_ms=60_000))
        await asyncio.sleep(0.1)
        await group.on_target("w1", "CALL standin_cut('pool-1')")
        with self.assertRaises(RemoteError) as caught:
            async with asyncio.timeout(20):
                await write
        self.assertEqual(caught.exception.verdict, Verdict.MAY_HAVE_RUN)

    async def test_stale_reads_continue_without_a_primary(self):
        group = await self.start(policy=Policy(failover=False))
        floor = (await group.send(insert("red"))).position
        await asyncio.sleep(0.5)
        await group.on_target("w1", "CALL standin_cut('pool-1')")
        async with asyncio.timeout(10):
            while group.server.view.primary:
                await asyncio.sleep(0.01)
        read = await self.read(group, cls="lookup", floor=floor, deadline_ms=500)
        self.assertEqual(read, ["red"])

    async def test_write_in_doubt_is_resolved_on_the_next_primary(self):
        group = await self.start()
        for name in ("w2", "w3"):
            await group.on_target(name, "CALL standin_set('lag_ms', 60000)")
        write_in_doubt = asyncio.create_task(
            group.send(insert("red"), request_id="p-1", deadline_ms=8000)
        )
        await asyncio.sleep(0.2)
        await group.targets["w1"].__aexit__(None, None, None)
        for name in ("w2", "w3"):
            await group.on_target(name, "CALL standin_set('lag_ms', 2)")
        result = await write_in_doubt
        self.assertEqual(await self.read(group, floor=result.position), ["red"])

    async def test_isolated_primary_gives_no_floor_and_no_acknowledgement(self):
        """A primary that no majority confirms may already have a successor."""
        group = await self.start()
        await group.send(insert("red"))
        for name in ("w2", "w3"):
            await group.on_target(name, "CALL standin_cut('pool-1')")
        with self.assertRaises(RemoteError) as write:
            await group.send(insert("blue"), deadline_ms=600)
        self.assertNotEqual(write.exception.verdict, Verdict.RAN)
        with self.assertRaises(RemoteError) as read:
            await group.send(SELECT, Kind.READ, deadline_ms=600)
        self.assertEqual(read.exception.verdict, Verdict.NOT_RUN)

    async def test_replica_that_restarted_empty_serves_no_read_below_the_floor(self):
        """The last report of a replica may be from before it restarted without data."""
        group = await self.start()
        floor = (await group.send(insert("red"))).position
        await asyncio.sleep(0.3)
        views = group.server.view.instances
        before = {n: (v.status, v.report_asked_at_s) for n, v in views.items()}
        await group.restart_empty("w2")
        # The earlier reports are restored, as if no probe had seen the restart.
        for name, (status, report_asked_at_s) in before.items():
            view = group.server.view.instances[name]
            view.status, view.report_asked_at_s = status, report_asked_at_s
        for _ in range(20):
            read = await self.read(group, cls="lookup", floor=floor)
            self.assertEqual(read, ["red"])
