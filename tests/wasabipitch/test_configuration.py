import asyncio
import contextlib
import unittest
from unittest import mock

from tests.wasabipitch.memory_store import MemoryStore
from tests.wasabipitch.processes import KEY, Process, wait_until
from wasabipitch import configuration, envelopes
from wasabipitch.configuration import ConfigurationKeeper
from wasabipitch.exceptions import StoreConflict, StoreUnavailable
from wasabipitch.messages import OfferConfiguration
from wasabipitch.store import HostList, Record
from wasabipitch.verdict import Verdict


def make_document(slots=2, count=1):
    lines = ["name: wheelcraft", "groups:"]
    for i in range(count):
        lines += [f"- name: workshop{i}", f"  slots: {slots}", "  instances:"]
        for j in range(3):
            address = f"127.0.{i // 80}.1:{1000 + 3 * (i % 80) + j}"
            line = "{name: wc%d-%d, address: '%s', data_centre: bangna}"
            lines.append("  - " + line % (i, j, address))
    return "\n".join(lines) + "\n"


class ApplyTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = MemoryStore()

    async def apply(self, document, expect=0, nonce="n1", author="somchai", **options):
        return await configuration.apply(
            self.store, KEY, document, expect, nonce, author, **options
        )

    async def test_two_operators_at_once(self):
        first, second = make_document(3), make_document(4)
        base = await self.apply(make_document(2))
        outcomes = await asyncio.gather(
            self.apply(first, base, "n2", "malee"),
            self.apply(second, base, "n3", "somchai"),
            return_exceptions=True,
        )
        conflicts = [o for o in outcomes if isinstance(o, StoreConflict)]
        self.assertEqual(1, len(conflicts))
        stored = await envelopes.read_stored(self.store, KEY)
        self.assertEqual(stored.document, conflicts[0].value)
        self.assertIn(stored.envelope.author, str(conflicts[0]))
        self.assertEqual(Verdict.NOT_RUN, conflicts[0].verdict)

    async def test_lost_answer_is_resolved_by_reading_back(self):
        self.store.lost_answers = 1
        self.assertEqual(1, await self.apply(make_document()))
        self.assertEqual(1, self.store.revision)

    async def test_lost_answer_and_another_change_on_top(self):
        self.store.lost_answers = 1
        put = self.store.put

        async def put_then_overtake(*args):
            self.store.put = put
            with contextlib.suppress(StoreUnavailable):
                await put(*args)
            await self.apply(make_document(5), 1, "n2", "malee")
            raise StoreUnavailable("the answer was lost")

        self.store.put = put_then_overtake
        self.assertEqual(1, await self.apply(make_document()))
        self.assertEqual(2, (await self.store.get(KEY)).revision)

    async def test_repeat_writes_nothing(self):
        revision = await self.apply(make_document())
        self.assertEqual(revision, await self.apply(make_document(), 0, "n9"))
        self.assertEqual(revision, self.store.revision)

    async def test_outage_leaves_the_change_in_doubt_or_not_run(self):
        self.store.down = True
        with self.assertRaises(StoreUnavailable) as caught:
            await self.apply(make_document(), timeout_s=0)
        self.assertEqual(Verdict.NOT_RUN, caught.exception.verdict)
        self.store.down = False
        put = self.store.put

        async def put_and_go_down(*args):
            try:
                return await put(*args)
            finally:
                self.store.down = True

        self.store.put = put_and_go_down
        self.store.lost_answers = 1
        with self.assertRaises(StoreUnavailable) as caught:
            await self.apply(make_document(), timeout_s=0)
        self.assertEqual(Verdict.MAY_HAVE_RUN, caught.exception.verdict)

    async def test_large_document_in_parts(self):
        document = make_document(count=5000)
        self.assertGreater(len(document), 1_000_000)
        revision = await self.apply(document)
        first = await envelopes.read_stored(self.store, KEY)
        self.assertEqual(document, first.document)
        changed = document.replace("wc2500-1,", "wc2500-9,")
        await self.apply(changed, revision, "n2")
        second = await envelopes.read_stored(self.store, KEY)
        self.assertEqual(changed, second.document)
        new_parts = set(second.envelope.parts) - set(first.envelope.parts)
        self.assertEqual(1, len(new_parts))
        self.assertEqual(1 + len(second.envelope.parts), len(self.store.records))


