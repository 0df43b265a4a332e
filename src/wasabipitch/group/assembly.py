"""Builds the components of each configured group and keeps them up to date."""

import asyncio
from collections.abc import Callable

import msgspec

from wasabipitch import tasks
from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import (
    GROUPS_PREFIX,
    Configuration,
    GroupSettings,
    InstanceEntry,
    read_group_record,
)
from wasabipitch.coordination.live_hosts import LiveHosts
from wasabipitch.coordination.members import GroupMembers
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.registration import HostRegistration
from wasabipitch.coordination.store import CoordinationStore, Item, Promoter
from wasabipitch.coordination.writers import CommitWriters
from wasabipitch.group.bookkeeping import find_members
from wasabipitch.group.forwarding import ForwardingRunner
from wasabipitch.group.peers import GroupPeers, report_position
from wasabipitch.group.recovery import (
    RecordRecovery,
    is_from_copy,
    report_record,
)
from wasabipitch.group.remote import RemoteRunner
from wasabipitch.group.runner import GroupRunner
from wasabipitch.group.state import GroupState
from wasabipitch.group.supervisor import GroupSupervisor
from wasabipitch.instances.dispatcher import Dispatcher
from wasabipitch.instances.pool import SHARE_TAKEOVER_S, InstancePool
from wasabipitch.models import Host
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.operations.measures import Gauge
from wasabipitch.peer_links import PeerLinks
from wasabipitch.peer_messages import PositionReport, RecordReport
from wasabipitch.policy.locality import DEFAULT_CROSSING_COST_S
from wasabipitch.policy.ownership import (
    choose_owners,
    connections_per_owner,
    count_owners,
    order_owners,
)
from wasabipitch.policy.succession import find_gone_members
from wasabipitch.policy.suspicion import SILENT_S
from wasabipitch.wire.codecs import InstanceCodec


class Group(msgspec.Struct, frozen=True):
    """The objects that serve one group on this host."""

    state: GroupState
    dispatcher: Dispatcher
    peers: GroupPeers
    runner: GroupRunner
    remote: RemoteRunner
    forwarding: ForwardingRunner
    task: asyncio.Task

    def close(self) -> None:
        """Stop supervising the group and close all connections."""
        self.task.cancel()
        self.peers.close()
        self.dispatcher.close()


