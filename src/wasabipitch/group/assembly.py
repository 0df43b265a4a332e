"""The groups that a host serves, each with its parts, as the store has them."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from wasabipitch import tasks
from wasabipitch.coordination.documents import (
    GROUPS_PREFIX,
    Configuration,
    GroupRecord,
    GroupSettings,
    InstanceEntry,
    decode,
)
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.presence import Presence
from wasabipitch.coordination.roster import Roster
from wasabipitch.coordination.store import CoordinationStore, Item, Promoter
from wasabipitch.group.detour import DetourRunner
from wasabipitch.group.keeper import GroupKeeper
from wasabipitch.group.peers import GroupPeers, report_position
from wasabipitch.group.remote import RemoteRunner
from wasabipitch.group.runner import GroupRunner
from wasabipitch.group.state import GroupState
from wasabipitch.instances.dispatcher import Dispatcher
from wasabipitch.linkbook import LinkBook
from wasabipitch.models import Host
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.operations.measures import Gauge
from wasabipitch.peer_messages import PositionReport
from wasabipitch.policy.ownership import (
    choose_owners,
    connections_per_owner,
    count_owners,
    order_owners,
)
from wasabipitch.wire.codecs import InstanceCodec


@dataclass(frozen=True, slots=True)
class Group:
    """A group's parts on this host."""

    state: GroupState
    dispatcher: Dispatcher
    peers: GroupPeers
    runner: GroupRunner
    remote: RemoteRunner
    detour: DetourRunner
    task: asyncio.Task

    def close(self) -> None:
        """Stop looking after it and close all connections."""
        self.task.cancel()
        self.peers.close()
        self.dispatcher.close()


class HostGroups:
    """All groups of the configuration, on one host.

    Args:
        host: this one.
        read_instances: returns a group's registered instances, by name.
    """

    def __init__(
        self,
        host: Host,
        codec: InstanceCodec,
        store: CoordinationStore,
        promoter: Promoter,
        mirror: StoreMirror,
        presence: Presence,
        roster: Roster,
        links: LinkBook,
        decisions: DecisionLog,
        read_instances: Callable[[str], dict[str, InstanceEntry]],
    ) -> None:
        self._host = host
        self._codec = codec
        self._store = store
        self._promoter = promoter
        self._mirror = mirror
        self._presence = presence
        self._roster = roster
        self._links = links
        self._decisions = decisions
        self._read_instances = read_instances
        self._groups: dict[str, Group] = {}
        mirror.subscribe(self._note_record)
        mirror.on_confirmed(self.wake)

    @property
    def are_settled(self) -> bool:
        """Whether any group has a record."""
        return any(g.state.record is not None for g in self._groups.values())

    def find_state(self, name: str) -> GroupState | None:
        """Return what this host believes of a group, or None if it is unknown."""
        found = self._groups.get(name)
        return found.state if found else None

    def read_gauges(self) -> list[Gauge]:
        """Return each group's present values."""
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
        """Stop looking after the groups and close all connections."""
        for group in self._groups.values():
            group.close()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Follow a newer configuration: add, change and drop groups."""
        for name in set(self._groups) - set(configuration.groups):
            self._groups.pop(name).close()
        for settings in configuration.groups.values():
            if settings.name not in self._groups:
                self._groups[settings.name] = self._make_group(settings)
            self._groups[settings.name].state.settings = settings
            self.update_group(settings.name)

    def _make_state(self, settings: GroupSettings) -> GroupState:
        presence, mirror, name = self._presence, self._mirror, settings.name
        return GroupState(
            settings,
            lambda: presence.count_confirmation(name, mirror.confirmed_at_s),
            self._decisions,
            lambda: presence.is_serving(name),
        )

    def _make_group(self, settings: GroupSettings) -> Group:
        state = self._make_state(settings)
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
        )
        peers.on_learned = dispatcher.dispatch
        runner = GroupRunner(state, dispatcher, self._codec, peers, self._decisions)
        keeper = GroupKeeper(
            state,
            dispatcher,
            self._codec,
            self._store,
            self._promoter,
            self._mirror,
            self._presence,
            self._roster,
            self._decisions,
        )
        self._load_record(state, self._mirror.items.get(GROUPS_PREFIX + state.name))
        remote = RemoteRunner(
            state.name,
            self._links,
            lambda: self._list_fellow_owners(state),
            self._decisions,
        )
        detour = DetourRunner(state, runner, remote)
        task = tasks.spawn_supervised(keeper.run, f"keeper of {state.name}")
        return Group(state, dispatcher, peers, runner, remote, detour, task)

    def update_group(self, name: str) -> None:
        """Follow the instances, the owners and the limits of a group."""
        group = self._groups.get(name)
        if group is None:
            return
        state = group.state
        state.entries = self._read_instances(name)
        centres = self._roster.find_data_centres()
        centres.setdefault(self._host.name, self._host.data_centre)
        limit = state.settings.max_connections
        state.owners = choose_owners(name, centres, count_owners(limit, len(centres)))
        part = connections_per_owner(limit, len(state.owners))
        is_owner = self._host.name in state.owners
        owners = len(state.owners)
        group.dispatcher.update(state.entries, part if is_owner else 0, owners)
        self._presence.serve(
            found.state.name
            for found in self._groups.values()
            if self._host.name in found.state.owners
        )
        state.wake()

    def resize(self) -> None:
        """Divide connections anew: hosts came or went."""
        for name in self._groups:
            self.update_group(name)

    def wake(self) -> None:
        """Let those who wait for a primary look again."""
        for group in self._groups.values():
            group.state.wake()

    def _note_record(self, key: str, item: Item | None) -> None:
        group = self._groups.get(key.removeprefix(GROUPS_PREFIX))
        if group is not None and key.startswith(GROUPS_PREFIX):
            self._load_record(group.state, item)

    def _load_record(self, state: GroupState, item: Item | None) -> None:
        if item is None or item.revision <= state.record_revision:
            return
        state.set_record(decode(item.value, GroupRecord), item.revision)

    def find_runner(self, group: str) -> DetourRunner | RemoteRunner | None:
        """Return what runs a group's statements, or None if it is unknown."""
        found = self._groups.get(group)
        if found is None:
            return None
        if self._host.name in found.state.owners or not found.state.owners:
            return found.detour
        return found.remote

    def find_local_runner(self, group: str) -> GroupRunner | None:
        """Return what runs a group's statements here, as its owner."""
        found = self._groups.get(group)
        return found.runner if found else None

    def report_position(self, group: str) -> PositionReport:
        """Return the latest position of a group's primary seen here, for a peer."""
        found = self._groups.get(group)
        return PositionReport(False) if found is None else report_position(found.state)

    def give_back_connections(self, group: str, instance: str) -> None:
        """Close unused connections to an instance, which a peer needs."""
        found = self._groups.get(group)
        if found is not None:
            found.dispatcher.release_unused(instance)

    def _list_fellow_owners(self, state: GroupState) -> list[Host]:
        owners = self._list_owners(state)
        return [owner for owner in owners if owner.name != self._host.name]

    def _list_owners(self, state: GroupState) -> list[Host]:
        centres = self._roster.find_data_centres()
        owners = {name: centres[name] for name in state.owners if name in centres}
        order = order_owners(
            state.name, self._host.name, self._host.data_centre, owners
        )
        return [self._roster.find_host(name) for name in order]
