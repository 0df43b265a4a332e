import asyncio
import json
import random
import unittest
from types import SimpleNamespace

from standins.memory_store import MemoryStore
from tests.adapter.test_documents import CONFIG, ENTRY
from wasabipitch import tasks
from wasabipitch.contracts import Envelope, pack, unpack
from wasabipitch.coordination.directory import Directory
from wasabipitch.coordination.documents import (
    GROUPS_PREFIX,
    HOSTS_PREFIX,
    MEMBERS_PREFIX,
    NAMES_PREFIX,
    RELINQUISHED_PREFIX,
    SERVING_PREFIX,
    SUSPICIONS_PREFIX,
    WRITERS_PREFIX,
    GroupRecord,
    Phase,
    encode,
    read_group_record,
)
from wasabipitch.coordination.live_hosts import LiveHosts
from wasabipitch.coordination.members import GroupMembers
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.store import Item
from wasabipitch.coordination.writers import CommitWriters
from wasabipitch.exceptions import (
    LinkError,
    MalformedMessage,
    SettingsError,
    StoreError,
)
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.peer_messages import RecordReport

from adapter.documents import PlatformDocuments  # isort: skip
from adapter.store import PlatformStore  # isort: skip
from adapter.wire import LineCallerCodec, LineInstanceCodec  # isort: skip

NESTED = b'{"Backend": "g", "Zone": ' + b"[" * 100_000
OWN_PREFIXES = (
    GROUPS_PREFIX,
    HOSTS_PREFIX,
    MEMBERS_PREFIX,
    NAMES_PREFIX,
    f"{RELINQUISHED_PREFIX}g/",
    f"{SERVING_PREFIX}g/",
    f"{SUSPICIONS_PREFIX}g/",
    f"{WRITERS_PREFIX}g/",
)
SEED = 20261205
ROUNDS = 3000


def make_entry(**changes):
    return json.dumps({**ENTRY, **changes}).encode()


ODD_ENTRIES = {
    "nested": NESTED,
    "long port": make_entry(Addr="10.0.0.1:" + "9" * 5000),
    "superscript port": make_entry(Addr="10.0.0.1:²³"),
    "port out of range": make_entry(Addr="10.0.0.1:70000"),
    "port of 128 bits": make_entry(Addr=f"10.0.0.1:{1 << 127}"),
    "negative port": make_entry(Addr="10.0.0.1:-80"),
    "no port": make_entry(Addr="10.0.0.1:0"),
    "name for an address": make_entry(Addr="db.example:80"),
    "large number": make_entry(Slots=10**30),
    "larger number": b'{"Slots": ' + b"9" * 5000 + b"}",
    "negative number": make_entry(Slots=-1),
    "large start time": make_entry(born=1 << 70),
    "line end in a name": make_entry(Backend="g\r\nQUIT"),
    "half a character": b'{"Backend": "\\ud800"}',
    "no text": b"\xff\xfe",
}


class OddEntriesTest(unittest.IsolatedAsyncioTestCase):
    """Another writer leaves odd entries among those that the hosts read.

    The copy of the store was loaded anew with each of them.
    """

    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.mirror = StoreMirror(self.store, DecisionLog("host"))
        live_hosts = LiveHosts(self.mirror, lambda: None)
        CommitWriters(self.mirror, live_hosts)
        GroupMembers(self.mirror)
        self.directory = Directory(
            self.mirror,
            PlatformDocuments(),
            DecisionLog("host"),
            lambda configuration: None,
            lambda group: None,
        )
        task = tasks.spawn_supervised(self.mirror.run, "mirror")
        self.addAsyncCleanup(tasks.cancel, task)
        await self.mirror.loaded.wait()

    async def expect_followed(self):
        """Check that the next entry arrives without a second load."""
        self.store.put("servers/i-good", make_entry())
        async with asyncio.timeout(2):
            while "i-good" not in self.directory.list_instances(ENTRY["Backend"]):
                await asyncio.sleep(0.01)
        self.assertEqual(self.store.calls.count("list"), 1)

    async def test_an_odd_entry_of_an_instance_names_none(self):
        for name, value in ODD_ENTRIES.items():
            self.store.put(f"servers/{name.replace(' ', '-')}", value)
        self.store.put("servers/a b\r\nQUIT", make_entry())
        await self.expect_followed()
        instances = self.directory.list_instances(ENTRY["Backend"])
        self.assertEqual([*instances], ["i-good"])

    async def test_an_odd_entry_of_a_host_is_ignored(self):
        odd_host = {"name": "a", "data_centre": "r", "incarnation": "a.1"}
        with self.assertLogs("wasabipitch.coordination"):
            for prefix in OWN_PREFIXES:
                self.store.put(f"{prefix}x", NESTED)
            for port in ("²³", "9" * 5000, "70000"):
                record = {**odd_host, "links": f"10.0.0.1:{port}"}
                self.store.put(f"{HOSTS_PREFIX}a.1", json.dumps(record).encode())
            await self.expect_followed()

    async def test_an_odd_configuration_is_not_in_force(self):
        self.store.put("op/config", NESTED)
        await self.expect_followed()
        self.assertIsNone(self.directory.configuration)