class HostGroups:
    """Manages all groups of the configuration on one host.

    Args:
        host: This host.
        codec: Encodes the messages to instances.
        store: The store for records.
        promoter: Promotes instances.
        mirror: The local copy of the store.
        registration: This host's registration in the store.
        live_hosts: The hosts that are alive according to the store.
        links: The links to the peers.
        decisions: The log of decisions.
        read_instances: Returns a group's registered instances, by name.
        crossing_cost_s: What a crossing between data centres is worth; see
            ``policy.locality``.
    """

    def __init__(
        self,
        host: Host,
        codec: InstanceCodec,
        store: CoordinationStore,
        promoter: Promoter,
        mirror: StoreMirror,
        registration: HostRegistration,
        live_hosts: LiveHosts,
        links: PeerLinks,
        decisions: DecisionLog,
        read_instances: Callable[[str], dict[str, InstanceEntry]],
        crossing_cost_s: float = DEFAULT_CROSSING_COST_S,
    ) -> None:
        self._host = host
        self._codec = codec
        self._store = store
        self._promoter = promoter
        self._mirror = mirror
        self._registration = registration
        self._live_hosts = live_hosts
        self._writers = CommitWriters(mirror, live_hosts)
        self._members = GroupMembers(mirror)
        self._links = links
        self._decisions = decisions
        self._read_instances = read_instances
        self._crossing_cost_s = crossing_cost_s
        self._groups: dict[str, Group] = {}
        self._has_accounts = False
        # The states of all groups that this host ever had. The store goes on to list it
        # as a writer of a group that the configuration lacks for a while.
        self._states: dict[str, GroupState] = {}
        # Until when this host counts as one that joins others, and the groups in which
        # it has done so. None until the local copy of the store was loaded.
        self._joins_until_s: float | None = None
        self._joined: set[str] = set()
        mirror.subscribe(self._apply_record)
        mirror.on_applied(self._record_start)
        mirror.on_confirmed(self.wake)

    @property
    def have_records(self) -> bool:
        """Whether any group has a record."""
        return any(g.state.record is not None for g in self._groups.values())

    def find_state(self, name: str) -> GroupState | None:
        """Return the state of a group, or None if the group is unknown."""
        found = self._groups.get(name)
        return found.state if found else None

    def read_gauges(self) -> list[Gauge]:
        """Return the current gauges of all groups."""
        gauges = []
        for name, group in self._groups.items():
            state, labels = group.state, (("group", name),)
            owner = self._host.name in state.owners
            term = state.record.term if state.record else 0
            gauges += [
                Gauge("group_owner", labels, owner),
                Gauge("group_term", labels, term),
                Gauge("group_changing", labels, state.is_changing),
                Gauge("requests_waiting", labels, group.dispatcher.waiting),
                Gauge("commits_under_way", labels, state.commits_under_way),
            ]
            gauges += group.dispatcher.read_gauges(name)
        return gauges

    def close(self) -> None:
        """Stop supervising the groups and close all connections."""
        for group in self._groups.values():
            group.close()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a newer configuration: add, change and remove groups.

        Most versions change routes only, and recomputing a group takes as long as the
        hashes of all hosts.
        """
        had_accounts = self._has_accounts
        self._has_accounts = bool(configuration.accounts)
        removed = set(self._groups) - set(configuration.groups)
        for name in removed:
            self._groups.pop(name).close()
        changed = [
            settings
            for settings in configuration.groups.values()
            if self._has_accounts != had_accounts or not self._has_settings(settings)
        ]
        for settings in changed:
            if settings.name not in self._groups:
                self._groups[settings.name] = self._make_group(settings)
            self._groups[settings.name].state.settings = settings
            self.update_group(settings.name)
        if removed and self._groups and not changed:
            self._serve_owned_groups()

    def _has_settings(self, settings: GroupSettings) -> bool:
        group = self._groups.get(settings.name)
        return group is not None and group.state.settings == settings

    def _make_state(self, settings: GroupSettings) -> GroupState:
        registration, mirror, name = self._registration, self._mirror, settings.name

        def read_confirmed_at_s() -> float:
            at_s = mirror.confirmed_at_s
            if state.record is not None:
                at_s = mirror.find_confirmation(state.record_revision)
            return registration.validate_confirmation(name, at_s)

        state = GroupState(
            settings,
            read_confirmed_at_s,
            self._decisions,
            lambda: registration.is_serving(name),
        )
        state.is_relinquished = lambda: self._live_hosts.all_relinquished(
            name, state.record_revision
        )
        return state

    def _make_group(self, settings: GroupSettings) -> Group:
        state = self._states.get(settings.name)
        if state is None:
            state = self._states[settings.name] = self._make_state(settings)
        peers = GroupPeers(
            state,
            self._links,
            lambda: self._list_fellow_owners(state),
            self._decisions,
        )
        dispatcher = Dispatcher(
            self._codec,
            self._decisions,
            self._host.data_centre,
            state.is_primary,
            peers.request_connections,
            self._crossing_cost_s,
        )
        peers.on_position_added = dispatcher.dispatch
        runner = GroupRunner(state, dispatcher, self._codec, peers, self._decisions)
        recovery = RecordRecovery(
            state,
            self._mirror,
            self._codec,
            self._links,
            lambda: self._list_peers(state),
            self._live_hosts.count_names,
            lambda: self._registration.may_serve(state.name),
            self._registration.record.incarnation,
            self._decisions,
        )
        supervisor = GroupSupervisor(
            state,
            dispatcher,
            self._codec,
            self._store,
            self._promoter,
            self._mirror,
            self._registration,
            self._live_hosts,
            recovery,
            self._writers,
            self._members,
            self._decisions,
        )
        state.is_blocked = lambda: self._is_blocked(state, dispatcher)
        self._load_record(state, self._mirror.items.get(GROUPS_PREFIX + state.name))
        remote = RemoteRunner(
            state.name,
            self._links,
            lambda: self._list_fellow_owners(state),
            self._decisions,
            lambda account: self._list_fellow_owners(state, account),
        )
        forwarding = ForwardingRunner(
            state,
            runner,
            remote,
            dispatcher.has_connection,
            lambda account: self._find_account_owner(state, account),
        )
        task = tasks.spawn_supervised(supervisor.run, f"supervisor of {state.name}")
        return Group(state, dispatcher, peers, runner, remote, forwarding, task)

    def _is_blocked(self, state: GroupState, dispatcher: Dispatcher) -> bool:
        """Return whether a replacement has to wait for instances to answer.

        No host answers for the commits of a host that has ended, or a host has sent
        commits without reading their answers, and an instance that may hold some of
        them is gone or can't be reached from here.
        """
        record, name = state.record, state.name
        if record is None:
            return False
        unreported = self._writers.find_unreported(name, state.record_revision)
        ended = self._writers.find_ended(name).keys() & set(unreported)
        if not ended and not self._live_hosts.find_unanswered(
            name, state.record_revision
        ):
            return False
        pools = dispatcher.pools
        gone = find_gone_members(
            self._members.find(name).known, find_members(state.entries)
        )
        return any(member.name != record.primary for member in gone) or any(
            _is_unreachable(pool)
            for instance, pool in pools.items()
            if instance != record.primary
        )

    def update_group(self, name: str) -> None:
        """Recompute the instances, the owners and the connection share of a group."""
        group = self._groups.get(name)
        if group is None:
            return
        state = group.state
        state.entries = self._read_instances(name)
        self._members.add_registered(name, find_members(state.entries))
        centres = self._live_hosts.find_data_centres()
        centres.setdefault(self._host.name, self._host.data_centre)
        limit = state.settings.max_connections
        state.owners = choose_owners(
            name,
            centres,
            count_owners(limit, len(centres)),
            self._live_hosts.find_strong_hosts(),
        )
        is_owner = self._host.name in state.owners
        owners = len(state.owners)
        share = connections_per_owner(limit, self._count_expected_owners(limit, owners))
        group.dispatcher.update(
            state.entries,
            share if is_owner else 0,
            owners,
            self._has_accounts,
            is_owner and self._is_joining(name),
        )
        self._serve_owned_groups()
        state.wake()

    def _serve_owned_groups(self) -> None:
        self._registration.serve(
            found.state.name
            for found in self._groups.values()
            if self._host.name in found.state.owners
        )

    def _count_expected_owners(self, limit: int, owners: int) -> int:
        """Return the number of owners among which connections are divided.

        After a loss of power the hosts register one after another. Where connections
        belong to accounts and may not exceed the limit even for a moment, the names of
        the hosts that ran before count already.
        """
        if not self._has_accounts or self._live_hosts.all_registered():
            return owners
        return max(owners, count_owners(limit, self._live_hosts.count_names()))

    def _record_start(self) -> None:
        """Record whether this host is new, or runs again and has its former share."""
        if self._joins_until_s is None:
            is_known = self._live_hosts.is_named(self._host.name)
            self._joins_until_s = 0.0 if is_known else now_s() + SHARE_TAKEOVER_S
            self.rebalance_connections()

    def _is_joining(self, group: str) -> bool:
        """Return whether other hosts may still hold this host's share of a group."""
        if group in self._joined or now_s() >= (self._joins_until_s or 0.0):
            return False
        own = self._registration.record.incarnation
        if not self._live_hosts.list_serving_hosts(group) - {own}:
            return False
        self._joined.add(group)
        return True

    def rebalance_connections(self) -> None:
        """Recompute the shares of connections after hosts joined or left."""
        for name in self._groups:
            self.update_group(name)

    def wake(self) -> None:
        """Wake the tasks that wait for a change of any group."""
        for group in self._groups.values():
            group.state.wake()

    def _apply_record(self, key: str, item: Item | None) -> None:
        group = self._groups.get(key.removeprefix(GROUPS_PREFIX))
        if group is not None and key.startswith(GROUPS_PREFIX):
            self._load_record(group.state, item)

    def _load_record(self, state: GroupState, item: Item | None) -> None:
        if item is None or item.revision <= state.record_revision:
            return
        record = read_group_record(item)
        if record is not None and not is_from_copy(record, item.revision):
            state.set_record(record, item.revision)

    def find_runner(self, group: str) -> ForwardingRunner | RemoteRunner | None:
        """Return the runner for callers' statements, or None for an unknown group."""
        found = self._groups.get(group)
        if found is None:
            return None
        if self._host.name in found.state.owners or not found.state.owners:
            return found.forwarding
        return found.remote

    def find_local_runner(self, group: str) -> GroupRunner | None:
        """Return the runner for statements that peers send to this host as an owner."""
        found = self._groups.get(group)
        return found.runner if found else None

    def report_position(self, group: str) -> PositionReport:
        """Return the latest position sample of a group for a peer."""
        found = self._groups.get(group)
        return PositionReport(False) if found is None else report_position(found.state)

    def report_record(self, group: str) -> RecordReport:
        """Return the group record that this host has in force, for a peer."""
        return report_record(
            self.find_state(group), self._registration.may_serve(group)
        )

    def close_unused_connections(self, group: str, instance: str) -> None:
        """Close unused connections to an instance so that a peer can open one."""
        found = self._groups.get(group)
        if found is not None:
            found.dispatcher.release_unused(instance)

    def _find_account_owner(self, state: GroupState, account: str) -> Host | None:
        """Return the owner of an account's statements, or None if it is this host."""
        owners = self._list_owners(state, account)
        return owners[0] if owners and owners[0].name != self._host.name else None

    def _list_fellow_owners(self, state: GroupState, account: str = "") -> list[Host]:
        owners = self._list_owners(state, account)
        return [owner for owner in owners if owner.name != self._host.name]

    def _list_peers(self, state: GroupState) -> list[Host]:
        """Return all other hosts, the owners of a group first."""
        owners = {host.name: host for host in self._list_fellow_owners(state)}
        peers = self._live_hosts.list_peers(self._host.name)
        return list((owners | {peer.name: peer for peer in peers}).values())

    def _list_owners(self, state: GroupState, account: str = "") -> list[Host]:
        centres = self._live_hosts.find_data_centres()
        owners = {name: centres[name] for name in state.owners if name in centres}
        order = order_owners(
            state.name, account or self._host.name, self._host.data_centre, owners
        )
        return [self._live_hosts.find_host(name) for name in order]


def _is_unreachable(pool: InstancePool) -> bool:
    if not pool.open and pool.failing_since_s is not None:
        return True
    silent_since_s = pool.silent_since_s
    return silent_since_s is not None and now_s() - silent_since_s > SILENT_S
