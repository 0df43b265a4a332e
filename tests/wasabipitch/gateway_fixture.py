"""A fleet for tests: hosts, a store and a database group in this process."""

import asyncio
import contextlib
import json
import os
import socket

from msgspec.structs import replace

from standins.line_group import HOST, LineGroup
from standins.memory_store import MemoryStore
from tests.adapter import PLATFORM  # noqa: F401 (puts the adapter on the path)
from wasabipitch.coordination.documents import (
    Account,
    Configuration,
    Consistency,
    GroupSettings,
    InstanceEntry,
    Route,
)
from wasabipitch.gateway import Adapters, Gateway, GatewaySettings
from wasabipitch.models import Address

from adapter.wire import LineCallerCodec, LineInstanceCodec  # isort: skip

GROUP = "ledger"
# Another process can't take a port of this address before the host binds it.
OWN_HOST = f"127.{1 + os.getpid() % 200}.{os.getpid() // 200 % 250}.1"
PRIMARY_DB, BOUNDED_DB, OWN_DB = "payments", "status", "bookings"
MAX_AGE_S = 1.5


def make_route(database, consistency, max_age_s=0.0, timeout_s=2.0):
    return Route(database, GROUP, consistency, max_age_s, timeout_s, 0.2, 1)


ROUTES = (
    make_route(PRIMARY_DB, Consistency.PRIMARY),
    make_route(BOUNDED_DB, Consistency.BOUNDED, MAX_AGE_S),
    make_route(OWN_DB, Consistency.OWN_WRITES, MAX_AGE_S),
)


class Documents:
    """Decodes the JSON documents that ``Fleet`` writes to the store."""

    configuration_key = "config"
    instances_prefix = "instances/"

    def decode_configuration(self, item):
        fields = json.loads(item.value)
        routes = [r for r in ROUTES if r.database not in fields.get("dropped", ())]
        public = fields.get("public", ())
        # The keys of each account, by the account's name.
        accounts = fields.get("accounts", {})
        return Configuration(
            fields["version"],
            {r.database: replace(r, public=r.database in public) for r in routes},
            {GROUP: GroupSettings(GROUP, fields.get("connections", 16), 1)},
            fields.get("idle_s", 3.0),
            accounts={name: Account(name) for name in accounts},
            account_names={
                key: name for name, keys in accounts.items() for key in keys
            },
        )

    def decode_configuration_steps(self, item):
        yield
        return self.decode_configuration(item)

    def decode_instance(self, item):
        fields = json.loads(item.value)
        if fields is None:
            return None
        address = Address(HOST, fields.pop("port"))
        return InstanceEntry(address=address, group=GROUP, **fields)


class HostStore:
    """One host's access to the store, which a test can cut.

    Args:
        store: The store that all hosts share.
    """

    def __init__(self, store):
        self.cut = False
        self._store = store

    def read_progress_s(self):
        return self._store.read_progress_s()

    def __getattr__(self, name):
        method = getattr(self._store, name)

        async def call(*args, **kwargs):
            was_down, self._store.down = self._store.down, self._store.down or self.cut
            coroutine = method(*args, **kwargs)
            try:
                # The stand-in checks ``down`` before it first awaits, so the flag can
                # be reset afterwards.
                return await coroutine
            finally:
                if self.cut:
                    self._store.down = was_down

        return call


class Caller:
    """A caller's connection that speaks the line protocol."""

    def __init__(self, reader, writer):
        self._reader, self._writer = reader, writer

    @classmethod
    async def connect(cls, port, database, key="tester"):
        reader, writer = await asyncio.open_connection(HOST, port)
        caller = cls(reader, writer)
        writer.write(f"STARTUP {database} {key}\r\n".encode())
        return caller, (await reader.readline()).decode().strip()

    def send(self, text, request="5c0e"):
        self._writer.write(f"QUERY {request} {text}\r\n".encode())

    async def receive(self):
        """Return the lines of an answer, up to and including ``READY``."""
        lines = []
        while line := (await self._reader.readline()).decode().strip():
            lines.append(line)
            if line.startswith("READY"):
                break
        return lines

    async def ask(self, text, request="5c0e"):
        self.send(text, request)
        async with asyncio.timeout(10):
            return await self.receive()

    async def is_closed(self):
        async with asyncio.timeout(5):
            return not await self._reader.read(1)

    def close(self):
        self._writer.transport.abort()


