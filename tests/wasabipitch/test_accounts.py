import asyncio
import contextlib
import unittest
from unittest.mock import patch

from tests.wasabipitch.gateway_fixture import BOUNDED_DB, PRIMARY_DB, Fleet
from wasabipitch.clock import now_s
from wasabipitch.coordination.currency import CopyCurrency
from wasabipitch.policy.authorization import find_max_proof_age

REVOCATION_S = 2.0
ACCOUNTS = {"north": ["k1", "k2"], "south": ["k3"]}


@contextlib.contextmanager
def cut_off(fleet, host):
    """Cut a host off from the store and from its peers."""
    gateway, others = fleet.hosts[host], set(fleet.hosts) - {host}
    fleet.stores[host].cut = True
    gateway.links.cuts.peers = frozenset(others)
    for other in others:
        fleet.hosts[other].links.cuts.peers = frozenset({host})
    # A watch that has begun would still return changes.
    gateway._mirror._watch.cancel()
    try:
        yield
    finally:
        fleet.stores[host].cut = False
        for other in fleet.hosts.values():
            other.links.cuts.peers = frozenset()


class AccountCase(unittest.IsolatedAsyncioTestCase):
    hosts = 1

    async def asyncSetUp(self):
        self.fleet = Fleet(REVOCATION_S)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(self.hosts, accounts=ACCOUNTS, public=[BOUNDED_DB])
        await self.fleet.wait_for(
            lambda: all(g._is_ready() for g in self.fleet.hosts.values())
        )

    def currency(self, host="host-0"):
        return self.fleet.hosts[host]._currency

    async def configure(self, version, accounts, hosts=None):
        self.fleet.configure(version, accounts=accounts, public=[BOUNDED_DB])
        for name in hosts or self.fleet.hosts:
            gateway = self.fleet.hosts[name]
            await self.fleet.wait_for(
                lambda gateway=gateway: gateway.configuration.version == version
            )


class AccountTest(AccountCase):
    async def test_callers_are_served_by_their_keys(self):
        for key in ("k1", "k2", "k3"):
            caller, greeting = await self.fleet.connect(PRIMARY_DB, key=key)
            self.assertEqual(greeting, "READY I -")
            lines = await caller.ask(f"WRITE {key} v")
            self.assertEqual(lines[0], "COMPLETE i-0.5c0e")

    async def test_a_caller_with_an_unknown_key_is_refused_at_its_start(self):
        for key in ("k4", ""):
            caller, greeting = await self.fleet.connect(PRIMARY_DB, key=key)
            self.assertEqual(greeting, "ERROR NOAUTH the key is not known")
            self.assertTrue(await caller.is_closed())

    async def test_a_public_route_needs_no_key(self):
        caller, greeting = await self.fleet.connect(BOUNDED_DB, key="k4")
        self.assertEqual(greeting, "READY I -")
        self.assertEqual((await caller.ask("READ a"))[0], "ROW -")

    async def test_a_rotated_key_has_no_refused_request(self):
        # The operator adds the new key, callers change to it, the old one is withdrawn.
        old, _ = await self.fleet.connect(PRIMARY_DB, key="k1")
        await self.configure(2, {"north": ["k1", "k9"], "south": ["k3"]})
        new, greeting = await self.fleet.connect(PRIMARY_DB, key="k9")
        self.assertEqual(greeting, "READY I -")
        for caller in (old, new):
            self.assertEqual((await caller.ask("READ a"))[0], "ROW -")
        await self.configure(3, {"north": ["k9"], "south": ["k3"]})
        self.assertEqual((await new.ask("READ a"))[0], "ROW -")

    async def test_a_withdrawn_key_ends_a_session_and_its_transaction(self):
        caller, _ = await self.fleet.connect(PRIMARY_DB, key="k1")
        await caller.ask("BEGIN")
        await caller.ask("WRITE a lost")
        await self.configure(2, {"north": ["k2"], "south": ["k3"]})
        lines = await caller.ask("COMMIT")
        self.assertEqual(lines, ["ERROR NOAUTH the key is not known", "READY I -"])
        self.assertTrue(await caller.is_closed())
        other, _ = await self.fleet.connect(PRIMARY_DB, key="k2")
        self.assertEqual((await other.ask("READ a"))[0], "ROW -")

    async def test_gauges_tell_the_version_and_the_age_of_the_proof(self):
        gauges = {g.name: g.value for g in self.fleet.hosts["host-0"]._read_gauges()}
        self.assertEqual(gauges["configuration_version"], 1)
        self.assertLess(gauges["configuration_proof_age_seconds"], REVOCATION_S)


