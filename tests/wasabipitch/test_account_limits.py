"""The limits of accounts from the caller's connection to the counting host."""

import asyncio
import unittest
from unittest.mock import patch

from msgspec.structs import replace

from tests.wasabipitch import gateway_fixture
from tests.wasabipitch.gateway_fixture import (
    BOUNDED_DB,
    OWN_DB,
    PRIMARY_DB,
    Documents,
    Fleet,
)
from wasabipitch.accounts.counting import COUNTING_WAIT_S
from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import Account

RATE_PER_S, BURST = 20.0, 6.0


class AccountDocuments(Documents):
    """Adds an account with a limit, and one without, to each configuration."""

    rate_per_s, burst = RATE_PER_S, BURST

    def decode_configuration(self, item):
        accounts = (Account("acme", self.rate_per_s, self.burst), Account("free"))
        configuration = super().decode_configuration(item)
        routes = configuration.routes
        return replace(
            configuration,
            routes={**routes, BOUNDED_DB: replace(routes[BOUNDED_DB], public=True)},
            accounts={account.name: account for account in accounts},
            account_names={f"key-{account.name}": account.name for account in accounts},
        )


class FakeLimits:
    """Admits operations as long as the test allows."""

    def __init__(self):
        self.asked = 0
        self.reason = None

    async def acquire(self, account):
        self.asked += 1
        return self.reason


class LimitsCase(unittest.IsolatedAsyncioTestCase):
    hosts = 1

    async def asyncSetUp(self):
        patcher = patch.object(gateway_fixture, "Documents", AccountDocuments)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(self.hosts)

    async def connect(self, database, host="host-0", account="acme"):
        caller, _ = await self.fleet.connect(database, host, f"key-{account}")
        return caller


