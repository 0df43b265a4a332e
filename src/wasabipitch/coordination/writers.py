"""The hosts that may have acknowledged commits, for the choice of a successor.

Each host knows the highest position that it saw acknowledged, and forgets it when it
ends. An incarnation of a host is therefore listed in the store before it first uses a
group's primary, and stays listed after it has ended until another host answers for the
commits that it acknowledged.
"""

import logging

import msgspec

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import WRITERS_PREFIX, WriterRecord, decode
from wasabipitch.coordination.live_hosts import LiveHosts
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.store import ABSENT, Item
from wasabipitch.models import Position

# A host without a name that has not started again counts as ended after this time. Its
# last statements end within the grace period of a planned stop.
ENDED_AFTER_S = 12.0

logger = logging.getLogger(__name__)


class Writer(msgspec.Struct, frozen=True):
    """A listed incarnation.

    Args:
        ended: Whether the host has stopped using the group's primaries.
        revision: The revision of its key, ``ABSENT`` if a restored store lost it.
    """

    ended: bool
    revision: int


class CommitWriters:
    """The incarnations of hosts that may have acknowledged commits, by group.

    Args:
        mirror: The local copy of the store.
        live_hosts: The hosts that are alive, and their reports.
    """

    def __init__(self, mirror: StoreMirror, live_hosts: LiveHosts) -> None:
        self._mirror = mirror
        self._live_hosts = live_hosts
        self._writers: dict[str, dict[str, Writer]] = {}
        # Since when a listed host has had neither a name nor a registration.
        self._nameless_since_s: dict[str, float] = {}
        mirror.subscribe(self._update)

    def is_listed(self, group: str, incarnation: str) -> bool:
        """Return whether an incarnation may have acknowledged commits of a group."""
        return incarnation in self._writers.get(group, {})

    def find_unreported(self, group: str, revision: int) -> list[str]:
        """Return the incarnations that have not reported what they acknowledged.

        Args:
            group: The group whose primary is replaced.
            revision: The revision of the group record that began the replacement.
        """
        return [
            incarnation
            for incarnation in self._writers.get(group, {})
            if not self._live_hosts.has_relinquished(group, incarnation, revision)
        ]

    def find_limit(self, group: str, revision: int) -> Position | None:
        """Return a position that no acknowledged commit exceeds, or None.

        Every listed host stopped sending commits before it reported. A host that is
        listed later has read the group record that began the replacement. The answer to
        a commit that a host has not read may be that it was acknowledged.

        Args:
            group: The group whose primary is replaced.
            revision: The revision of the group record that began the replacement.
        """
        if self._mirror.received_revision < revision or self.find_unreported(
            group, revision
        ):
            return None
        if self._live_hosts.find_unanswered(group, revision):
            return None
        return self._live_hosts.find_limit(group, revision)

    def find_ended(self, group: str) -> dict[str, int]:
        """Return the listed incarnations that have ended, with their revisions."""
        return {
            incarnation: writer.revision
            for incarnation, writer in self._writers.get(group, {}).items()
            if writer.ended or self._has_ended(incarnation, writer)
        }

    def drop(self, group: str, incarnation: str) -> None:
        """Drop an incarnation for whose commits this host now answers."""
        self._writers.get(group, {}).pop(incarnation, None)

    def _has_ended(self, incarnation: str, writer: Writer) -> bool:
        name = incarnation.rpartition(".")[0]
        current = self._live_hosts.find_incarnation(name)
        if current is not None:
            self._nameless_since_s.pop(incarnation, None)
            # The registration may still be that of the run before this one.
            present, revision = current
            return present != incarnation and revision > writer.revision
        if self._live_hosts.is_named(name):
            self._nameless_since_s.pop(incarnation, None)
            return False
        at_s = now_s()
        since_s = self._nameless_since_s.setdefault(incarnation, at_s)
        return at_s - since_s > ENDED_AFTER_S

    def _update(self, key: str, item: Item | None) -> None:
        if not key.startswith(WRITERS_PREFIX):
            return
        group, _, incarnation = key.removeprefix(WRITERS_PREFIX).rpartition("/")
        writers = self._writers.setdefault(group, {})
        if item is not None:
            writers[incarnation] = Writer(_read_ended(item), item.revision)
        elif not self._mirror.is_restoring:
            writers.pop(incarnation, None)
        elif incarnation in writers:
            # A copy of the store lacks a host that was listed after it was made.
            writers[incarnation] = Writer(writers[incarnation].ended, ABSENT)


def _read_ended(item: Item) -> bool:
    try:
        return decode(item.value, WriterRecord).ended
    except msgspec.MsgspecError as exc:
        logger.warning(
            "unreadable record %s counts as a host in use: %s", item.key, exc
        )
        return False
