import unittest
from unittest.mock import patch

from standins.memory_store import MemoryStore
from wasabipitch.coordination.documents import (
    HOSTS_PREFIX,
    NAMES_PREFIX,
    RELINQUISHED_PREFIX,
    WRITERS_PREFIX,
    HostRecord,
    RelinquishedRecord,
    WriterRecord,
    encode,
)
from wasabipitch.coordination.live_hosts import LiveHosts
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.store import ABSENT, Item, Removal
from wasabipitch.coordination.writers import ENDED_AFTER_S, CommitWriters
from wasabipitch.models import Position
from wasabipitch.operations.decisions import DecisionLog


class CommitWritersTest(unittest.TestCase):
    """A replacement knows of the hosts whose acknowledged commits nobody reports."""

    def setUp(self):
        self.at_s = 100.0
        self.enterContext(
            patch("wasabipitch.coordination.writers.now_s", lambda: self.at_s)
        )
        self.mirror = StoreMirror(MemoryStore(), DecisionLog("host"))
        self.live_hosts = LiveHosts(self.mirror, lambda: None)
        self.writers = CommitWriters(self.mirror, self.live_hosts)
        self.revision = 0
        self.mirror.received_revision = 100
        for name in ("a", "b"):
            self.add(name, "1")

    def put(self, key, value):
        self.revision += 1
        self.mirror._apply(Item(key, value, self.revision))

    def remove(self, key):
        self.revision += 1
        self.mirror._apply(Removal(key, self.revision))

    def add(self, name, number):
        incarnation = f"{name}.{number}"
        self.put(f"{WRITERS_PREFIX}g/{incarnation}", encode(WriterRecord()))
        self.put(NAMES_PREFIX + name, b"")
        record = HostRecord(name, "rome", incarnation, "127.0.0.1:1")
        self.put(HOSTS_PREFIX + incarnation, encode(record))

    def report(self, incarnation, revision, index, covered=0, is_answered=True):
        record = RelinquishedRecord(revision, 1, index, 1, covered, is_answered)
        self.put(f"{RELINQUISHED_PREFIX}g/{incarnation}", encode(record))

    def test_the_limit_is_known_once_all_have_reported(self):
        self.report("a.1", 9, 40)
        self.assertIsNone(self.writers.find_limit("g", 9))
        self.report("b.1", 8, 50)
        self.assertIsNone(self.writers.find_limit("g", 9))
        self.report("b.1", 9, 39, covered=41)
        self.assertEqual(self.writers.find_limit("g", 9), Position(1, 41))

    def test_no_limit_is_known_while_a_host_has_not_read_an_answer(self):
        self.report("a.1", 9, 40)
        self.report("b.1", 9, 39, is_answered=False)
        self.assertEqual(self.live_hosts.find_unanswered("g", 9), ["b.1"])
        self.assertIsNone(self.writers.find_limit("g", 9))
        self.report("b.1", 9, 41)
        self.assertEqual(self.writers.find_limit("g", 9), Position(1, 41))

    def test_unanswered_commits_of_a_host_that_is_not_listed_count(self):
        self.report("a.1", 9, 40)
        self.report("b.1", 9, 40)
        self.report("c.1", 9, 39, is_answered=False)
        self.assertIsNone(self.writers.find_limit("g", 9))

    def test_a_copy_of_the_store_before_the_claim_gives_no_limit(self):
        self.report("a.1", 101, 40)
        self.report("b.1", 101, 40)
        self.assertIsNone(self.writers.find_limit("g", 101))

    def test_a_host_that_started_again_has_not_reported_for_its_earlier_run(self):
        self.add("a", "2")
        self.assertEqual([*self.writers.find_ended("g")], ["a.1"])
        self.report("a.2", 9, 0)
        self.report("b.1", 9, 40)
        self.assertIsNone(self.writers.find_limit("g", 9))
        self.writers.drop("g", "a.1")
        self.assertEqual(self.writers.find_limit("g", 9), Position(1, 40))

    def test_a_run_that_is_listed_before_it_is_registered_has_not_ended(self):
        self.put(f"{WRITERS_PREFIX}g/a.2", encode(WriterRecord()))
        self.assertEqual(self.writers.find_ended("g"), {})

    def test_a_host_that_left_ends_some_time_after_its_name_was_removed(self):
        self.remove(HOSTS_PREFIX + "a.1")
        self.assertEqual(self.writers.find_ended("g"), {})
        self.at_s += 2 * ENDED_AFTER_S
        self.assertEqual(self.writers.find_ended("g"), {})
        self.remove(NAMES_PREFIX + "a")
        self.assertEqual(self.writers.find_ended("g"), {})
        self.at_s += ENDED_AFTER_S + 0.1
        self.assertEqual([*self.writers.find_ended("g")], ["a.1"])

    def test_a_host_that_no_longer_serves_the_group_has_ended(self):
        self.put(f"{WRITERS_PREFIX}g/a.1", encode(WriterRecord(ended=True)))
        self.assertEqual(self.writers.find_ended("g"), {"a.1": self.revision})

    def test_an_unreadable_record_counts_as_a_host_in_use(self):
        with self.assertLogs("wasabipitch.coordination.writers"):
            self.put(f"{WRITERS_PREFIX}g/c.1", b"[[")
        self.assertTrue(self.writers.is_listed("g", "c.1"))
        self.assertEqual(self.writers.find_ended("g"), {})

    def test_a_host_that_a_copy_of_the_store_lacks_stays_listed(self):
        self.mirror.is_restoring = True
        self.remove(f"{WRITERS_PREFIX}g/a.1")
        self.mirror.is_restoring = False
        self.add("a", "2")
        self.assertEqual(self.writers.find_ended("g"), {"a.1": ABSENT})
        self.remove(f"{WRITERS_PREFIX}g/b.1")
        self.assertFalse(self.writers.is_listed("g", "b.1"))
