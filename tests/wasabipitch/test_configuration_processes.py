"""Host processes that get a large configuration from each other."""

import asyncio
import json
import signal
import tempfile
import unittest
from pathlib import Path

from soak.hosts import HostProcess
from standins.http_store import HOST, PlatformService, RouteSpec
from wasabipitch.coordination.following import WATCHERS_HASH_KEY
from wasabipitch.gateway import MAX_WATCHING_HOSTS
from wasabipitch.models import Address
from wasabipitch.policy.ownership import choose_owners

HOSTS = MAX_WATCHING_HOSTS + 2
CENTRES = ("north", "south")
ROUTES = 2000
# The host that is killed sends a configuration of 20 KB or more in 6 s or more.
SLOW_LINK_MBPS = 0.05
STRONG_HOSTS = ("host-1", "host-2")
STRONG_LINK_MBPS, WEAK_LINK_MBPS = 200.0, 10.0
# The other hosts need a second; the machine may be busy.
TIMEOUT_S = 60.0


class Host(HostProcess):
    """A host process in one of two data centres, whose log can be read."""

    centre = ""
    link_mbps = 0.0

    def write_settings(self, seeds):
        super().write_settings(seeds)
        fields = json.loads(self._settings.read_text())
        fields["Zone"] = self.centre
        fields["Limits"] = {"LinkMbps": self.link_mbps}
        self._settings.write_text(json.dumps(fields))

    def read_log(self):
        lines = self._log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def find_versions(self, event="configuration in force"):
        return [line["version"] for line in self.read_log() if line["event"] == event]

    def find_sources(self, version):
        return [
            line["source"]
            for line in self.read_log()
            if line["event"] == "configuration received" and line["version"] == version
        ]


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Starts a fleet of host processes in two data centres.

    Attributes:
        first: The watcher that reads the store; the other watcher follows it.
        others: The other hosts.
    """

    def find_link_mbps(self, host):
        """Return the bandwidth in a host's settings, or 0 for none."""
        return 0.0

    async def asyncSetUp(self):
        self.platform = PlatformService({})
        await self.platform.start()
        self.addAsyncCleanup(self.platform.close)
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        store = Address(HOST, self.platform.port)
        self.hosts = {}
        for number in range(1, HOSTS + 1):
            host = Host(number, store, folder)
            host.centre = CENTRES[number % len(CENTRES)]
            self.hosts[host.name] = host
            self.addAsyncCleanup(host.kill)
        centres = {name: host.centre for name, host in self.hosts.items()}
        watchers = choose_owners(WATCHERS_HASH_KEY, centres, len(CENTRES))
        self.first = self.hosts[min(watchers)]
        self.others = [host for host in self.hosts.values() if host is not self.first]
        self.configure(1, 3)
        seeds = [host.links for host in self.hosts.values()]
        for host in self.hosts.values():
            host.link_mbps = self.find_link_mbps(host)
            host.write_settings(seeds)
            await host.start()

    def configure(self, version, routes):
        specs = [RouteSpec(f"database-{n}", "primary") for n in range(routes)]
        self.platform.configure(version, "ledger", specs, 24)

    async def wait_for(self, is_true):
        async with asyncio.timeout(TIMEOUT_S):
            while not is_true():
                await asyncio.sleep(0.1)

    def find_followed(self, host):
        events = ("changes followed at a peer", "store watched itself")
        peers = [
            line.get("peer") for line in host.read_log() if line["event"] in events
        ]
        return peers[-1] if peers else None

    async def wait_version(self, version, hosts):
        await self.wait_for(
            lambda: all(version in host.find_versions() for host in hosts)
        )


class KilledHostTest(FleetCase):
    def find_link_mbps(self, host):
        return SLOW_LINK_MBPS if host is self.first else 0.0

    async def test_the_others_get_it_although_the_host_that_sends_it_ends(self):
        await self.wait_version(1, self.hosts.values())
        await self.wait_for(lambda: all(map(self.find_followed, self.others)))
        self.platform.store.calls.clear()
        self.configure(2, ROUTES)
        await self.wait_for(lambda: 2 in self.first.find_versions())
        await asyncio.sleep(0.5)
        self.first.send(signal.SIGKILL)
        early = [host.name for host in self.others if 2 in host.find_versions()]
        await self.wait_version(2, self.others)
        sources = [host.find_sources(2)[-1] for host in self.others]
        self.assertEqual(early, [])
        # The store has to be read by the next watcher, but not by all hosts.
        self.assertLess(sources.count("store"), len(self.others) / 2)
        self.assertTrue(any(source.startswith("peer") for source in sources))
        # Versions go on to arrive after the change of the watcher.
        self.configure(3, ROUTES + 1)
        await self.wait_version(3, self.others)
        for host in self.others:
            self.assertEqual(host.find_versions(), [1, 2, 3])


class PowerLossTest(FleetCase):
    """All hosts start at once while the store has a large configuration."""

    def find_link_mbps(self, host):
        return STRONG_LINK_MBPS if host.name in STRONG_HOSTS else WEAK_LINK_MBPS

    async def test_hosts_on_slow_links_get_it_from_the_others(self):
        await self.wait_version(1, self.hosts.values())
        self.configure(2, 2 * ROUTES)
        await self.wait_version(2, self.hosts.values())
        for host in self.hosts.values():
            await host.kill()
            host._log.write_text("")
        for host in self.hosts.values():
            await host.start()
        await self.wait_version(2, self.hosts.values())
        for host in self.hosts.values():
            events = [line["event"] for line in host.read_log()]
            is_weak = host.name not in STRONG_HOSTS
            self.assertEqual("listing split" in events, is_weak)
        weak = [host for host in self.others if host.name not in STRONG_HOSTS]
        sources = [host.find_sources(2)[-1] for host in weak]
        self.assertLess(sources.count("store"), len(weak) / 2)


if __name__ == "__main__":
    unittest.main()
