"""Simulated instances and owners in virtual time, to replay patterns of load."""

import asyncio
import contextlib
import random
import selectors
from unittest import mock

from wasabipitch.coordination.documents import InstanceEntry
from wasabipitch.exceptions import NoConnectionLeft, NoTarget, Overloaded
from wasabipitch.instances import dispatcher as dispatcher_module
from wasabipitch.instances import pool as pool_module
from wasabipitch.instances.dispatcher import ConnectionRequest, Dispatcher
from wasabipitch.models import Address
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.operations.measures import Measures
from wasabipitch.wire.messages import Reply, SessionState

HANDSHAKE_S = 0.012
ONE_WAY_S = 0.0005
SLOTS = 4
OBJECTIVE_S = 0.2


class _VirtualSelector(selectors.DefaultSelector):
    """Advances the loop's clock instead of waiting."""

    def select(self, timeout=None):
        self.loop.at_s += max(0.0, timeout or 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on which time passes only while every task waits."""

    def __init__(self):
        self.at_s = 1000.0
        selector = _VirtualSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        return self.at_s


def run_virtual(main):
    """Run a coroutine function in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        time = runner.get_loop().time
        with (
            mock.patch.object(pool_module, "now_s", time),
            mock.patch.object(dispatcher_module, "now_s", time),
            mock.patch.object(pool_module, "connect", connect),
        ):
            return runner.run(main())


class Instance:
    """An instance with slots and a limit on its connections.

    Attributes:
        connections: The connections that it has not seen the end of.
        most: The greatest number of these at any time.
        refused: The number of connections refused for the limit.
        handshakes: The accounts of the connections, in the order of opening.
        mixed: The statements that ran on the connection of another account.
    """

    by_name = {}

    def __init__(self, name, max_connections):
        self.name = name
        self.max_connections = max_connections
        self.slots = asyncio.Semaphore(SLOTS)
        self.connections = set()
        self.most = 0
        self.refused = 0
        self.handshakes = []
        self.mixed = []
        Instance.by_name[name] = self

    def make_entry(self):
        return InstanceEntry(
            name=self.name,
            group="ledger",
            address=Address("127.0.0.1", 1),
            data_centre="rome",
            slots=SLOTS,
            leaving=False,
            is_primary=self.name == "i-0",
            cold_ms=0,
            born_ms=1,
        )


class Connection:
    """Stands for an ``InstanceConnection`` to a simulated instance."""

    def __init__(self, instance, entry, account):
        loop = asyncio.get_running_loop()
        self.entry, self.account, self.position = entry, account, None
        self.opened_at_s = self.used_at_s = loop.time()
        self.state = SessionState.IDLE
        self.is_open = True
        self.ended_busy = False
        self.outstanding = 0
        self._instance, self._loop = instance, loop
        self._running = self._ending = None

    @property
    def is_clean(self):
        idle = self.state is SessionState.IDLE and not self.outstanding
        return idle and self.is_open

    @property
    def has_unanswered_commit(self):
        return False

    def send(self, message):
        """Roll back, after the statements sent before."""
        return asyncio.ensure_future(self._roll_back())

    async def _roll_back(self):
        while self.outstanding:
            await asyncio.sleep(0.001)
        self.state = SessionState.IDLE
        return Reply(state=SessionState.IDLE)

    def start(self, account, service_s):
        """Send a statement and return the task that ends with its answer."""
        if account != self.account:
            self._instance.mixed.append((account, self.account))
        self.used_at_s = self._loop.time()
        self.outstanding += 1
        self._running = asyncio.ensure_future(self._run(service_s))
        return self._running

    async def _run(self, service_s):
        await asyncio.sleep(ONE_WAY_S)
        async with self._instance.slots:
            await asyncio.sleep(service_s)
        await asyncio.sleep(ONE_WAY_S)
        self.outstanding -= 1

    def close(self):
        if not self.is_open:
            return
        self.is_open = False
        self.ended_busy = self.outstanding > 0
        self._ending = asyncio.ensure_future(self._end())

    async def _end(self):
        if self.ended_busy:
            # The instance sees the end after the statement that runs.
            await asyncio.wait([self._running])
        await asyncio.sleep(ONE_WAY_S)
        self._instance.connections.discard(self)


async def connect(entry, codec, account=""):
    """Stand for ``instances.connection.connect``."""
    instance = Instance.by_name[entry.name]
    await asyncio.sleep(3 * ONE_WAY_S)
    if len(instance.connections) >= instance.max_connections:
        instance.refused += 1
        await asyncio.sleep(ONE_WAY_S)
        raise NoConnectionLeft(f"{entry.name}: is at its connection limit")
    conn = Connection(instance, entry, account)
    instance.connections.add(conn)
    instance.most = max(instance.most, len(instance.connections))
    instance.handshakes.append(account)
    async with instance.slots:
        await asyncio.sleep(HANDSHAKE_S)
    await asyncio.sleep(ONE_WAY_S)
    return conn


class Owner:
    """One host's dispatcher, with the outcomes of the requests that it served.

    Args:
        instances: The simulated instances.
        share: The connections that it may hold to each.
        seed: The seed of its random numbers.
        has_accounts: Whether the configuration has accounts.
        hosts: The number of owners.
    """

    def __init__(self, instances, share, seed=1, has_accounts=True, hosts=4):
        self.rng = random.Random(seed)
        self.measures = Measures()
        self.served = {}
        self.refused = {}
        self._instances, self._hosts = instances, hosts
        self._has_accounts = has_accounts
        self.dispatcher = Dispatcher(
            None,
            DecisionLog("host", measures=self.measures),
            "rome",
            "i-0".__eq__,
            lambda name: None,
        )
        self.dispatcher._codec = mock.Mock()
        self.update(share)
        self._maintenance = asyncio.ensure_future(self._maintain())

    def update(self, share, is_joining=False):
        entries = {i.name: i.make_entry() for i in self._instances}
        self.dispatcher.update(
            entries, share, self._hosts, self._has_accounts, is_joining
        )

    async def _maintain(self):
        while True:
            self.dispatcher.maintain()
            await asyncio.sleep(0.1)

    def close(self):
        self._maintenance.cancel()
        self.dispatcher.close()

    async def run(self, account, service_s, writes=False, priority=1):
        """Run one statement; record how long it took, or that it was refused."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        request = self.make_request(account, writes, priority)
        try:
            checkout = await self.dispatcher.acquire(request)
        except (Overloaded, NoTarget):
            self.refused.setdefault(account, []).append(loop.time() - started_s)
            return
        await checkout.conn.start(account, service_s)
        self.dispatcher.service_times.add(request.kind, loop.time() - started_s)
        checkout.release()
        self.served.setdefault(account, []).append(loop.time() - started_s)

    def make_request(self, account, writes=False, priority=1):
        names = ("i-0",) if writes else tuple(i.name for i in self._instances)
        at_s = asyncio.get_running_loop().time()
        return ConnectionRequest(
            lambda: names,
            "write" if writes else "read",
            priority,
            at_s + 0.8 * OBJECTIVE_S,
            at_s + 4 * OBJECTIVE_S,
            account=account,
        )

    async def send(self, account, rate, duration_s, write_share=0.2):
        """Send an account's statements at a rate, without waiting for the answers."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + duration_s
        running = set()
        while loop.time() < until_s:
            await asyncio.sleep(self.rng.expovariate(rate))
            service_s = self.rng.expovariate(1 / 0.012)
            writes = self.rng.random() < write_share
            running.add(asyncio.ensure_future(self.run(account, service_s, writes)))
        await asyncio.wait(running)

    def count(self, name):
        """Return the value of one of its counters."""
        return sum(self.measures.counters.get(name, {}).values())


@contextlib.contextmanager
def simulated_instances(count=3, max_connections=28):
    """Provide instances; checks at the end that accounts and limits were kept."""
    instances = [Instance(f"i-{n}", max_connections) for n in range(count)]
    yield instances
    for instance in instances:
        assert not instance.mixed, f"statements on other accounts: {instance.mixed}"
