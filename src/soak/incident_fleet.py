"""The fleet of the incident form: six hosts in front of three judged groups."""

import asyncio
import contextlib
import random
from pathlib import Path

from soak.fleet import HEARTBEAT_S, MAX_CONNECTIONS, MAX_MISSED_HEARTBEATS
from soak.hosts import HostProcess
from soak.judged_group import JudgedGroup, JudgedInstance
from soak.proxy import FaultyProxy
from standins.http_store import PlatformService, RouteSpec
from standins.line_group import HOST
from wasabipitch.models import Address

HOST_COUNT = 6
GROUPS = ("alpha", "beta", "gamma")
# The read consistency of the databases of each group: kind and maximum age in ms.
KINDS = (("primary", 0), ("bounded_stale", 1500), ("read_your_writes", 2500))


def name_database(group: str, kind: str) -> str:
    """Return the name of the database of a group with a read consistency."""
    return f"{group}-{kind}"


class IncidentFleet:
    """An async context manager that runs hosts, groups and the platform's store.

    Args:
        folder: The directory for the hosts' settings and logs.
        rng: The source of the random choices of the groups.
    """

    def __init__(self, folder: Path, rng: random.Random) -> None:
        self.groups = {
            name: JudgedGroup(name, random.Random(rng.random())) for name in GROUPS
        }
        self.platform = PlatformService(self.groups)
        self.platform.promotion_delay_s = 0.0
        self.hosts: list[HostProcess] = []
        self.store_proxies: list[FaultyProxy] = []
        # The names of instances that are registered as about to stop.
        self.leaving: set[str] = set()
        self._folder = folder
        self._proxies: dict[str, FaultyProxy] = {}
        self._missed_heartbeats: dict[str, int] = {}
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "IncidentFleet":
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    async def _start(self) -> None:
        await self.platform.start()
        self._stack.push_async_callback(self.platform.close)
        for group in self.groups.values():
            self._stack.push_async_callback(group.stop)
            for instance in group.instances.values():
                await self._start_instance(instance)
            group.on_change = self.register_all
            follower = asyncio.ensure_future(group.follow())
            self._stack.callback(follower.cancel)
        routes = {
            group: [
                RouteSpec(name_database(group, kind), kind, ms) for kind, ms in KINDS
            ]
            for group in self.groups
        }
        self.platform.configure_groups(1, routes, MAX_CONNECTIONS)
        for number in range(1, HOST_COUNT + 1):
            proxy = await self._start_proxy(Address(HOST, self.platform.port))
            self.store_proxies.append(proxy)
            host = HostProcess(number, proxy.address, self._folder)
            self._stack.push_async_callback(host.kill)
            self.hosts.append(host)
        task = asyncio.ensure_future(self._run_heartbeats())
        self._stack.callback(task.cancel)
        for host in self.hosts:
            host.write_settings([other.links for other in self.hosts])
            await host.start()

    async def _start_instance(self, instance: JudgedInstance) -> None:
        instance.max_connections = MAX_CONNECTIONS
        await instance.start()
        proxy = await self._start_proxy(Address(HOST, instance.port))
        self._proxies[instance.name] = proxy

    async def _start_proxy(self, target: Address) -> FaultyProxy:
        proxy = FaultyProxy(target)
        await proxy.start()
        self._stack.push_async_callback(proxy.close)
        return proxy

    async def replace(self, old: JudgedInstance) -> JudgedInstance:
        """End an instance that drains, and start a new one with its log."""
        group = old.group
        await old.stop()
        new = group.add()
        new.log, new.applied, new.term = list(old.log), len(old.log), old.term
        del group.instances[old.name]
        self.leaving.discard(old.name)
        self.platform.deregister(old.name)
        await self._start_instance(new)
        self.register_all()
        return new

    def register_all(self) -> None:
        """Let every instance that reaches the store register if it has changed."""
        for group in self.groups.values():
            for instance in group.instances.values():
                if instance.reaches_peers and instance.name in self._proxies:
                    self._missed_heartbeats[instance.name] = 0
                    address = self._proxies[instance.name].address
                    leaving = instance.name in self.leaving
                    self.platform.register(instance, address, leaving)

    async def _run_heartbeats(self) -> None:
        while True:
            if not self.platform.store.down:
                self.register_all()
            for group in self.groups.values():
                for name, instance in group.instances.items():
                    if not instance.reaches_peers:
                        self._miss_heartbeat(name)
            await asyncio.sleep(HEARTBEAT_S)

    def _miss_heartbeat(self, name: str) -> None:
        self._missed_heartbeats[name] = self._missed_heartbeats.get(name, 0) + 1
        if self._missed_heartbeats[name] >= MAX_MISSED_HEARTBEATS:
            self.platform.deregister(name)
