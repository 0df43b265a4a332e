"""Starts hosts with the command of deploy/system.toml, and sessions of clients."""

import asyncio
import itertools
import json
import os
import secrets
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(Path(__file__).resolve().parent))

from database_standin import Service  # noqa: E402
from platform_standin import Platform  # noqa: E402

PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}
METRICS_PORT = 9095
_requests = itertools.count(1)


class CannotRun(Exception):
    """The case could not run here; it says nothing about the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, text):
        at = time.monotonic() - self._start
        self._file.write(f"{at:8.3f} {text}\n")

    def close(self):
        self._file.close()


def _is_free(ip):
    try:
        with socket.create_server((ip, METRICS_PORT)):
            return True
    except OSError:
        return False


def _free_port(ip):
    with socket.create_server((ip, 0)) as sock:
        return sock.getsockname()[1]


class HostProcess:
    """A host of the system, a process of its own on its own loopback address."""

    def __init__(self, number, ip, zone, zones, folder):
        self.name, self.ip, self.zone = f"front-{zone}-{number}", ip, zone
        self.front, self.ready, self.control = (
            f"{ip}:{_free_port(ip)}" for _ in range(3)
        )
        self._zones = zones
        self._settings = Path(folder) / f"{self.name}.json"
        self.log = Path(folder) / f"{self.name}.log"
        self.process = None

    def write_settings(self, seeds, store, cloud):
        bounds = {"GraceS": 6, "DrainMs": 7000, "StableMs": 4000, "ApplyMs": 3000}
        self._settings.write_text(
            json.dumps(
                {
                    "Node": self.name,
                    "Role": "gateway",
                    "Class": "front",
                    "Serves": ["front", "control"],
                    "Ip": self.ip,
                    "Zone": self.zone,
                    "Region": "ga-north",
                    "Zones": {zone: "ga-north" for zone in self._zones},
                    "Listen": {
                        "Front": self.front,
                        "Ready": self.ready,
                        "Control": self.control,
                    },
                    "Seeds": seeds,
                    "Bootstrap": True,
                    "Discovery": "platform",
                    "Entry": "vip",
                    "HeartbeatMs": 1200,
                    "Bounds": {**bounds, "RequireFence": False, "ThawMs": 300},
                    "platform": {
                        "Addr": store,
                        "form": "kv",
                        "WritesPerS": 400,
                        "ReadsPerS": 2000,
                        "HistoryS": 20,
                        "ValueBytes": 1048576,
                        "TtlMinMs": 1000,
                    },
                    "Cloud": {"Addr": cloud, "Duties": ["failover"], "DutyPerS": 50.0},
                }
            )
        )

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["WASABIPITCH_SETTINGS"] = str(self._settings)
        env["PYTHONPATH"] = "target/deps"
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=env,
                cwd=ROOT,
            )

    def send(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self):
        ip, _, port = self.ready.rpartition(":")
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.transport.abort()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


class Gone(Exception):
    """The session ended, or no answer came within the client's time limit."""


class Reply:
    def __init__(self, rows, digest, code, state):
        self.rows, self.digest, self.code, self.state = rows, digest, code, state

    @property
    def ok(self):
        return self.code is None

    @property
    def is_promise(self):
        return self.code in PROMISES


class Client:
    """A session of a client on the wire of PROTOCOL.md; a line ends with CR LF."""

    def __init__(self, name, note):
        self.name, self._note = name, note
        self.sent = {}
        self._reader = self._writer = None

    async def open(self, address, database):
        ip, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(2):
                self._reader, self._writer = await asyncio.open_connection(
                    ip, int(port), limit=1 << 21
                )
                self._writer.write(f"STARTUP {database} {self.name}\r\n".encode())
                line = await self._read()
        except (OSError, TimeoutError) as exc:
            raise Gone(str(exc)) from exc
        if not line.startswith("READY"):
            raise Gone(line)

    async def _read(self):
        try:
            return (await self._reader.readuntil(b"\r\n"))[:-2].decode()
        except (OSError, asyncio.IncompleteReadError) as exc:
            raise Gone("the connection ended") from exc

    async def query(self, text, limit_s=2.5):
        """Send a statement under a new id and return the reply."""
        request = f"{secrets.token_hex(4)}{next(_requests):08x}"
        self.sent[request] = text
        self._note(f"{self.name} sends {request} {text!r}")
        try:
            async with asyncio.timeout(limit_s):
                self._writer.write(f"QUERY {request} {text}\r\n".encode())
                reply = await self._read_reply()
        except TimeoutError as exc:
            self._note(f"{self.name} has no answer to {request} in {limit_s} s")
            raise Gone("no answer in time") from exc
        except Gone as exc:
            self._note(f"{self.name} has no answer to {request}: {exc}")
            raise
        self._note(
            f"{self.name} gets for {request}: {reply.code or 'COMPLETE'} "
            f"rows {reply.rows} state {reply.state}"
        )
        return reply

    async def _read_reply(self):
        rows, digest, code = [], None, None
        while True:
            word, _, rest = (await self._read()).partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "COMPLETE":
                digest = rest
            elif word == "ERROR":
                code = rest.partition(" ")[0]
            elif word == "READY":
                return Reply(rows, digest, code, rest.partition(" ")[0])

    def close(self):
        if self._writer is not None:
            self._writer.transport.abort()


