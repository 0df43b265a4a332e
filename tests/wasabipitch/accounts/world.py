"""Hosts that count an account's operations, on a fake clock and without a network."""

import math
from collections import deque

from msgspec import structs

from wasabipitch.accounts.counting import TokenCounter
from wasabipitch.coordination.documents import Account, HostRecord
from wasabipitch.policy.token_bucket import QuotaTolerance

TICK_S = 0.15
LEASE_S = 6.0
RENEW_TICKS = 13
CHECK_TICKS = 3
SETTLE_S = 2.5
NAME = "acme"
# Ordered, so that the greatest limit of a window has the greatest rate and burst.
LIMITS = ((0.5, 1.0), (4.0, 3.0), (20.0, 10.0), (60.0, 90.0))


class Record(HostRecord, frozen=True):
    """A registration with its mark, which the store keeps under a key of its own."""

    settled_epoch: int | None = None


class Store:
    """Registrations with leases, in epochs that begin when it is restored."""

    def __init__(self):
        self.records = {}
        self.ends_s = {}
        self.epoch = 0
        self.limit = 1
        self.copy = {}

    def expire(self, at_s):
        for key in [key for key, end_s in self.ends_s.items() if end_s <= at_s]:
            self.remove(key)

    def remove(self, key):
        self.records.pop(key, None)
        self.ends_s.pop(key, None)

    def write(self, record, at_s):
        self.records[record.incarnation] = record
        self.ends_s[record.incarnation] = at_s + LEASE_S

    def restore(self, at_s):
        self.epoch += 1
        self.records = dict(self.copy)
        self.ends_s = dict.fromkeys(self.records, at_s + LEASE_S)


class Registration:
    """What ``HostRegistration`` tells the counter."""

    def __init__(self):
        self.listed_since_s = math.inf
        self.listed_until_s = 0.0
        self.is_successor = False


class Currency:
    proven_at_s = 0.0


class SimulatedHost:
    """One run of a host; its calls to the store take ``delay`` ticks each way."""

    def __init__(self, world, name, strength, run):
        self.world = world
        self.name = name
        cores, link_mbps = strength
        self.record = Record(name, "rome", f"{name}.{run}", "", cores, link_mbps)
        self.frozen = self.cut = self.leaving = False
        self.delay = 0
        self.registration = Registration()
        self.currency = Currency()
        self.counter = TokenCounter(
            name,
            self.registration,
            self.currency,
            world.tolerance,
            lambda: world.now_s,
        )
        self.hosts = None
        self.epoch = -1
        self.limit = 0
        # Answers that have not arrived, as (tick, function).
        self.inbox = deque()
        self.age = 0

    def call(self, execute, apply):
        """Make a call; ``execute`` runs at the store, ``apply`` on its result here."""
        if self.cut:
            return
        started_s = self.world.now_s

        def run():
            result = execute()
            arrives = self.world.tick + self.delay
            self.inbox.append((arrives, lambda: apply(result, started_s)))

        self.world.schedule(self.delay, run)

    def step(self):
        if self.frozen:
            return
        while self.inbox and self.inbox[0][0] <= self.world.tick:
            self.inbox.popleft()[1]()
        if self.hosts is not None and self.age % RENEW_TICKS == 0:
            self.renew()
        if self.age % CHECK_TICKS == 0:
            self.call(self.world.read, self.apply_copy)
        self.age += 1

    def apply_copy(self, copy, started_s):
        hosts, epoch, limit = copy
        if epoch < self.epoch:
            return
        if self.epoch >= 0 and epoch > self.epoch:
            self.end_listing()
        is_first = self.hosts is None
        self.epoch, self.hosts, self.limit = epoch, hosts, limit
        if not is_first and self.key not in hosts:
            self.end_listing()
        self.currency.proven_at_s = max(self.currency.proven_at_s, started_s)
        self.update()
        if is_first or self.registration.listed_since_s == math.inf:
            self.register(is_first)

    @property
    def key(self):
        return self.record.incarnation

    def update(self):
        newest = {record.name: record for record in self.hosts.values()}
        if self.key in self.hosts:
            newest[self.name] = self.hosts[self.key]
        self.counter.update_hosts(newest)

    def end_listing(self):
        self.registration.listed_since_s = math.inf
        self.registration.is_successor = False
        self.record = structs.replace(self.record, settled_epoch=None)

    def register(self, is_first):
        if self.leaving:
            return
        store, record, epoch = self.world.store, self.record, self.epoch
        earlier = self.find_settled() if is_first else None

        def execute():
            if store.epoch != epoch:
                return None
            succeeds = earlier is not None and store.records.get(earlier) is not None
            store.write(record, self.world.now_s)
            return (succeeds,)

        self.call(execute, self.apply_registration)

    def find_settled(self):
        for key, record in self.hosts.items():
            if record.name == self.name and record.settled_epoch == self.epoch:
                return key
        return None

    def apply_registration(self, result, started_s):
        if result is None or self.leaving:
            return
        registration = self.registration
        registration.listed_until_s = started_s + LEASE_S
        if registration.listed_since_s == math.inf:
            registration.listed_since_s = self.world.now_s
            registration.is_successor = result[0]
        self.hosts = {**self.hosts, self.key: self.record}
        self.update()

    def renew(self):
        if self.leaving:
            return
        store, key, epoch = self.world.store, self.key, self.epoch
        listed_s = self.world.now_s - self.registration.listed_since_s
        settled = None
        if listed_s >= SETTLE_S and self.record.settled_epoch != epoch:
            settled = structs.replace(self.record, settled_epoch=epoch)

        def execute():
            if key not in store.ends_s:
                return False
            store.ends_s[key] = self.world.now_s + LEASE_S
            if settled is not None and store.epoch == epoch:
                store.records[key] = settled
            return True

        def apply(is_renewed, started_s):
            if not is_renewed:
                self.end_listing()
                return
            self.registration.listed_until_s = started_s + LEASE_S
            if settled is not None and self.registration.listed_since_s < math.inf:
                self.record = settled

        self.call(execute, apply)

    def leave(self):
        self.leaving = True
        self.end_listing()
        key, store = self.key, self.world.store
        self.call(lambda: store.remove(key), lambda *_: None)


