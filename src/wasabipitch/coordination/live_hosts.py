"""The live hosts, those that left recently, and their records about groups."""

import logging
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import (
    HOSTS_PREFIX,
    NAMED_KEY,
    NAMES_PREFIX,
    RELINQUISHED_PREFIX,
    SERVING_PREFIX,
    SUSPICIONS_PREFIX,
    HostRecord,
    RelinquishedRecord,
    SuspicionRecord,
    decode,
)
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.store import Item
from wasabipitch.exceptions import SettingsError
from wasabipitch.models import ORIGIN, Address, Host, Position
from wasabipitch.policy.ownership import Capacity, find_strong_hosts
from wasabipitch.policy.quorum import (
    MAX_STORE_OUTAGE_S,
    READ_LEASE_MARGIN_S,
    UNADOPTED_CLAIM_S,
    excludes_quorum,
)
from wasabipitch.policy.read_leases import READ_LEASE_S

HOST_ROLE = "gateway"
# A host that left keeps its share of the connections for this long.
SHARE_RETENTION_S = 10.0
# A host still counts as a peer for this long after its registration lapsed.
PEER_RETENTION_S = 30.0
# The name of a host without a registration is kept for this long. A host that lost the
# store can be confirmed by others for ``MAX_STORE_OUTAGE_S`` after its last read of it.
NAME_RETENTION_S = 20.0
# Of the hosts that find a stale name, each waits this long for the ones before it.
PRUNE_DELAY_S = 1.0

logger = logging.getLogger(__name__)


def _make_host(record: HostRecord) -> Host:
    return Host(record.name, HOST_ROLE, record.links, record.data_centre)


def _is_earlier(incarnation: str, record: HostRecord) -> bool:
    same_host = incarnation.rpartition(".")[0] == record.name
    return same_host and incarnation != record.incarnation