class Fleet:
    """A group, a store and some hosts.

    Args:
        revocation_s: The time within which the hosts must refuse a withdrawn key.
    """

    def __init__(self, revocation_s=None):
        self.revocation_s = revocation_s
        self.store = MemoryStore()
        self.group = LineGroup(GROUP)
        self.hosts = {}
        self.stores = {}
        self.ports = {}
        self._stack = contextlib.AsyncExitStack()
        self._callers = []

    async def start(self, hosts=1, **configuration):
        await self.group.start()
        self._stack.push_async_callback(self.group.stop)
        for name in self.group.instances:
            self.register(name)
        self.configure(1, **configuration)
        for n in range(hosts):
            await self.add_host(f"host-{n}")
        for name in self.hosts:
            await self.wait_for(lambda name=name: self.is_settled(name))

    async def add_host(self, name):
        listener = socket.create_server((HOST, 0))
        listener.setblocking(False)
        cfg = GatewaySettings(
            host=name,
            data_centre="rome",
            checks=Address(OWN_HOST, _free_port()),
            metrics=None,
            links=Address(OWN_HOST, _free_port()),
            seeds=(),
            store=Address(HOST, 1),
            promoter=Address(HOST, 1),
            grace_s=4.0,
            revocation_s=self.revocation_s,
        )
        store = HostStore(self.store)
        adapters = Adapters(
            LineCallerCodec(), LineInstanceCodec(), Documents(), store, self.group
        )
        gateway = Gateway(cfg, adapters, None)
        await gateway.start(listener)
        self.hosts[name], self.stores[name] = gateway, store
        self.ports[name] = listener.getsockname()[1]

    def register(self, name, **changes):
        instance = self.group.instances[name]
        fields = {
            "name": name,
            "port": instance.port,
            "data_centre": "rome",
            "slots": 2,
            "leaving": False,
            "is_primary": instance.is_primary,
            "cold_ms": 0,
            "born_ms": 1,
        }
        value = json.dumps({**fields, **changes}).encode()
        self.store.put(f"instances/{name}", value)

    def configure(self, version, **fields):
        value = json.dumps({"version": version, **fields}).encode()
        self.store.put("config", value)

    def mark_hosts_established(self):
        """Backdate every host's registration, so that all others must know it."""
        for gateway in self.hosts.values():
            gateway.registration.registered_since_s = -1000.0
            gateway._live_hosts._earlier_names.clear()
            gateway._live_hosts._missed_names_at_s = -1000.0

    def is_settled(self, host):
        """Return whether a host serves the group, or other hosts own it."""
        state = self.state(host)
        if state is _NO_STATE:
            return False
        is_owner = host in state.owners or not state.owners
        return state.read_lease_until_s > 10 if is_owner else True

    def state(self, host="host-0"):
        return self.hosts[host].groups.find_state(GROUP) or _NO_STATE

    def dispatcher(self, host="host-0"):
        return self.hosts[host].groups._groups[GROUP].dispatcher

    async def connect(self, database, host="host-0", key="tester"):
        caller, greeting = await Caller.connect(self.ports[host], database, key)
        self._callers.append(caller)
        return caller, greeting

    async def wait_for(self, is_true, timeout_s=10.0):
        async with asyncio.timeout(timeout_s):
            while not is_true():
                await asyncio.sleep(0.01)

    async def close(self):
        for caller in self._callers:
            caller.close()
        for gateway in self.hosts.values():
            await gateway.close()
        await self._stack.aclose()


class _NoState:
    primary = None
    record = None
    read_lease_until_s = 0.0
    is_changing = False


_NO_STATE = _NoState()


def _free_port():
    with socket.create_server((OWN_HOST, 0)) as sock:
        return sock.getsockname()[1]
