"""Starts a small deployment: the store, one service, and hosts as separate processes.

The hosts are started with the command of deploy/system.toml. All addresses are loopback
addresses, all ports are free ones, and settings and logs lie in a temporary folder.
"""

import asyncio
import contextlib
import json
import os
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from database import Database  # noqa: E402
from platform_store import Store  # noqa: E402

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
SERVICE = "ledger"
# The routes of wheelcraft-pool's sheet.
ROUTES = (
    ("job-card-close", "primary", 800, 120, 0, 1),
    ("repair-status", "bounded_stale", 1500, 400, 1500, 2),
    ("parts-booking", "read_your_writes", 800, 200, 2500, 2),
)
LIMITS = {"CpuShare": 0.537, "Cores": 2, "MemoryMb": 300, "MaxFds": 4300,
          "LinkMbps": 1000.0, "DiskMb": 0}
BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "StableMs": 4000, "AckMs": 5000,
          "CatchUpS": 4, "DrainMs": 7000, "GraceS": 6, "LossSlackMs": 200,
          "ApplyMs": 3000, "RollbackSlackMs": 250, "SkewMaxMs": 12000, "RecoverS": 12,
          "RequireFence": False, "ThawMs": 300}


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


class Host:
    """A host process."""

    def __init__(self, number, folder, store_address, cloud_address):
        self.name = f"front-{number}"
        self.zone = ZONES[(number - 1) % len(ZONES)]
        # The program's metrics port is fixed, so each host has an address of its own.
        pid = os.getpid()
        self.ip = f"127.{10 + pid % 200}.{pid // 200 % 250}.{number}"
        self.front = (self.ip, self._free_port())
        self.ready = (self.ip, self._free_port())
        self.control = (self.ip, self._free_port())
        self.store_address, self.cloud_address = store_address, cloud_address
        self.settings = folder / f"{self.name}.json"
        self.log = folder / f"{self.name}.log"
        self.process = None

    def _free_port(self):
        with socket.create_server((self.ip, 0)) as sock:
            return sock.getsockname()[1]

    def write_settings(self, seeds, limits):
        fields = {
            "Node": self.name, "Role": "gateway", "Class": "front",
            "Serves": ["front", "control"], "Ip": self.ip, "Zone": self.zone,
            "Region": "r", "Zones": dict.fromkeys(ZONES, "r"),
            "Listen": {"Front": "%s:%d" % self.front, "Ready": "%s:%d" % self.ready,
                       "Control": "%s:%d" % self.control},
            "PortRange": [7440, 7455], "Seeds": seeds, "Bootstrap": True,
            "LossCounts": False, "Limits": {**LIMITS, **limits}, "DataDir": None,
            "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200,
            "Contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
            "Tolerate": {"Machines": 2, "Zones": 0, "Regions": 0}, "Bounds": BOUNDS,
            "platform": {"Addr": self.store_address, "form": "kv", "WritesPerS": 400,
                         "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576,
                         "TtlMinMs": 1000},
            "Cloud": {"Addr": self.cloud_address, "RatePerS": 50.0,
                      "Duties": ["failover"], "DutyPerS": 50.0},
        }
        self.settings.write_text(json.dumps(fields))

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = shlex.split(deploy["roles"]["gateway"]["run"])
        env = {"WASABIPITCH_SETTINGS": str(self.settings), "LANG": "C",
               "PATH": os.environ.get("PATH", ""), "HOME": str(self.settings.parent),
               "PYTHONPATH": str(ROOT / "target" / "deps")}
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
                env=env, cwd=ROOT,
            )

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        if self.is_running:
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Deployment:
    """An async context manager that runs everything and ends it.

    Args:
        hosts: The number of hosts.
        record: The file to which ``note`` writes.
        limits: Fields that replace those of ``LIMITS``.
    """

    def __init__(self, hosts, record, limits=None):
        self.count, self.limits = hosts, limits or {}
        self.started_s = time.monotonic()
        self._record = Path(record).open("w")
        self._stack = contextlib.AsyncExitStack()

    def callback(self, end):
        """Call a coroutine function at the end."""
        self._stack.push_async_callback(end)

    def note(self, text):
        line = f"{time.monotonic() - self.started_s:8.3f} {text}"
        print(line, file=self._record, flush=True)

    async def __aenter__(self):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._stack.callback(self._record.close)
        self._stack.callback(shutil.rmtree, self.folder, True)
        self.database = Database(SERVICE, ZONES)
        self.store = Store(self.database.promote)
        await self.store.start()
        self._stack.push_async_callback(self.store.stop)
        await self.database.start(self.store)
        self._stack.push_async_callback(self.database.stop)
        self.configure(1)
        self.hosts = [
            Host(n, self.folder, self.store.address, self.store.address)
            for n in range(1, self.count + 1)
        ]
        self.seeds = ["%s:%d" % host.control for host in self.hosts[:3]]
        for host in self.hosts:
            self.callback(host.kill)
            host.write_settings(self.seeds, self.limits)
            await host.start()
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def configure(self, version, routes=ROUTES):
        document = {
            "Version": version,
            "Routes": [
                {"Host": name, "Type": kind, "Backend": SERVICE, "TimeoutMs": timeout,
                 "GoalMs": goal, "MaxStalenessMs": stale, "Priority": priority}
                for name, kind, timeout, goal, stale, priority in routes
            ],
            "Backends": [{"Name": SERVICE, "MaxConns": 16, "SyncReplicas": 1}],
            "Limits": {"TxIdleMs": 3000},
        }
        self.store.put("op/config", json.dumps(document).encode())

    async def wait_serving(self, timeout_s=20.0):
        """Wait until each host serves writes; return whether all do."""
        until_s = time.monotonic() + timeout_s
        for host in self.hosts:
            while time.monotonic() < until_s:
                try:
                    client = await Client.open(host.front, "job-card-close", 1.0)
                    outcome, _ = await client.run(f"WRITE probe {host.name}", 1.0)
                    client.close()
                    if outcome == "ok":
                        break
                except (OSError, EOFError, TimeoutError):
                    pass
                await asyncio.sleep(0.1)
            else:
                return False
        return True


class Client:
    """A caller's session over the platform's wire."""

    _numbers = iter(range(1, 1 << 60))

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.state = "I"

    @classmethod
    async def open(cls, address, database, timeout_s=2.0):
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            client = cls(reader, writer)
            writer.write(f"STARTUP {database} u3f1\r\n".encode())
            outcome, _ = await client._answer()
        if outcome != "ok":
            raise EOFError(outcome)
        return client

    async def run(self, text, timeout_s=2.5, request=None):
        """Run a statement; return ``ok`` or the code, and the rows."""
        request = request or f"{next(self._numbers):016x}"
        self.writer.write(f"QUERY {request} {text}\r\n".encode())
        async with asyncio.timeout(timeout_s):
            return await self._answer()

    async def _answer(self):
        outcome, rows = "ok", []
        while True:
            line = (await self.reader.readline()).decode().rstrip("\r\n")
            if not line:
                raise EOFError(outcome if outcome != "ok" else "closed")
            word, _, rest = line.partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "ERROR":
                outcome = rest.split(" ")[0]
            elif word == "READY":
                self.state = rest.split(" ")[0]
                return outcome, rows

    def close(self):
        self.writer.transport.abort()