class LiveHosts:
    """The hosts that are alive by the store, and their records about groups.

    Args:
        mirror: The local copy of the store.
        on_change: Called after the hosts changed that ``find_data_centres`` returns.
    """

    def __init__(self, mirror: StoreMirror, on_change: Callable[[], None]) -> None:
        self.hosts: dict[str, HostRecord] = {}
        # The revisions of the registrations in ``hosts``.
        self._revisions: dict[str, int] = {}
        # The incarnation in ``hosts`` of each host, by its name.
        self._incarnations: dict[str, str] = {}
        self._mirror = mirror
        self._on_change = on_change
        # The data centres of the hosts at the last call of ``on_change``.
        self._announced: dict[str, str] = {}
        # The strong hosts among these.
        self._strong_hosts: frozenset[str] = frozenset()
        self._left_at_s: dict[str, float] = {}
        self._last_seen_s: dict[str, float] = {}
        self._known: dict[str, HostRecord] = {}
        # The incarnations that serve each group, and when others stopped serving it.
        self._serving: dict[str, set[str]] = {}
        self._stopped_serving_at_s: dict[tuple[str, str], float] = {}
        # The records of each group by incarnation, and the names of the hosts that may
        # still run. The supervisors read them every 0.1 s, too often to search all
        # items for them.
        self._relinquished: dict[str, dict[str, RelinquishedRecord]] = {}
        self._suspicions: dict[str, dict[str, SuspicionRecord]] = {}
        self._names: set[str] = set()
        # Earlier versions of the names, with the time at which each was replaced.
        self._earlier_names: deque[tuple[float, frozenset[str]]] = deque()
        # The last time at which this host may have missed a version of the names.
        self._missed_names_at_s = now_s()
        # The record for which another host relinquished a group's primary, by its
        # revision, and when this host first saw that.
        self._relinquished_at_s: dict[tuple[str, str], tuple[int, float]] = {}
        mirror.subscribe(self._update)
        mirror.on_applied(self.announce_changes)

    def announce_changes(self) -> None:
        """Call ``on_change`` if hosts joined or left since its last call.

        A host that renews its registration changes nothing. After the store returned
        from a copy, all hosts do so at once.
        """
        data_centres = self.find_data_centres()
        if data_centres != self._announced:
            self._announced = data_centres
            known = {name: self._known[name] for name in data_centres}
            self._strong_hosts = find_strong_hosts(
                {n: Capacity(r.cores, r.link_mbps) for n, r in known.items()}
            )
            self._on_change()

    def find_data_centres(self) -> dict[str, str]:
        """Return the data centre of each host that was registered recently, by name.

        A registration may lapse although its host runs. The host's connections must
        not be given to the others at once.
        """
        at_s = now_s()
        self._update_last_seen()
        return {
            name: record.data_centre
            for name, record in self._known.items()
            if at_s - self._last_seen_s[name] < SHARE_RETENTION_S
        }

    def find_strong_hosts(self) -> frozenset[str]:
        """Return the names of the strong hosts among those registered recently.

        Without any, the hosts are alike; see ``policy.ownership``.
        """
        return self._strong_hosts

    def find_host(self, name: str) -> Host:
        """Return a host that was registered recently."""
        return _make_host(self._known[name])

    def list_peers(self, own_name: str) -> list[Host]:
        """Return the other hosts that were registered recently."""
        at_s = now_s()
        self._update_last_seen()
        return [
            _make_host(record)
            for record in self._known.values()
            if record.name != own_name
            and at_s - self._last_seen_s[record.name] < PEER_RETENTION_S
        ]

    def _update_last_seen(self) -> None:
        at_s = now_s()
        for record in self.hosts.values():
            self._last_seen_s[record.name] = at_s
            self._known[record.name] = record

    def list_serving_hosts(self, group: str) -> set[str]:
        """Return the incarnations that the store lists as serving a group."""
        return self._serving.get(group, set())

    def all_relinquished(self, group: str, revision: int) -> bool:
        """Return whether every host that serves a group relinquished its primary.

        Every host with a read lease was listed before the group record changed, so
        the copy must have reached that revision. A host whose keys have lapsed may
        still run, so it counts for as long as it may read without the store.

        Args:
            group: The group whose primary is replaced.
            revision: The revision of the group record that began the replacement.
        """
        if self._mirror.received_revision < revision:
            return False
        at_s = now_s()
        recent = {
            host
            for (name, host), stopped_s in self._stopped_serving_at_s.items()
            if name == group and at_s - stopped_s < MAX_STORE_OUTAGE_S
        }
        awaited = self.list_serving_hosts(group) | recent
        return all(self.has_relinquished(group, host, revision) for host in awaited)

    def has_relinquished(self, group: str, incarnation: str, revision: int) -> bool:
        """Return whether a host relinquished the primary that is being replaced.

        Args:
            group: The group whose primary is replaced.
            incarnation: The incarnation of the host.
            revision: The revision of the group record that began the replacement.
        """
        record = self._relinquished.get(group, {}).get(incarnation)
        return record is not None and record.revision >= revision

    def find_incarnation(self, name: str) -> tuple[str, int] | None:
        """Return a host's registered incarnation and the revision, or None."""
        incarnation = self._incarnations.get(name)
        return (
            None
            if incarnation is None
            else (
                incarnation,
                self._revisions[incarnation],
            )
        )

    def is_named(self, name: str) -> bool:
        """Return whether a host of this name may run."""
        return name in self._names

    def all_registered(self) -> bool:
        """Return whether every host that may still run is registered."""
        return self._names <= {record.name for record in self.hosts.values()}

    def count_names(self) -> int:
        """Return the number of hosts that may run."""
        return len(self._names)

    def is_adopted(self, group: str, revision: int) -> bool:
        """Return whether no host can be confirmed any more by those unaware of a claim.

        Other hosts may count by an earlier version of the names.

        Args:
            group: The group whose primary is replaced.
            revision: The revision of the group record that began the replacement.
        """
        at_s = now_s()
        self._drop_old_names(at_s)
        lease_ended_s = at_s - READ_LEASE_S - READ_LEASE_MARGIN_S
        adopted = frozenset(
            incarnation.rpartition(".")[0]
            for incarnation, record in self._relinquished.get(group, {}).items()
            if record.revision >= revision
            and self._relinquished_at_s[group, incarnation][1] <= lease_ended_s
        )
        is_complete = at_s - self._missed_names_at_s > UNADOPTED_CLAIM_S
        versions = [frozenset(self._names), *(v for _, v in self._earlier_names)]
        return all(excludes_quorum(v, adopted, is_complete) for v in versions)

    def find_stale_names(self, own_name: str) -> list[str]:
        """Return the keys of the names that this host is to remove now.

        Args:
            own_name: The name of this host. The hosts remove names in the order of
                their own ones, since each of them would make a billed call.
        """
        self._update_last_seen()
        at_s = now_s()
        missing_s = {
            name: at_s - self._last_seen_s.setdefault(name, at_s)
            for name in self._names
        }
        stale = [n for n, s in missing_s.items() if s > NAME_RETENTION_S]
        if not stale:
            return []
        rank = sum(record.name < own_name for record in self.hosts.values())
        due_s = NAME_RETENTION_S + rank * PRUNE_DELAY_S
        return [NAMES_PREFIX + name for name in stale if missing_s[name] > due_s]

    def find_acknowledged_position(self, group: str, revision: int) -> Position:
        """Return the greatest position that a host knows to be acknowledged."""
        records = self._list_relinquished(group, revision)
        return max((record.acknowledged for record in records), default=ORIGIN)

    def find_limit(self, group: str, revision: int) -> Position:
        """Return the position that no commit exceeds for which a report accounts."""
        records = self._list_relinquished(group, revision)
        return max((record.limit for record in records), default=ORIGIN)

    def find_unanswered(self, group: str, revision: int) -> list[str]:
        """Return the hosts that reported commits whose answers they have not read.

        Args:
            group: The group whose primary is replaced.
            revision: The revision of the group record that began the replacement.
        """
        return [
            host
            for host, record in self._relinquished.get(group, {}).items()
            if record.revision >= revision and not record.is_answered
        ]

    def describe_reports(self, group: str, revision: int) -> dict[str, str]:
        """Return each host's report on a replacement and its age, for the log."""
        at_s = now_s()
        reports = {}
        for host, record in self._relinquished.get(group, {}).items():
            if record.revision >= revision:
                age_s = at_s - self._relinquished_at_s[group, host][1]
                answers = "" if record.is_answered else ", commits unanswered"
                reports[host] = f"{record.limit}, {age_s:.3f} s{answers}"
        return reports

    def _list_relinquished(self, group: str, revision: int) -> list[RelinquishedRecord]:
        records = self._relinquished.get(group, {}).values()
        return [record for record in records if record.revision >= revision]

    def find_suspicions(self, group: str, revision: int) -> list[SuspicionRecord]:
        """Return the suspicions against the primary that a group record names."""
        suspicions = self._suspicions.get(group, {}).values()
        return [s for s in suspicions if s.revision == revision]

    def _update(self, key: str, item: Item | None) -> None:
        if key.startswith(HOSTS_PREFIX):
            self._update_host(key.removeprefix(HOSTS_PREFIX), item)
        elif key.startswith(SERVING_PREFIX):
            self._update_serving(key.removeprefix(SERVING_PREFIX), item)
        elif key == NAMED_KEY and self._mirror.is_loading:
            self._missed_names_at_s = now_s()
        elif key.startswith(NAMES_PREFIX):
            self._update_name(key.removeprefix(NAMES_PREFIX), item is not None)
        elif key.startswith(RELINQUISHED_PREFIX):
            name = key.removeprefix(RELINQUISHED_PREFIX)
            self._update_record(self._relinquished, name, item, RelinquishedRecord)
            self._update_relinquished_at(name)
        elif key.startswith(SUSPICIONS_PREFIX):
            name = key.removeprefix(SUSPICIONS_PREFIX)
            self._update_record(self._suspicions, name, item, SuspicionRecord)

    def _update_name(self, name: str, present: bool) -> None:
        if present == (name in self._names):
            return
        if self._mirror.loaded.is_set():
            self._drop_old_names(now_s())
            self._earlier_names.append((now_s(), frozenset(self._names)))
        change = self._names.add if present else self._names.discard
        change(name)

    def _drop_old_names(self, at_s: float) -> None:
        earlier = self._earlier_names
        while earlier and earlier[0][0] < at_s - UNADOPTED_CLAIM_S:
            earlier.popleft()

    def _update_record(
        self,
        records: dict[str, dict[str, Any]],
        name: str,
        item: Item | None,
        kind: type,
    ) -> None:
        group, _, incarnation = name.rpartition("/")
        record = self._decode(item, kind) if item is not None else None
        if record is not None:
            records.setdefault(group, {})[incarnation] = record
        else:
            records.get(group, {}).pop(incarnation, None)

    def _update_relinquished_at(self, name: str) -> None:
        group, _, incarnation = name.rpartition("/")
        record = self._relinquished.get(group, {}).get(incarnation)
        revision, _ = self._relinquished_at_s.get((group, incarnation), (None, 0.0))
        # A host writes its record again under its next lease.
        if record is not None and record.revision != revision:
            self._relinquished_at_s[group, incarnation] = (record.revision, now_s())

    def _update_host(self, incarnation: str, item: Item | None) -> None:
        record = self._decode(item, HostRecord) if item is not None else None
        if record is not None and record == self.hosts.get(incarnation):
            self._revisions[incarnation] = item.revision
            return
        if record is not None and self._has_later_incarnation(record, item.revision):
            # The items of a listing are not in the order of their revisions.
            return
        if record is None:
            known = self.hosts.pop(incarnation, None)
            if known is not None:
                del self._revisions[incarnation], self._incarnations[known.name]
                self._left_at_s[incarnation] = now_s()
        else:
            self._remove_earlier_incarnations(record)
            self.hosts[incarnation] = record
            self._revisions[incarnation] = item.revision
            self._incarnations[record.name] = incarnation
            self._left_at_s.pop(incarnation, None)

    def _has_later_incarnation(self, record: HostRecord, revision: int) -> bool:
        return any(
            known.name == record.name
            and known.incarnation != record.incarnation
            and self._revisions[known.incarnation] > revision
            for known in self.hosts.values()
        )

    def _update_serving(self, name: str, item: Item | None) -> None:
        group, _, incarnation = name.rpartition("/")
        serving = self._serving.setdefault(group, set())
        if item is not None:
            serving.add(incarnation)
            self._stopped_serving_at_s.pop((group, incarnation), None)
        elif incarnation in serving:
            serving.discard(incarnation)
            self._stopped_serving_at_s[group, incarnation] = now_s()

    def _remove_earlier_incarnations(self, record: HostRecord) -> None:
        """Remove the earlier incarnations of a host, which can't run twice."""
        for incarnation, known in list(self.hosts.items()):
            if known.name == record.name and incarnation != record.incarnation:
                del self.hosts[incarnation], self._revisions[incarnation]
        for incarnation in list(self._left_at_s):
            if _is_earlier(incarnation, record):
                del self._left_at_s[incarnation]
        for group, incarnation in list(self._stopped_serving_at_s):
            if _is_earlier(incarnation, record):
                del self._stopped_serving_at_s[group, incarnation]
        for serving in self._serving.values():
            serving -= {host for host in serving if _is_earlier(host, record)}

    def _decode(self, item: Item, kind: type):
        try:
            record = decode(item.value, kind)
            if isinstance(record, HostRecord):
                Address.parse(record.links)
        except (msgspec.MsgspecError, SettingsError) as exc:
            logger.warning("ignored malformed record %r: %s", item.key, exc)
            return None
        return record