class CutOffTest(AccountCase):
    """A host whose copy of the configuration may lack a withdrawal."""

    hosts = 2

    async def test_a_withdrawn_key_is_refused_in_time_on_a_host_that_is_cut_off(self):
        # The host hears neither of the withdrawal nor that the store answers.
        gateway = self.fleet.hosts["host-1"]
        caller, _ = await self.fleet.connect(PRIMARY_DB, "host-1", "k1")
        self.assertEqual((await caller.ask("READ a"))[0], "ROW -")
        with cut_off(self.fleet, "host-1"):
            await asyncio.sleep(0.6)
            await self.configure(2, {"north": ["k2"], "south": ["k3"]}, ["host-0"])
            withdrawn_at_s = now_s()
            last_served_at_s = 0.0
            while now_s() < withdrawn_at_s + REVOCATION_S + 0.5:
                sent_at_s = now_s()
                answer = (await caller.ask("SET a b"))[0]
                if answer.startswith("COMPLETE"):
                    last_served_at_s = sent_at_s
                await asyncio.sleep(0.02)
            self.assertEqual(gateway.configuration.version, 1)
            self.assertGreater(last_served_at_s, withdrawn_at_s)
            self.assertLess(last_served_at_s, withdrawn_at_s + REVOCATION_S)
            self.assertTrue(answer.startswith("ERROR BUSY"), answer)
            self.assertFalse(gateway._is_ready())
            _, greeting = await self.fleet.connect(PRIMARY_DB, "host-1", "k2")
            self.assertTrue(greeting.startswith("ERROR BUSY"), greeting)
            _, greeting = await self.fleet.connect(BOUNDED_DB, "host-1")
            self.assertEqual(greeting, "READY I -")
        await self.fleet.wait_for(gateway._is_ready)
        _, greeting = await self.fleet.connect(PRIMARY_DB, "host-1", "k2")
        self.assertEqual(greeting, "READY I -")
        self.assertTrue((await caller.ask("SET a b"))[0].startswith("ERROR NOAUTH"))

    async def test_idle_sessions_are_closed_once_on_a_host_that_refuses_keys(self):
        caller, _ = await self.fleet.connect(PRIMARY_DB, "host-1", "k1")
        with cut_off(self.fleet, "host-1"):
            proven_at_s = self.currency("host-1").proven_at_s
            self.assertTrue(await caller.is_closed())
            self.assertGreater(now_s() - proven_at_s, find_max_proof_age(REVOCATION_S))
            # A caller that comes afterwards has no other host.
            public, _ = await self.fleet.connect(BOUNDED_DB, "host-1")
            await asyncio.sleep(0.6)
            self.assertIn("READY", (await public.ask("READ a"))[-1])

    async def test_a_host_that_was_frozen_refuses_until_it_has_read_the_store(self):
        caller, _ = await self.fleet.connect(PRIMARY_DB, "host-1", "k1")
        with patch("wasabipitch.coordination.currency.now_s", lambda: now_s() + 60.0):
            lines = await caller.ask("WRITE a b")
        self.assertTrue(lines[0].startswith("ERROR BUSY"), lines)
        self.assertEqual((await caller.ask("WRITE a b"))[0], "COMPLETE i-0.5c0e")

    async def test_a_store_that_lost_a_withdrawal_proves_nothing(self):
        # One host knows of the withdrawal, and another starts with the older copy.
        copy = self.fleet.store.copy()
        await self.configure(2, {"north": ["k2"], "south": ["k3"]})
        self.fleet.store.restore(copy)
        await self.fleet.add_host("host-2")
        gateway = self.fleet.hosts["host-2"]
        await self.fleet.wait_for(lambda: gateway.configuration is not None)
        self.assertEqual(gateway.configuration.version, 1)
        for _ in range(10):
            _, greeting = await self.fleet.connect(PRIMARY_DB, "host-2", "k1")
            self.assertTrue(greeting.startswith("ERROR BUSY"), greeting)
        async with asyncio.timeout(0.5):
            _, greeting = await self.fleet.connect(PRIMARY_DB, "host-2", "k1")
            self.assertTrue(greeting.startswith("ERROR BUSY"), greeting)
            _, greeting = await self.fleet.connect(BOUNDED_DB, "host-2", "k1")
            self.assertEqual(greeting, "READY I -")
        await self.configure(3, {"north": ["k2"], "south": ["k3"]})
        await self.fleet.wait_for(gateway._is_ready)
        _, greeting = await self.fleet.connect(PRIMARY_DB, "host-2", "k1")
        self.assertTrue(greeting.startswith("ERROR NOAUTH"), greeting)


class WithoutAccountsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_configuration_without_accounts_needs_no_proof(self):
        fleet = Fleet(REVOCATION_S)
        self.addAsyncCleanup(fleet.close)
        await fleet.start(1)
        with patch.object(CopyCurrency, "is_proven_within", return_value=False):
            caller, greeting = await fleet.connect(PRIMARY_DB, key="any")
            self.assertEqual(greeting, "READY I -")
            self.assertEqual((await caller.ask("READ a"))[0], "ROW -")
            self.assertTrue(fleet.hosts["host-0"]._is_ready())