class SessionTest(LimitsCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.limits = FakeLimits()
        self.fleet.hosts["host-0"]._caller_server._limits = self.limits

    async def test_each_single_statement_is_an_operation(self):
        caller = await self.connect(PRIMARY_DB)
        await caller.ask("READ job")
        await caller.ask("WRITE job a", "w1")
        self.assertEqual(self.limits.asked, 2)

    async def test_a_transaction_is_one_operation(self):
        caller = await self.connect(PRIMARY_DB)
        for text in ("BEGIN", "READ job", "WRITE job a", "READ job", "COMMIT"):
            lines = await caller.ask(text, "t1")
            self.assertFalse(lines[0].startswith("ERROR"), lines)
        self.assertEqual(self.limits.asked, 1)

    async def test_what_the_host_answers_itself_is_no_operation(self):
        caller = await self.connect(PRIMARY_DB)
        for text in (
            "SET colour red",
            "PREPARE s1 READ shape",
            "BEGIN",
            "ROLLBACK",
            "BEGIN",
            "COMMIT",
            "COMMIT",
            "DEALLOCATE s1",
        ):
            await caller.ask(text)
        self.assertEqual(self.limits.asked, 0)

    async def test_accounts_without_a_limit_and_callers_without_one_are_not_asked(self):
        for database, account in ((PRIMARY_DB, "free"), (BOUNDED_DB, "unknown")):
            caller = await self.connect(database, account=account)
            lines = await caller.ask("READ job")
            self.assertFalse(lines[0].startswith("ERROR"), lines)
        self.assertEqual(self.limits.asked, 0)

    async def test_a_refused_statement_does_not_run(self):
        caller = await self.connect(PRIMARY_DB)
        self.limits.reason = "too many"
        lines = await caller.ask("WRITE job a", "w1")
        self.assertEqual(lines, ["ERROR BUSY too many", "READY I -"])
        self.limits.reason = None
        self.assertEqual((await caller.ask("READ job"))[0], "ROW -")

    async def test_a_refused_transaction_has_failed(self):
        caller = await self.connect(PRIMARY_DB)
        await caller.ask("BEGIN")
        self.limits.reason = "too many"
        lines = await caller.ask("READ job")
        self.assertEqual(lines, ["ERROR BUSY too many", "READY E -"])
        self.limits.reason = None
        lines = await caller.ask("READ job")
        self.assertTrue(lines[0].startswith("ERROR MALFORMED"), lines)
        self.assertEqual((await caller.ask("ROLLBACK"))[1], "READY I -")
        self.assertEqual((await caller.ask("READ job"))[0], "ROW -")

    async def test_a_caller_that_leaves_while_its_operation_waits_is_given_up(self):
        waiting = asyncio.Event()
        cancelled = asyncio.Event()

        async def wait(account):
            waiting.set()
            try:
                await asyncio.sleep(60)
            finally:
                cancelled.set()

        self.limits.acquire = wait
        caller = await self.connect(PRIMARY_DB)
        caller.send("READ job")
        await asyncio.wait_for(waiting.wait(), 5)
        caller.close()
        await asyncio.wait_for(cancelled.wait(), 5)


class FleetTest(LimitsCase):
    hosts = 3

    async def test_three_hosts_keep_one_limit_together(self):
        callers = [await self.connect(OWN_DB, f"host-{n}") for n in range(3)]
        await asyncio.sleep(COUNTING_WAIT_S + 1.0)
        self.assertEqual(sum(await self.send_all(callers, 3.0)), 0)
        started_s = now_s()
        served = await self.count_served(callers, 2.0)
        took_s = now_s() - started_s
        # The hosts' settings have no tolerance, and so no reserve.
        self.assertLessEqual(served, RATE_PER_S * took_s + BURST)
        self.assertGreaterEqual(served, 0.9 * RATE_PER_S * 2.0)

    async def send_all(self, callers, seconds):
        """Send half of the limit evenly over all hosts; return the refusals."""
        refused = []
        until_s, number = now_s() + seconds, 0
        while now_s() < until_s:
            caller = callers[number % len(callers)]
            lines = await caller.ask("READ job")
            refused.append("BUSY" in lines[0])
            number += 1
            await asyncio.sleep(2 / RATE_PER_S)
        return refused

    async def count_served(self, callers, seconds):
        async def flood(caller):
            served, until_s = 0, now_s() + seconds
            while now_s() < until_s:
                lines = await caller.ask("READ job")
                served += "BUSY" not in lines[0]
                await asyncio.sleep(0.01)
            return served

        return sum(await asyncio.gather(*map(flood, callers)))

    async def test_after_a_power_loss_one_host_counts_at_once(self):
        fleet, names = self.fleet, list(self.fleet.hosts)
        await fleet.wait_for(
            lambda: all(
                gateway.registration.is_settled for gateway in fleet.hosts.values()
            )
        )
        for gateway in fleet.hosts.values():
            await gateway.close()
        started_s = now_s()
        for name in names:
            await fleet.add_host(name)
        account = Account("acme", RATE_PER_S, BURST)

        def list_counters():
            return [
                name
                for name, gateway in fleet.hosts.items()
                if gateway._limits._counter.grant(account, 0).counts
            ]

        await fleet.wait_for(list_counters)
        self.assertLess(now_s() - started_s, COUNTING_WAIT_S - 0.4)
        self.assertEqual(len(list_counters()), 1)
        self.assertTrue(
            fleet.hosts[list_counters()[0]].registration.is_successor,
        )

    async def test_hosts_settle_and_count_under_their_own_registrations(self):
        def is_settled():
            return all(
                gateway.registration.is_settled for gateway in self.fleet.hosts.values()
            )

        await self.fleet.wait_for(is_settled)
        for gateway in self.fleet.hosts.values():
            registration = gateway.registration
            self.assertFalse(registration.is_successor)
            self.assertGreater(registration.listed_until_s, now_s())
            self.assertLess(registration.listed_since_s, now_s())


if __name__ == "__main__":
    unittest.main()
