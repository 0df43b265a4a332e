"""The time as of which the local copy is known to hold all that the store acknowledged.

A read of the store that was requested at a time t and that returned revision r shows
that everything acknowledged before t is at r or below. Once the copy has reached r, it
holds all of that; t is then a *proof*. Hosts that agree with each other prove nothing,
since others write to the store, too.

A store that returned from an older copy has lost what it acknowledged lately. A read of
it is no proof until the peers were asked for the version of their configuration, nor
while one of them knows a greater version than this host.
"""

from collections import deque

from wasabipitch.clock import now_s
from wasabipitch.coordination.revisions import find_epoch

# Reads that wait for the copy to reach their revisions. With one read each 0.45 s, the
# oldest would be a proof 28 s old, which no user of proofs accepts.
MAX_PENDING_READS = 64


class CopyCurrency:
    """Keeps the proof of the local copy.

    Args:
        needs_survey: Whether reads of an epoch count only after ``record_survey`` in
            that epoch.
    """

    def __init__(self, needs_survey: bool = False) -> None:
        # The greatest version of the configuration that any host was heard to know.
        self.known_version = 0
        # The version of the configuration in force here.
        self.version = 0
        self._needs_survey = needs_survey
        self._is_surveyed = not needs_survey
        # The copy holds all changes up to this revision.
        self._revision = 0
        self._reads: deque[tuple[float, int]] = deque(maxlen=MAX_PENDING_READS)
        # The latest request whose revision was reached, which may not count yet.
        self._reached_at_s = 0.0
        self._proven_at_s = 0.0

    @property
    def proven_at_s(self) -> float:
        """The time of the proof on the clock of ``now_s``, or 0 without one.

        The copy holds everything that the store acknowledged before this time.
        """
        return self._proven_at_s

    @property
    def age_s(self) -> float:
        """The age of the proof in seconds; without a proof, the time since boot."""
        return now_s() - self._proven_at_s

    def is_proven_within(self, age_s: float) -> bool:
        """Return whether the proof is no older than a number of seconds."""
        return self._proven_at_s > 0 and self.age_s <= age_s

    @property
    def is_surveyed(self) -> bool:
        """Whether the peers were asked for their versions in the copy's epoch."""
        return self._is_surveyed

    def is_surveyed_in(self, epoch: int) -> bool:
        """Return whether the peers were asked in an epoch, which is the copy's."""
        return self._is_surveyed and epoch == find_epoch(self._revision)

    def record_read(self, requested_at_s: float, store_revision: int) -> None:
        """Record a read of the store.

        Args:
            requested_at_s: When the read was requested, on the clock of ``now_s``. The
                time of the answer would be too late: changes may have been acknowledged
                between the read and its answer.
            store_revision: The store's revision in the answer.
        """
        if find_epoch(store_revision) != find_epoch(self._revision):
            return
        self._reads.append((requested_at_s, store_revision))
        self._update()

    def advance(self, revision: int) -> None:
        """Record that the copy holds all changes up to a revision."""
        if revision <= self._revision:
            return
        if find_epoch(revision) != find_epoch(self._revision):
            # A proof of the earlier epoch stays true, but its pending reads say nothing
            # about the restored store. Neither does one of a read that did not count.
            self._reads.clear()
            self._reached_at_s = self._proven_at_s
            self._is_surveyed = not self._needs_survey
        self._revision = revision
        self._update()

    def record_version(self, version: int) -> None:
        """Record the version of the configuration that a peer knows of."""
        self.known_version = max(self.known_version, version)

    def record_survey(self, version: int, epoch: int) -> None:
        """Record that peers were asked for their versions.

        Args:
            version: The greatest version in their answers.
            epoch: The store's epoch in which they were asked.
        """
        self.record_version(version)
        if epoch == find_epoch(self._revision):
            self._is_surveyed = True
            self._update()

    def hold_version(self, version: int) -> None:
        """Record the version of the configuration that came into force here."""
        self.version = max(self.version, version)
        self.record_version(version)
        self._update()

    def _update(self) -> None:
        pending = [read for read in self._reads if read[1] > self._revision]
        if len(pending) < len(self._reads):
            reached = (
                at_s for at_s, revision in self._reads if revision <= self._revision
            )
            self._reached_at_s = max(self._reached_at_s, *reached)
            self._reads = deque(pending, MAX_PENDING_READS)
        if self._is_surveyed and self.version >= self.known_version:
            self._proven_at_s = max(self._proven_at_s, self._reached_at_s)
