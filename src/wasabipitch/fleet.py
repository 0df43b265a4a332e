"""Queries all processes of a deployment at once, for ``wasabipitch-ctl``."""

import asyncio
import os
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from wasabipitch.events import Clock
from wasabipitch.exceptions import StoreError, WasabipitchError
from wasabipitch.members import new_incarnation
from wasabipitch.messages import (
    AskEvents,
    AskStatus,
    Event,
    Events,
    GroupState,
    Hello,
    Message,
    ProcessState,
)
from wasabipitch.models import Host
from wasabipitch.peer_links import PeerLinks
from wasabipitch.store import Store

QUERY_TIMEOUT_S = 3.0
MAX_CONCURRENT_QUERIES = 100
PROCESS_ROLES = ("entry", "pool")


@dataclass(frozen=True, slots=True)
class UnresponsiveProcess:
    """A process that did not answer a query.

    Args:
        host: The process's name.
        reason: The error message of the failed query.
    """

    host: str
    reason: str


@dataclass(frozen=True, slots=True)
class FleetState:
    """The states of all processes.

    Args:
        processes: The states of the processes that answered, sorted by name.
        silent: The processes that did not answer.
    """

    processes: tuple[ProcessState, ...]
    silent: tuple[UnresponsiveProcess, ...]

    def behind(self, revision: int) -> tuple[ProcessState, ...]:
        """Return the processes whose configuration is older than a revision."""
        return tuple(p for p in self.processes if p.revision < revision)

    def group_states(self, name: str) -> tuple[GroupState, ...]:
        """Return a group's state from each pool that serves it, by owner rank."""
        states = [g for p in self.processes for g in p.groups if g.name == name]
        return tuple(sorted(states, key=lambda g: g.rank))

    def serving_pools(self, group: str) -> tuple[ProcessState, ...]:
        """Return the pools that serve a group, sorted by owner rank."""
        serving = [
            (g.rank, p.host.name, p)
            for p in self.processes
            for g in p.groups
            if g.name == group
        ]
        return tuple(p for _, _, p in sorted(serving, key=lambda s: s[:2]))


@dataclass(frozen=True, slots=True)
class FleetEvents:
    """The events of all processes.

    Args:
        events: The events of the processes that answered, oldest first.
        silent: The processes that did not answer.
    """

    events: tuple[Event, ...]
    silent: tuple[UnresponsiveProcess, ...]


class Fleet:
    """The processes of a deployment, with a link to each.

    Args:
        store: The platform's store, which lists the processes.
        known: The processes to ask instead of the listed ones, for use when the
            platform does not answer.
    """

    def __init__(self, store: Store, known: Sequence[Host] = ()) -> None:
        name = f"ctl-{os.getpid()}"
        hello = Hello(Host(name, "ctl", "127.0.0.1:0", ""), new_incarnation())
        self.links = PeerLinks(hello, Clock())
        self._store = store
        self._known = tuple(known)

    async def __aenter__(self) -> "Fleet":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.links.close()

    async def list_hosts(self) -> tuple[Host, ...]:
        """Return the processes to ask.

        Raises:
            StoreError: The platform has no list of hosts or does not answer.
        """
        if self._known:
            return self._known
        listed = await self._store.hosts()
        if listed is None:
            raise StoreError("the platform lists no hosts")
        return tuple(h for h in listed.hosts if h.role in PROCESS_ROLES)

    async def ask_status(self) -> FleetState:
        """Ask every process for its state."""
        answers, silent = await self._query_all(AskStatus())
        states = [a for a in answers if isinstance(a, ProcessState)]
        states.sort(key=lambda p: p.host.name)
        return FleetState(tuple(states), silent)

    async def ask_events(self, ask: AskEvents) -> FleetEvents:
        """Ask every process for matching events; keep the latest up to the limit."""
        answers, silent = await self._query_all(ask)
        found = [e for a in answers if isinstance(a, Events) for e in a.events]
        found.sort(key=lambda event: (event.clock, event.host))
        return FleetEvents(tuple(found[-ask.limit :]), silent)

    async def _query_all(
        self, message: Message
    ) -> tuple[list[Message], tuple[UnresponsiveProcess, ...]]:
        hosts = await self.list_hosts()
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

        async def query(host: Host) -> Message | UnresponsiveProcess:
            async with semaphore:
                try:
                    return await self.links.find(host).call(message, QUERY_TIMEOUT_S)
                except WasabipitchError as exc:
                    return UnresponsiveProcess(host.name, exc.message)

        replies = await asyncio.gather(*(query(host) for host in hosts))
        return (
            [reply for reply in replies if not isinstance(reply, UnresponsiveProcess)],
            tuple(reply for reply in replies if isinstance(reply, UnresponsiveProcess)),
        )


def make_hosts(addresses: Iterable[str]) -> tuple[Host, ...]:
    """Return hosts for link addresses.

    The address also serves as the name, and the role is always ``pool``, since
    the address alone tells neither.
    """
    return tuple(Host(a, "pool", a, "") for a in addresses)
