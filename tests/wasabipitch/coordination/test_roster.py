import unittest
from unittest.mock import patch

from standins.memory_store import MemoryStore
from wasabipitch.coordination.agreement import EXTENSION_S
from wasabipitch.coordination.documents import (
    HOSTS_PREFIX,
    NAMES_PREFIX,
    SEEN_PREFIX,
    SERVING_PREFIX,
    HostRecord,
    SeenRecord,
    encode,
)
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.roster import SIZE_MEMORY_S, Roster
from wasabipitch.coordination.store import Item, Removal
from wasabipitch.models import Position
from wasabipitch.operations.decisions import DecisionLog


class RosterTest(unittest.TestCase):
    def setUp(self):
        self.at_s = 100.0
        clock = patch("wasabipitch.coordination.roster.now_s", lambda: self.at_s)
        self.enterContext(clock)
        self.mirror = StoreMirror(MemoryStore(), DecisionLog("host"))
        self.roster = Roster(self.mirror, lambda: None)
        self.revision = 0
        self.mirror.revision = 100
        for name in ("a", "b"):
            self.add(name, "1")

    def put(self, key, value):
        self.revision += 1
        self.mirror._apply(Item(key, value, self.revision))

    def remove(self, key):
        self.revision += 1
        self.mirror._apply(Removal(key, self.revision))

    def add(self, name, life):
        incarnation = f"{name}.{life}"
        record = HostRecord(name, "rome", incarnation, "127.0.0.1:1")
        self.put(HOSTS_PREFIX + incarnation, encode(record))
        self.put(NAMES_PREFIX + name, b"")
        self.put(f"{SERVING_PREFIX}g/{incarnation}", b"")

    def say_seen(self, incarnation, revision, number=0):
        record = SeenRecord(revision, 1, number)
        self.put(f"{SEEN_PREFIX}g/{incarnation}", encode(record))

    def test_every_host_must_have_given_up_the_primary(self):
        self.say_seen("a.1", 9, 40)
        self.assertFalse(self.roster.hosts_answered("g", 9))
        self.say_seen("b.1", 8)
        self.assertFalse(self.roster.hosts_answered("g", 9))
        self.say_seen("b.1", 9, 41)
        self.assertTrue(self.roster.hosts_answered("g", 9))
        self.assertEqual(self.roster.find_acknowledged("g", 9), Position(1, 41))

    def test_hosts_that_do_not_serve_the_group_are_not_waited_for(self):
        self.put(HOSTS_PREFIX + "c.1", encode(HostRecord("c", "rome", "c.1", "")))
        self.put(f"{SERVING_PREFIX}other/c.1", b"")
        self.assertEqual(self.roster.list_serving("g"), {"a.1", "b.1"})
        for host in ("a.1", "b.1"):
            self.say_seen(host, 9)
        self.assertTrue(self.roster.hosts_answered("g", 9))

    def test_a_copy_that_lags_behind_the_record_knows_not_all_hosts(self):
        for host in ("a.1", "b.1"):
            self.say_seen(host, 9)
        self.mirror.revision = 8
        self.assertFalse(self.roster.hosts_answered("g", 9))

    def test_one_that_went_away_counts_while_it_could_go_on_alone(self):
        self.say_seen("a.1", 9)
        self.remove(f"{SERVING_PREFIX}g/b.1")
        self.assertFalse(self.roster.hosts_answered("g", 9))
        self.at_s += EXTENSION_S - 0.1
        self.assertFalse(self.roster.hosts_answered("g", 9))
        self.at_s += 0.2
        self.assertTrue(self.roster.hosts_answered("g", 9))

    def test_a_new_life_of_a_host_ends_the_old_one(self):
        self.add("b", "2")
        self.say_seen("a.1", 9)
        self.say_seen("b.2", 9)
        self.assertTrue(self.roster.hosts_answered("g", 9))

    def test_a_host_whose_entry_was_taken_keeps_its_connections(self):
        self.roster.find_data_centres()
        self.remove(HOSTS_PREFIX + "b.1")
        self.assertEqual(set(self.roster.find_data_centres()), {"a", "b"})
        self.at_s += SIZE_MEMORY_S + 1
        self.assertEqual(set(self.roster.find_data_centres()), {"a"})

    def test_a_name_without_an_entry_makes_it_incomplete(self):
        self.assertTrue(self.roster.is_complete())
        self.remove(HOSTS_PREFIX + "b.1")
        self.assertFalse(self.roster.is_complete())

    def test_records_of_a_foreign_form_are_passed_over(self):
        self.put(HOSTS_PREFIX + "x", b"\xff")
        self.put(f"{SEEN_PREFIX}g/x", b"[]")
        self.assertEqual(set(self.roster.hosts), {"a.1", "b.1"})
