"""The fleet of a run: host processes, stand-ins and proxies between them."""

import asyncio
import contextlib
import itertools
from collections import deque
from pathlib import Path

from soak.hosts import HostProcess
from soak.keys import REVOCATION_S, Withdrawals, make_accounts
from soak.platform_names import load_writing
from soak.proxy import FaultyProxy
from standins.http_store import PlatformService, RouteSpec
from standins.line_group import HOST, LineGroup, LineInstance
from standins.memory_store import StoreCopy
from wasabipitch.models import Address

GROUP = "ledger"
MAX_CONNECTIONS = 24
# How often instances write their registration and replaced primaries are demoted.
HEARTBEAT_S = 0.3
# The operator adds a route once in so many heartbeats and removes the one before.
CHANGE_HEARTBEATS = 5
# Copies of the store are kept for this long, one for each heartbeat.
MAX_COPY_AGE_S = 12.0
# A registration is removed after this many heartbeats of a stopped instance.
MAX_MISSED_HEARTBEATS = 4
ROUTES = (
    RouteSpec("payments", "primary"),
    RouteSpec("status", "bounded_stale", 1500),
    RouteSpec("bookings", "read_your_writes", 2500),
)


class SoakFleet:
    """An async context manager that runs hosts, a group and the platform's store.

    Args:
        folder: The directory for the hosts' settings and logs.
        count: The number of hosts.
        has_keys: Whether the configuration has client accounts, whose keys change with
            each version.
    """

    def __init__(self, folder: Path, count: int, has_keys: bool = False) -> None:
        self.group = LineGroup(GROUP)
        self.platform = PlatformService({GROUP: self.group})
        self.hosts: list[HostProcess] = []
        self.store_proxies: list[FaultyProxy] = []
        self.instance_proxies: dict[str, FaultyProxy] = {}
        # The names of instances that are registered as about to stop.
        self.leaving: set[str] = set()
        # The version of the operator's configuration, and whether it still changes.
        self.version = 1
        self.is_changing = True
        # When the store last held each key that the operator withdraws.
        self.withdrawals = Withdrawals()
        self._writing = load_writing() if has_keys else None
        # The latest copies of the store, the oldest first.
        self.copies: deque[StoreCopy] = deque(maxlen=int(MAX_COPY_AGE_S / HEARTBEAT_S))
        self._folder = folder
        self._host_count = count
        self._missed_heartbeats: dict[str, int] = {}
        self._stack = contextlib.AsyncExitStack()

    @property
    def proxies(self) -> list[FaultyProxy]:
        """The proxies in front of the store and of the instances."""
        return [*self.store_proxies, *self.instance_proxies.values()]

    async def __aenter__(self) -> "SoakFleet":
        await self.group.start()
        self._stack.push_async_callback(self.group.stop)
        await self.platform.start()
        self._stack.push_async_callback(self.platform.close)
        for name, instance in self.group.instances.items():
            instance.max_connections = MAX_CONNECTIONS
            target = Address(HOST, instance.port)
            self.instance_proxies[name] = await self._start_proxy(target)
        self._configure()
        for number in range(1, self._host_count + 1):
            proxy = await self._start_proxy(Address(HOST, self.platform.port))
            self.store_proxies.append(proxy)
            host = HostProcess(number, proxy.address, self._folder)
            self._stack.push_async_callback(host.kill)
            self.hosts.append(host)
        task = asyncio.ensure_future(self._run_heartbeats())
        self._stack.callback(task.cancel)
        for host in self.hosts:
            bounds = {}
            if self._writing is not None:
                bounds = self._writing.encode_revocation(REVOCATION_S)
            host.write_settings([other.links for other in self.hosts], bounds)
            await host.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    async def heal(self) -> None:
        """End all faults and restart stopped instances and hosts."""
        for proxy in self.proxies:
            proxy.heal()
        self.platform.delay_s = 0.0
        self.platform.store.down = False
        self.platform.store.lost_answers = 0
        self.leaving.clear()
        self.is_changing = False
        for instance in self.group.instances.values():
            instance.replication_blocked, instance.lag_s, instance.lost_answers = (
                False,
                0.0,
                0,
            )
            if not instance.is_running:
                await instance.start()
        for host in self.hosts:
            host.resume()
            await host.start()

    async def _start_proxy(self, target: Address) -> FaultyProxy:
        proxy = FaultyProxy(target)
        await proxy.start()
        self._stack.push_async_callback(proxy.close)
        return proxy

    @property
    def newest_database(self) -> str:
        """The database whose route the newest configuration added."""
        return f"added-{self.version}"

    def _configure(self) -> None:
        added = RouteSpec(self.newest_database, "primary")
        routes = (*ROUTES, added)
        fields = {}
        if self._writing is not None:
            # The keys that this version withdraws were held until now.
            self._record_held_keys()
            fields = self._writing.encode_accounts(make_accounts(self.version))
        self.platform.configure(self.version, GROUP, routes, MAX_CONNECTIONS, fields)

    def _record_held_keys(self) -> None:
        version = self.platform.read_version()
        if version is not None:
            self.withdrawals.record_held(make_accounts(version))

    async def _run_heartbeats(self) -> None:
        for beat in itertools.count(1):
            if self.is_changing and beat % CHANGE_HEARTBEATS == 0:
                self.version += 1
            # A store that returned from an older copy has an older version.
            self._configure()
            if any(i.is_primary and i.is_running for i in self._instances()):
                self.group.demote_replaced()
            for instance in self._instances():
                self._update_registration(instance)
            self.copies.append(self.platform.store.copy())
            await asyncio.sleep(HEARTBEAT_S)

    def _instances(self) -> list[LineInstance]:
        return list(self.group.instances.values())

    def _update_registration(self, instance: LineInstance) -> None:
        name = instance.name
        if not instance.is_running:
            self._missed_heartbeats[name] = self._missed_heartbeats.get(name, 0) + 1
            if self._missed_heartbeats[name] >= MAX_MISSED_HEARTBEATS:
                self.platform.deregister(name)
            return
        self._missed_heartbeats[name] = 0
        address = self.instance_proxies[name].address
        self.platform.register(instance, address, name in self.leaving)
