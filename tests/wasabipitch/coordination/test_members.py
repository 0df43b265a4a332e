import unittest

from standins.memory_store import MemoryStore
from wasabipitch.coordination.documents import Member, MembersRecord, encode
from wasabipitch.coordination.members import GroupMembers, Membership, make_key
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.store import ABSENT, Item, Removal
from wasabipitch.operations.decisions import DecisionLog

A, B, C = (Member(name, 1) for name in "abc")


class GroupMembersTest(unittest.TestCase):
    """A host that starts knows of instances whose registrations have lapsed."""

    def setUp(self):
        self.mirror = StoreMirror(MemoryStore(), DecisionLog("host"))
        self.members = GroupMembers(self.mirror)
        self.put(1, A, B)

    def put(self, revision, *members):
        value = encode(MembersRecord(members))
        self.mirror._apply(Item(make_key("g"), value, revision))

    def test_members_are_those_of_the_store(self):
        self.assertEqual(self.members.find("h"), Membership())
        present = frozenset([A, B])
        self.assertEqual(self.members.find("g"), Membership(present, present, 1))
        self.put(2, B)
        self.assertEqual(self.members.find("g").known, {B})

    def test_members_that_a_copy_of_the_store_lacks_are_kept(self):
        self.mirror.is_restoring = True
        self.put(2, A, C)
        self.assertEqual(
            self.members.find("g"),
            Membership(frozenset([A, C]), frozenset([A, B, C]), 2),
        )
        self.mirror._apply(Removal(make_key("g"), 3))
        known = frozenset([A, B, C])
        self.assertEqual(self.members.find("g"), Membership(frozenset(), known, ABSENT))
        self.mirror.is_restoring = False
        self.put(4, A)
        self.assertEqual(self.members.find("g").known, {A})

    def test_an_instance_counts_from_its_registration_until_it_was_written(self):
        # Its registration lapsed before the hosts wrote it, as in a replacement.
        self.members.add_registered("g", frozenset([A, C]))
        self.assertEqual(self.members.find("g").known, {A, B, C})
        self.put(2, A)
        self.assertEqual(self.members.find("g").known, {A, C})
        self.put(3, A, C)
        self.put(4, A)
        self.assertEqual(self.members.find("g").known, {A})

    def test_an_unreadable_record_is_ignored(self):
        with self.assertLogs("wasabipitch.coordination.members"):
            self.mirror._apply(Item(make_key("g"), b"\xff", 2))
        self.assertEqual(self.members.find("g").stored, frozenset())