class KeeperTests(unittest.IsolatedAsyncioTestCase):
    async def start_fleet(self, count, stores):
        fleet = []
        for i in range(count):
            process = await Process(f"pool-{i}", stores[i], seed=i).start()
            self.addAsyncCleanup(process.kill)
            fleet.append(process)
        for store in stores:
            store.listed = HostList(tuple(p.host for p in fleet), 1)
        for process in fleet:
            process.run()
        return fleet

    async def accept_and_go_down(self, fleet, stores):
        """Accept a change that only the first process reads before an outage.

        The stores of the other processes go down before the change, so these processes
        can learn of it from the first process only.
        """
        count = len(fleet)
        await wait_until(
            lambda: all(len(p.membership.live("pool")) == count for p in fleet)
        )
        for store in stores[1:]:
            store.set_down(True)
        document = make_document(7)
        revision = await configuration.apply(stores[0], KEY, document, 0, "n", "malee")
        await wait_until(lambda: fleet[0].keeper.revision == revision)
        stores[0].set_down(True)
        return revision

    async def test_outage_right_after_acceptance(self):
        stores = [MemoryStore() for _ in range(5)]
        fleet = await self.start_fleet(5, stores)
        revision = await self.accept_and_go_down(fleet, stores)
        await wait_until(lambda: all(p.keeper.revision == revision for p in fleet))
        self.assertEqual({make_document(7)}, {p.keeper.document for p in fleet})

    async def test_outage_without_revisions_from_peers_leaves_processes_behind(self):
        """Without the peers' revisions, the outage test above would fail."""
        with mock.patch.object(ConfigurationKeeper, "record_peer_revision"):
            stores = [MemoryStore() for _ in range(3)]
            fleet = await self.start_fleet(3, stores)
            await self.accept_and_go_down(fleet, stores)
            await asyncio.sleep(2)
            self.assertEqual([1, 0, 0], [p.keeper.revision for p in fleet])

    async def restore_older_revision(self, store, process):
        """Accept revision 9, then make the store return revision 4.

        A store that was restored from a backup could answer so.
        """
        store.revision = 8
        await configuration.apply(store, KEY, make_document(3), 0, "n", "malee")
        await wait_until(lambda: process.keeper.revision == 9)
        older = envelopes.encode(envelopes.Envelope("o", "somchai", make_document(2)))
        record = Record(KEY, older, 4)

        async def get(*args):
            await asyncio.sleep(0.05)
            return record

        store.get = get
        store.set_down(True)
        store.set_down(False)
        await asyncio.sleep(1)

    async def test_never_reverts_when_the_store_answers_older(self):
        store = MemoryStore()
        (process,) = await self.start_fleet(1, [store])
        await self.restore_older_revision(store, process)
        self.assertEqual(9, process.keeper.revision)
        self.assertEqual(3, process.keeper.current.groups[0].slots)

    async def test_reverts_if_any_revision_is_adopted(self):
        """Without the comparison of revisions, the test above would fail."""

        class KeeperOfAnyRevision(ConfigurationKeeper):
            def adopt(self, revision, document):
                self.revision = 0
                return super().adopt(revision, document)

        store = MemoryStore()
        with mock.patch(
            "tests.wasabipitch.processes.ConfigurationKeeper", KeeperOfAnyRevision
        ):
            (process,) = await self.start_fleet(1, [store])
        await self.restore_older_revision(store, process)
        self.assertEqual(4, process.keeper.revision)

    async def test_offer_is_answered_with_the_greater_revision(self):
        (process,) = await self.start_fleet(1, [MemoryStore()])
        taken = []
        process.keeper.subscribe(lambda deployment, revision: taken.append(revision))
        held = process.keeper.answer_offer(
            OfferConfiguration(5, make_document(3)), None
        )
        self.assertEqual((5, ""), (held.revision, held.document))
        held = process.keeper.answer_offer(
            OfferConfiguration(4, make_document(2)), None
        )
        self.assertEqual((5, make_document(3)), (held.revision, held.document))
        self.assertEqual([5], taken)

    async def test_malformed_document_changes_nothing(self):
        (process,) = await self.start_fleet(1, [MemoryStore()])
        process.keeper.adopt(1, make_document(3))
        with self.assertLogs("wasabipitch.configuration", "ERROR"):
            self.assertFalse(process.keeper.adopt(2, "groups: 5"))
        self.assertEqual(1, process.keeper.revision)