class World:
    """A fleet; every awake host grants as much as it may in each tick.

    Args:
        strengths: The cores and bandwidth of each host.
        tolerance: How far the limit may be exceeded.
        demand: How many operations each host asks itself for in a tick.
    """

    def __init__(self, strengths, tolerance=None, demand=1000):
        self.tolerance = tolerance or QuotaTolerance(5.0, 0.1, 20.0)
        self.demand = demand
        self.tick = 0
        self.store = Store()
        self.strengths = strengths
        self.hosts = {}
        self.runs = 0
        # The time, number of tokens and greatest limit of each tick.
        self.grants = []
        self._scheduled = {}
        for number in range(len(strengths)):
            self.start(number)

    @property
    def now_s(self):
        return 1000.0 + self.tick * TICK_S

    def start(self, number):
        self.runs += 1
        host = SimulatedHost(self, f"host-{number}", self.strengths[number], self.runs)
        self.hosts[number] = host
        return host

    def schedule(self, delay, run):
        self._scheduled.setdefault(self.tick + delay, []).append(run)
        if not delay:
            self._run_scheduled()

    def _run_scheduled(self):
        for run in self._scheduled.pop(self.tick, ()):
            run()

    def read(self):
        return dict(self.store.records), self.store.epoch, self.store.limit

    def advance(self, ticks):
        for _ in range(ticks):
            self.tick += 1
            self.store.expire(self.now_s)
            self._run_scheduled()
            for host in list(self.hosts.values()):
                host.step()
            self.grants.append(self.grant())

    def grant(self):
        total, limit = 0, 0
        for host in self.hosts.values():
            limit = max(limit, host.limit)
            if not host.frozen and host.hosts is not None and self.demand:
                account = Account(NAME, *LIMITS[host.limit])
                total += host.counter.grant(account, self.demand).granted
        return self.now_s, total, limit

    def find_excess(self):
        """Return the first window with more grants than allowed, or None."""
        window, total = deque(), 0
        for at_s, granted, limit in self.grants:
            window.append((at_s, granted, limit))
            total += granted
            while at_s - window[0][0] > self.tolerance.window_s + 1e-6:
                total -= window.popleft()[1]
            rate_per_s, burst = LIMITS[max(entry[2] for entry in window)]
            bound = rate_per_s * self.tolerance.window_s + burst
            bound = bound * (1 + self.tolerance.excess) + self.tolerance.slack
            if total > bound + 1e-6:
                return at_s, total, bound
        return None