class Mutations:
    """Draws variants of byte strings, seeded."""

    def __init__(self, seed):
        self._random = random.Random(seed)

    def draw(self, sample):
        data = bytearray(sample)
        for _ in range(self._random.randint(1, 4)):
            at = self._random.randrange(len(data) + 1)
            end = min(len(data), at + self._random.randint(0, 8))
            data[at:end] = self._random.choice(
                (
                    b"",
                    b"[" * self._random.choice((1, 50_000)),
                    b"9" * self._random.choice((1, 20, 5000)),
                    "²³".encode(),
                    b'"',
                    b"-1",
                    b"1e999",
                    b"null",
                    b"\\ud800",
                    self._random.randbytes(self._random.randint(1, 6)),
                )
            )
        return bytes(data)


class FuzzTest(unittest.TestCase):
    """Whatever others write, a decoder raises no error but its own."""

    def check(self, samples, decode, *allowed):
        mutations = Mutations(SEED)
        for n in range(ROUNDS):
            data = mutations.draw(samples[n % len(samples)])
            try:
                decode(data)
            except allowed:
                continue
            except Exception as exc:
                self.fail(f"{type(exc).__name__} for {data[:200]!r}: {exc}")

    def test_documents_of_the_platform(self):
        documents = PlatformDocuments()
        entries = [make_entry(), *(e for e in ODD_ENTRIES.values() if len(e) < 1000)]
        self.check(
            entries, lambda data: documents.decode_instance(Item("servers/x", data, 1))
        )
        self.check(
            [json.dumps(CONFIG).encode()],
            lambda data: documents.decode_configuration(Item("op/config", data, 1)),
            SettingsError,
        )

    def test_records_of_hosts(self):
        record = encode(GroupRecord(Phase.STEADY, "i-0", 1, 3, "a.1"))
        self.check([record], lambda data: read_group_record(Item("k", data, 1)))

    def test_messages_of_callers_and_instances(self):
        callers = [
            b"STARTUP lepu270 u3f1",
            b"QUERY 5c0e EXECUTE s1 1a4 xkq",
            b"QUERY 5c0e PREPARE s1 WRITE q2c",
        ]
        self.check(callers, LineCallerCodec().decode, MalformedMessage)
        codec = LineInstanceCodec()
        instances = [b"READY I 3.1207", b"COMPLETE 7.1f3", b"ERROR BUSY i-7", b"ROW x"]
        self.check(instances, codec.decode, MalformedMessage)
        reports = [b"replica 3 3.1209 0 12 2 17"]
        self.check(reports, codec.decode_report, MalformedMessage)

    def test_messages_of_peers(self):
        record = GroupRecord(Phase.STEADY, "i-0", 1, 3, "a.1")
        frame = pack(Envelope(7, 1, RecordReport(record, 9, True)))
        self.check([frame[4:]], unpack, LinkError)


class StoreAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An answer of the store that lacks fields counts as none."""

    async def test_malformed_answers(self):
        store = PlatformStore(SimpleNamespace(ip="127.0.0.1", port=1))
        calls = (
            lambda: store.get("k"),
            lambda: store.read_revision("k"),
            lambda: store.list(""),
            lambda: store.watch("", 1, 0.1),
            lambda: store.commit({}, {"k": b""}),
            lambda: store.open_lease(6.0),
        )
        bodies = (
            b"{}",
            b"[" * 100_000,
            b'{"StoreRevision": "x", "Revision": [], "Lease": {}, "items": 3}',
            b'{"StoreRevision": 5, "items": [{"Key": "k"}], "events": [7]}',
            b'{"Revision": 5, "Key": "k", "Value": "a"}',
        )
        for body in bodies:
            answer = SimpleNamespace(status=200, body=body, headers={})

            async def request(*args, answer=answer, **options):
                return answer

            store._http._client = SimpleNamespace(request=request)
            for call in calls:
                try:
                    await call()
                except StoreError:
                    continue
