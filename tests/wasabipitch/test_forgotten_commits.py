import asyncio
import json
import unittest
from unittest.mock import patch

from standins.line_group import LineInstance
from tests.wasabipitch.gateway_fixture import GROUP, OWN_DB, Fleet
from wasabipitch.coordination.documents import (
    MEMBERS_PREFIX,
    WRITERS_PREFIX,
    Configuration,
    MembersRecord,
    Phase,
    decode,
)
from wasabipitch.policy.read_leases import READ_LEASE_S

# Hosts that have just started replace no primary before the read leases from before
# have ended.
SETTLED_S = READ_LEASE_S + 1.5


class ForgottenCommitsTest(unittest.IsolatedAsyncioTestCase):
    """Hosts start again, and forget which commits they saw acknowledged.

    A replica that had received none of them was promoted while the primary and the
    replica that had confirmed them were dark.
    """

    async def asyncSetUp(self):
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(3)
        self.instances = self.fleet.group.instances
        self.instances["i-2"].replication_blocked = True
        caller, _ = await self.fleet.connect(OWN_DB)
        for n in range(5):
            lines = await caller.ask(f"WRITE job v{n}", f"w{n}")
            self.assertEqual(lines[0], f"COMPLETE i-0.w{n}")

    async def restart_hosts(self):
        names = list(self.fleet.hosts)
        for name in names:
            await self.fleet.hosts[name].close()
        for name in names:
            await self.fleet.add_host(name)

    async def wait_changing(self):
        await self.fleet.wait_for(
            lambda: all(self.fleet.state(h).is_changing for h in self.fleet.hosts)
        )

    async def wait_primary(self, name):
        await self.fleet.wait_for(
            lambda: all(self.fleet.state(h).primary == name for h in self.fleet.hosts)
        )

    async def read_job(self):
        """Return the first answer that is no refusal."""
        caller, _ = await self.fleet.connect(OWN_DB)
        async with asyncio.timeout(5):
            while (line := (await caller.ask("READ job"))[0]).startswith("ERROR BUSY"):
                await asyncio.sleep(0.05)
        return line

    def list_writers(self):
        keys = [k for k in self.fleet.store.items if k.startswith(WRITERS_PREFIX)]
        return {key.rpartition("/")[2] for key in keys}

    def list_members(self):
        item = self.fleet.store.items[MEMBERS_PREFIX + GROUP]
        return {member.name for member in decode(item.value, MembersRecord).members}

    async def test_a_replica_without_them_is_not_promoted_after_a_power_loss(self):
        await self.instances["i-0"].stop()
        self.instances["i-1"].silent = True
        await self.restart_hosts()
        await self.wait_changing()
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(self.fleet.group.promotions, [])
        self.instances["i-1"].silent = False
        await self.wait_primary("i-1")
        self.assertEqual(await self.read_job(), "ROW v4")

    async def test_a_replica_whose_registration_lapsed_is_waited_for(self):
        await self.instances["i-0"].stop()
        await self.instances["i-1"].stop()
        self.fleet.store.remove("instances/i-1")
        await self.restart_hosts()
        await self.wait_changing()
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(self.fleet.group.promotions, [])
        await self.instances["i-1"].start()
        self.fleet.register("i-1")
        await self.wait_primary("i-1")
        self.assertEqual(await self.read_job(), "ROW v4")

    async def test_the_commits_are_known_after_the_group_was_removed_and_added(self):
        # The configuration lacks the group for a while. The host is listed all along.
        for host in self.fleet.hosts.values():
            host.groups.apply_configuration(Configuration(9))
            host.groups.apply_configuration(host.configuration)
        for name in self.fleet.hosts:
            await self.fleet.wait_for(lambda name=name: self.fleet.is_settled(name))
        self.instances["i-1"].silent = True
        await self.instances["i-0"].stop()
        await self.wait_changing()
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(self.fleet.group.promotions, [])

    async def test_a_replica_that_registers_during_a_replacement_is_waited_for(self):
        # It may have confirmed commits of the old primary. Its registration lapses
        # before the group has a primary again, so it is no member by the store.
        await self.instances["i-0"].stop()
        self.instances["i-1"].silent = True
        await self.restart_hosts()
        await self.wait_changing()
        port = self.instances["i-0"].port
        fields = {"name": "i-3", "port": port, "is_primary": False}
        self.fleet.register("i-2")
        item = json.loads(self.fleet.store.items["instances/i-2"].value)
        self.fleet.store.put("instances/i-3", json.dumps(item | fields).encode())
        hosts = self.fleet.hosts.values()
        await self.fleet.wait_for(
            lambda: all("i-3" in self.fleet.state(h).entries for h in self.fleet.hosts)
        )
        self.fleet.store.remove("instances/i-3")
        await self.fleet.wait_for(
            lambda: not any(g._directory._instances.get("i-3") for g in hosts)
        )
        self.instances["i-1"].silent = False
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(self.fleet.group.promotions, [])

    async def test_a_replica_that_came_back_empty_does_not_count(self):
        await self.instances["i-0"].stop()
        self.instances["i-1"].log.clear()
        self.instances["i-1"].applied = 0
        self.fleet.register("i-1", born_ms=2)
        await self.restart_hosts()
        await self.wait_changing()
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(self.fleet.group.promotions, [])

    async def test_the_commits_are_known_after_hosts_were_stopped_in_turn(self):
        with patch("wasabipitch.gateway.OUT_OF_ROTATION_S", 0.1):
            for name in list(self.fleet.hosts):
                await self.fleet.hosts[name].stop()
                await self.fleet.add_host(name)
                await self.fleet.wait_for(lambda name=name: self.fleet.is_settled(name))
        await self.fleet.wait_for(lambda: len(self.list_writers()) == 3)
        self.instances["i-1"].silent = True
        await self.instances["i-0"].stop()
        await self.wait_changing()
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(self.fleet.group.promotions, [])

    async def test_requests_are_refused_at_once_while_no_successor_is_known(self):
        await self.instances["i-0"].stop()
        await self.instances["i-1"].stop()
        await self.restart_hosts()
        await self.wait_changing()
        await asyncio.sleep(1.0)
        caller, _ = await self.fleet.connect(OWN_DB)
        async with asyncio.timeout(0.5):
            lines = await caller.ask("WRITE job later", "w9")
        self.assertTrue(lines[0].startswith("ERROR BUSY"), lines)

    async def test_a_primary_that_returns_under_another_name_leads_on(self):
        lost = self.instances.pop("i-0")
        await lost.stop()
        await self.instances["i-1"].stop()
        for name in ("i-0", "i-1"):
            self.fleet.store.remove(f"instances/{name}")
        await self.restart_hosts()
        returned = LineInstance(self.fleet.group, "i-3")
        returned.log, returned.applied = lost.log, lost.applied
        returned.is_primary = True
        self.instances["i-3"] = returned
        await returned.start()
        self.addAsyncCleanup(returned.stop)
        self.fleet.register("i-3", born_ms=3)
        await self.wait_primary("i-3")
        self.assertEqual(self.fleet.group.promotions, [])
        self.assertEqual(await self.read_job(), "ROW v4")

    async def test_a_running_primary_answers_for_hosts_that_ended(self):
        await self.restart_hosts()
        present = {
            gateway.registration.record.incarnation
            for gateway in self.fleet.hosts.values()
        }
        await self.fleet.wait_for(lambda: self.list_writers() == present)
        state = self.fleet.state()
        self.assertIs(state.record.phase, Phase.STEADY)

    async def test_a_member_that_is_gone_is_dropped_once_another_has_its_commits(self):
        await self.fleet.wait_for(lambda: self.list_members() == {"i-0", "i-1", "i-2"})
        await self.instances["i-1"].stop()
        self.fleet.store.remove("instances/i-1")
        with patch("wasabipitch.coordination.directory.REGISTRATION_GRACE_S", 0.1):
            await asyncio.sleep(1.5)
            self.assertIn("i-1", self.list_members())
            self.instances["i-2"].replication_blocked = False
            self.fleet.group.catch_up(self.instances["i-2"])
            await self.fleet.wait_for(lambda: self.list_members() == {"i-0", "i-2"})