class Deployment:
    """Hosts, the platform and one service, for the time of a case."""

    def __init__(
        self, note, *, hosts, zones, routes, max_conns, slots=2, work_s=0.004
    ):
        self.note = note
        self._routes, self._max_conns = routes, max_conns
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.service = Service(
            "ledger", zones, note, slots=slots, max_conns=max_conns, work_s=work_s
        )
        self.platform = Platform(self.service.promote, note)
        base = self._find_network(hosts)
        self.hosts = [
            HostProcess(
                n, f"{base}.{10 + n}", zones[n % len(zones)], zones, self._folder.name
            )
            for n in range(hosts)
        ]
        # The address at which each host finds the promotion call, by host name.
        self.cloud_addresses = {}

    @staticmethod
    def _find_network(hosts):
        for _ in range(50):
            base = f"127.{secrets.randbelow(200) + 20}.{secrets.randbelow(250) + 1}"
            if all(_is_free(f"{base}.{10 + n}") for n in range(hosts)):
                return base
        raise CannotRun("no free loopback addresses")

    async def start(self):
        if not (ROOT / "target/modules.image").exists():
            raise CannotRun("target/ is missing: run the build of deploy/system.toml")
        await self.platform.start()
        self.configure(1)
        await self.service.start(self.platform.store)

    def configure(self, version):
        self.platform.store.put(
            "op/config",
            {
                "Version": version,
                "Routes": self._routes,
                "Backends": [
                    {
                        "Name": self.service.name,
                        "MaxConns": self._max_conns,
                        "SyncReplicas": 1,
                    }
                ],
                "Limits": {"TxIdleMs": 5000, "MaxBodyBytes": 262144},
            },
        )

    async def start_hosts(self, timeout_s=25, wait=True):
        seeds = [host.control for host in self.hosts[:3]]
        store = self.platform.store_server.address
        cloud = self.platform.cloud_server.address
        for host in self.hosts:
            own = self.cloud_addresses.get(host.name, cloud)
            host.write_settings(seeds, store, own)
            await host.start()
        until = time.monotonic() + timeout_s
        waiting = list(self.hosts) if wait else []
        while waiting:
            waiting = [h for h in waiting if not await h.is_ready()]
            if time.monotonic() > until:
                raise CannotRun(f"not ready: {[h.name for h in waiting]}")
            await asyncio.sleep(0.1)
        self.note(f"ready: {[(h.name, h.process.pid) for h in self.hosts]}")

    async def close(self):
        for host in self.hosts:
            await host.kill()
        await self.service.close()
        await self.platform.close()
        await asyncio.sleep(0.2)
        self._folder.cleanup()


def route(database, kind, max_age_ms=0, timeout_ms=800, goal_ms=200):
    """A route of the configuration, to the only service."""
    return {
        "Host": database,
        "Type": kind,
        "Backend": "ledger",
        "TimeoutMs": timeout_ms,
        "GoalMs": goal_ms,
        "Priority": 1,
        "MaxStalenessMs": max_age_ms,
    }


def has_trouble():
    """Whether the disruption is to be made (``TROUBLE=0`` leaves it out)."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, make, play, limit_s=115):
    """Run a case and exit: 0 the rule held, 1 it was broken, 2 it could not run.

    Args:
        folder: The folder of the case, for record.txt.
        make: Returns the deployment, given the record.
        play: Plays the case on it and returns the breaks that were seen.
    """

    async def run():
        # A case that is stopped from outside ends its processes, too.
        stop = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
        record = Record(folder)
        deployment = make(record)
        try:
            async with asyncio.timeout(limit_s):
                await deployment.start()
                breaks = await play(deployment, record)
        finally:
            await deployment.close()
        for text in breaks:
            record(f"BROKEN: {text}")
        record(f"result: {len(breaks)} breaks, trouble {has_trouble()}")
        record.close()
        return breaks

    try:
        breaks = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as exc:
        print(f"the case could not run: {type(exc).__name__}: {exc}")
        sys.exit(2)
    for text in breaks[:5]:
        print(f"BROKEN: {text}")
    print("the rule was broken" if breaks else "the rule held")
    sys.exit(1 if breaks else 0)
