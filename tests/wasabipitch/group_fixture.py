"""Provides a group server over in-process stand-in targets."""

import asyncio
import contextlib
import random

from standins.instance import TargetConfig
from standins.target import Target
from wasabipitch.deployment import Group, Instance, Policy, RequestClass
from wasabipitch.events import Timeline
from wasabipitch.exceptions import StoreUnavailable
from wasabipitch.groups import GroupContext, GroupServer
from wasabipitch.links import RemoteError
from wasabipitch.messages import Execute, Failure, Kind, Result
from wasabipitch.metrics import StatsdMetrics
from wasabipitch.models import Address, Host
from wasabipitch.mysql_targets import MysqlConnector

NAMES = ("w1", "w2", "w3")
CLASSES = {
    "": RequestClass(name="default"),
    "lookup": RequestClass(name="lookup", max_age_s=2.0),
}


class NoStore:
    """A store whose platform can't be reached."""

    async def get(self, key):
        raise StoreUnavailable("the platform is down")

    async def put(self, key, value, expect):
        raise StoreUnavailable("the platform is down")


class FakeExchange:
    """Collects the messages that are sent in answer to a request."""

    def __init__(self, connection):
        self.connection = connection
        self.replies = []

    async def send(self, message, *, more=False):
        self.replies.append(message)


class ServedGroup:
    """Runs three targets and a group server over them.

    Args:
        policy: The server's policy, or None for the default.
        **target_fields: Fields of each target's ``TargetConfig``.
    """

    def __init__(self, policy=None, **target_fields):
        self.policy = policy or Policy()
        self.fields = {"connect_ms": 0, "lag_ms": 2, **target_fields}
        self.targets = {}
        self.stack = contextlib.AsyncExitStack()
        self.connection = object()
        self.number = 0

    async def __aenter__(self):
        for name in NAMES:
            cfg = TargetConfig(name=name, primary=name == "w1", **self.fields)
            target = await self.stack.enter_async_context(Target(cfg))
            self.targets[name] = target
        instances = tuple(
            Instance(name=n, address=t.address, data_centre=f"dc-{n}")
            for n, t in self.targets.items()
        )
        group = Group(name="workshop", instances=instances)
        self.connector = MysqlConnector("pool-1")
        for name in NAMES[1:]:
            control = self.connector.open_control(name, self.address(name))
            await control.follow(self.address("w1"), 1)
            await control.close()
        self.server = GroupServer(group, self.policy, self.make_context())
        task = asyncio.create_task(self.server.run())
        self.stack.push_async_callback(asyncio.wait, [task])
        self.stack.callback(task.cancel)
        await self.wait_primary()
        return self

    async def __aexit__(self, *exc_info):
        await self.stack.aclose()

    def address(self, name):
        return Address.parse(self.targets[name].address)

    def make_context(self):
        async def ask_nobody(group, instance):
            return []

        return GroupContext(
            host=Host("pool-1", "pool", "127.0.0.1:1", "dc-w1"),
            connector=self.connector,
            store=NoStore(),
            ask_opinions=ask_nobody,
            get_rank=lambda name: 0,
            connection_share=0.75,
            timeline=Timeline("pool-1"),
            metrics=StatsdMetrics(),
            rng=random.Random(7),
        )

    async def wait_primary(self, other_than=""):
        async with asyncio.timeout(15):
            while self.server.view.primary in ("", other_than):
                await asyncio.sleep(0.02)
        return self.server.view.primary

    async def restart_empty(self, name):
        """Restart a target at the same address with an empty log."""
        address = self.address(name)
        await self.targets[name].__aexit__(None, None, None)
        cfg = TargetConfig(
            name=name, host=address.ip, port=address.port, initial=False, **self.fields
        )
        self.targets[name] = await self.stack.enter_async_context(Target(cfg))

    async def send(self, statement, kind=Kind.WRITE, cls="", **fields) -> Result:
        """Run a statement and return its result.

        Raises:
            RemoteError: The server answered with a failure.
        """
        fields.setdefault("session", "s")
        req = Execute("workshop", statement=statement, kind=kind, **fields)
        exchange = FakeExchange(self.connection)
        await self.server.execute(exchange, req, CLASSES[cls])
        first = exchange.replies[0]
        if isinstance(first, Failure):
            raise RemoteError(first)
        return first

    async def on_target(self, name, statement):
        """Run a statement directly on a target, bypassing the pool."""
        harness = MysqlConnector("harness")
        conn = await harness.connect(self.address(name), "workshop")
        try:
            return await conn.run(statement)
        finally:
            conn.close()
