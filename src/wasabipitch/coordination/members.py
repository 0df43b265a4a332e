"""The instances of each group that may hold acknowledged commits.

The registration of an instance lapses some seconds after it stopped answering. A host
that starts later would not know that this instance may have confirmed commits that no
other replica holds. The members of a group are therefore kept in the store without a
lease.
"""

import logging

import msgspec

from wasabipitch.coordination.documents import (
    MEMBERS_PREFIX,
    Member,
    MembersRecord,
    decode,
)
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.store import ABSENT, Item

logger = logging.getLogger(__name__)


class Membership(msgspec.Struct, frozen=True):
    """The members of one group.

    Args:
        stored: The members by the store.
        known: These, members that a restored store lost, and instances that have
            registered and are not written yet.
        revision: The revision of the key in the store, or ``ABSENT``.
    """

    stored: frozenset[Member] = frozenset()
    known: frozenset[Member] = frozenset()
    revision: int = ABSENT


class GroupMembers:
    """The members of all groups, by the store.

    Args:
        mirror: The local copy of the store.
    """

    def __init__(self, mirror: StoreMirror) -> None:
        self._mirror = mirror
        self._memberships: dict[str, Membership] = {}
        # The instances of each group that registered and were never in the store.
        self._unwritten: dict[str, frozenset[Member]] = {}
        mirror.subscribe(self._update)

    def find(self, group: str) -> Membership:
        """Return the members of a group."""
        return self._memberships.get(group, Membership())

    def add_registered(self, group: str, registered: frozenset[Member]) -> None:
        """Keep registered instances as members until they are in the store.

        Their registrations may lapse before, as nothing is written while the primary is
        replaced.
        """
        found = self.find(group)
        added = registered - found.known
        if added:
            self._unwritten[group] = self._unwritten.get(group, frozenset()) | added
            known = found.known | added
            self._memberships[group] = Membership(found.stored, known, found.revision)

    def _update(self, key: str, item: Item | None) -> None:
        if not key.startswith(MEMBERS_PREFIX):
            return
        group = key.removeprefix(MEMBERS_PREFIX)
        stored = frozenset() if item is None else _read_members(item)
        unwritten = self._unwritten.get(group, frozenset()) - stored
        self._unwritten[group] = unwritten
        lost = self.find(group).known if self._mirror.is_restoring else frozenset()
        revision = ABSENT if item is None else item.revision
        known = stored | lost | unwritten
        self._memberships[group] = Membership(stored, known, revision)


def make_key(group: str) -> str:
    """Return the key of a group's members in the store."""
    return MEMBERS_PREFIX + group


def _read_members(item: Item) -> frozenset[Member]:
    try:
        return frozenset(decode(item.value, MembersRecord).members)
    except msgspec.MsgspecError as exc:
        logger.warning("ignored unreadable record %s: %s", item.key, exc)
        return frozenset()
