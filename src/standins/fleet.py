"""Starts a complete fleet as local processes, for the demo, tests and benchmark."""

import asyncio
import dataclasses
import json
import secrets
import signal
import sys
import tempfile
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import asyncmy
import msgspec
import yaml

from wasabipitch import deployment as deployments
from wasabipitch.configuration import apply
from wasabipitch.deployment import Deployment, Group
from wasabipitch.events import Clock
from wasabipitch.exceptions import WasabipitchError
from wasabipitch.links import Link
from wasabipitch.messages import AskStatus, Hello, ProcessState
from wasabipitch.models import Address, Host
from wasabipitch.store import PlatformStore

READY_TIMEOUT_S = 20.0
SETTLE_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.05
CONFIGURATION_KEY = "wasabipitch/configuration"
HARNESS_USER = "harness"


@dataclass(frozen=True)
class FleetConfig:
    """The configuration of a fleet.

    Args:
        deployment: The deployment to run. The addresses of its instances are
            replaced by the ports that the targets bind.
        data_centres: The names of the data centres. Each one gets an entry and a
            pool.
        target_flags: Extra flags for every ``standin-target``, such as ``lag_ms``.
        platform_flags: Extra flags for ``standin-platform``.
        entry_settings: Settings of every entry, merged over the defaults.
        log_level: The log level of entries and pools.
    """

    deployment: Deployment
    data_centres: tuple[str, ...]
    target_flags: dict[str, Any] = field(default_factory=dict)
    platform_flags: dict[str, Any] = field(default_factory=dict)
    entry_settings: dict[str, Any] = field(default_factory=dict)
    log_level: str = "warning"


@dataclass
class RunningProcess:
    """A running process of the fleet.

    Args:
        name: The name of the process in the fleet.
        command: The command line that started it.
        process: The handle of the subprocess.
        ready: The JSON object that the process printed once it was serving.
    """

    name: str
    command: list[str]
    process: asyncio.subprocess.Process
    ready: dict[str, Any]

    @property
    def address(self) -> Address:
        """The address that a target, the platform or an entry serves clients on."""
        return Address.parse(self.ready["address"])

    @property
    def link(self) -> Address:
        """The address on which an entry or a pool accepts links."""
        return Address.parse(self.ready["link"])

    def send(self, sig: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(sig)

    async def kill(self) -> None:
        """Kill the process with SIGKILL to simulate a crash."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def stop(self) -> int:
        """Terminate the process and return its exit code.

        A paused process is resumed first. One that does not exit within
        ``STOP_TIMEOUT_S`` is killed.
        """
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
            try:
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await self.process.wait()
            except TimeoutError:
                await self.kill()
        return self.process.returncode


class Fleet:
    """An async context manager that runs a platform, targets, pools and entries.

    Args:
        cfg: The processes to start and their settings.
    """

    def __init__(self, cfg: FleetConfig) -> None:
        self.cfg = cfg
        self.deployment = cfg.deployment
        self.processes: dict[str, RunningProcess] = {}
        self._stack = AsyncExitStack()
        self._directory = Path()

    async def __aenter__(self) -> "Fleet":
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    @property
    def entries(self) -> list[RunningProcess]:
        """The entries, sorted by name."""
        return [p for n, p in sorted(self.processes.items()) if n.startswith("entry-")]

    @property
    def pools(self) -> list[RunningProcess]:
        """The pools, sorted by name."""
        return [p for n, p in sorted(self.processes.items()) if n.startswith("pool-")]

    @property
    def platform(self) -> RunningProcess:
        """The stand-in for the platform."""
        return self.processes["platform"]

    async def start_target(
        self, group: Group, name: str, *, initial: bool, primary: bool = False
    ) -> RunningProcess:
        """Start an instance; a restarted one listens on its previous address."""
        instance = group.instance(name)
        before = self.processes.get(name)
        flags = {
            "name": name,
            "listen": str(before.address) if before else "127.0.0.1:0",
            "data_centre": instance.data_centre,
            "slots": group.slots,
            "connections": group.connections,
            "initial": initial,
            "primary": primary,
            **self.cfg.target_flags,
        }
        return await self._spawn(name, "standins.target", flags)

    async def start_pool(self, name: str, data_centre: str) -> RunningProcess:
        """Start a pool and add it to the platform's list of hosts."""
        return await self._start_host(name, "pool", data_centre, {})

    async def start_entry(self, name: str, data_centre: str) -> RunningProcess:
        """Start an entry and add it to the platform's list of hosts."""
        callers = [{"name": "app"}, {"name": HARNESS_USER}]
        settings = {"callers": callers, **self.cfg.entry_settings}
        return await self._start_host(name, "entry", data_centre, settings)

    async def call_target(self, name: str, statement: str) -> dict[str, Any]:
        """Run a control call on an instance and return its first row."""
        address = self.processes[name].address
        conn = await asyncmy.connect(
            host=address.ip, port=address.port, user=HARNESS_USER, connect_timeout=2
        )
        try:
            async with conn.cursor(asyncmy.cursors.DictCursor) as cursor:
                await cursor.execute(statement)
                return await cursor.fetchone() or {}
        finally:
            conn.close()

    async def set_faults(self, **faults: Any) -> None:
        """Inject faults into the platform, such as ``down=True``."""
        await self.call_admin("PUT", "faults", faults)

    async def call_admin(self, method: str, path: str, body: Any = None) -> Any:
        """Call the administration API of the platform and return its JSON reply."""
        url = f"http://{self.platform.address}/admin/{path}"
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, json=body) as answer,
        ):
            return await answer.json()

    async def ask(self, name: str, message: Any, timeout_s: float = 2.0) -> Any:
        """Send a control message to an entry or a pool and return the reply."""
        host = Host("harness", "ctl", "127.0.0.1:0", "harness")
        link = Link(self.processes[name].link, Hello(host, "harness"), Clock())
        try:
            return await link.call(message, timeout_s)
        finally:
            await link.close()

    async def apply(self, deployment: Deployment, expect: int | None = None) -> int:
        """Apply a configuration and return its revision.

        Args:
            deployment: The configuration to apply.
            expect: The revision that it replaces; by default the stored one.

        Raises:
            StoreConflict: The stored revision is not ``expect``.
        """
        store = PlatformStore(self.platform.address)
        try:
            if expect is None:
                record = await store.get(CONFIGURATION_KEY)
                expect = record.revision if record else 0
            document = deployments.dump_json(deployment)
            nonce = secrets.token_hex(8)
            return await apply(
                store, CONFIGURATION_KEY, document, expect, nonce, HARNESS_USER
            )
        finally:
            await store.close()

    async def fetch_primary(self, group: str) -> str:
        """Return the primary that a group's first owner reports, or an empty string."""
        for pool in self.pools:
            try:
                state: ProcessState = await self.ask(pool.name, AskStatus())
            except WasabipitchError:
                continue
            for served in state.groups:
                if served.name == group and served.rank == 0:
                    return served.primary
        return ""

    async def wait_until_ready(self) -> None:
        """Wait until every group has a primary and every process a configuration.

        Raises:
            TimeoutError: The fleet is not ready within ``SETTLE_TIMEOUT_S``.
        """
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(POLL_S)

    async def _start(self) -> None:
        directory = tempfile.TemporaryDirectory(prefix="wasabipitch-fleet-")
        self._directory = Path(self._stack.enter_context(directory))
        self._stack.push_async_callback(self._stop_all)
        platform_flags = {"listen": "127.0.0.1:0", **self.cfg.platform_flags}
        await self._spawn("platform", "standins.platform", platform_flags)
        groups = await asyncio.gather(
            *(self._start_group(group) for group in self.deployment.groups)
        )
        self.deployment = dataclasses.replace(self.deployment, groups=tuple(groups))
        await self.apply(self.deployment)
        await asyncio.gather(
            *(
                start(f"{role}-{number}", data_centre)
                for number, data_centre in enumerate(self.cfg.data_centres, 1)
                for role, start in (
                    ("pool", self.start_pool),
                    ("entry", self.start_entry),
                )
            )
        )
        await self.wait_until_ready()

    async def _start_group(self, group: Group) -> Group:
        names = [instance.name for instance in group.instances]
        await asyncio.gather(
            *(
                self.start_target(group, n, initial=True, primary=n == names[0])
                for n in names
            )
        )
        leader = self.processes[names[0]].address
        for name in names[1:]:
            await self.call_target(name, f"CALL wasabipitch_follow('{leader}', 1)")
        instances = tuple(
            dataclasses.replace(i, address=str(self.processes[i.name].address))
            for i in group.instances
        )
        return dataclasses.replace(group, instances=instances)

    async def _start_host(
        self, name: str, role: str, data_centre: str, settings: dict[str, Any]
    ) -> RunningProcess:
        document = {
            "host": name,
            "data_centre": data_centre,
            "platform": str(self.platform.address),
            "logs": {"level": self.cfg.log_level},
            "fault_injection": True,
            **settings,
        }
        path = self._directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(document), encoding="utf-8")
        module = f"wasabipitch.cli.{role}"
        process = await self._spawn(name, module, {"settings": str(path)})
        listed = Host(name, role, str(process.link), data_centre)
        await self.call_admin("PUT", "hosts", msgspec.to_builtins(listed))
        return process

    async def _spawn(
        self, name: str, module: str, flags: dict[str, Any]
    ) -> RunningProcess:
        arguments = [f"--{flag}={value}" for flag, value in flags.items()]
        command = [sys.executable, "-m", module, *arguments]
        with open(self._directory / f"{name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                *command,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
            )
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                line = await process.stdout.readline()
            ready = json.loads(line)
        except (TimeoutError, ValueError) as exc:
            process.kill()
            raise RuntimeError(f"{name} did not start: {self.read_log(name)}") from exc
        running = RunningProcess(name, command, process, ready)
        self.processes[name] = running
        return running

    def read_log(self, name: str) -> str:
        """Return the standard error output of a process."""
        path = self._directory / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    async def _is_ready(self) -> bool:
        established: set[str] = set()
        for process in [*self.pools, *self.entries]:
            try:
                state: ProcessState = await self.ask(process.name, AskStatus())
            except WasabipitchError:
                return False
            if not state.revision:
                return False
            established |= {g.name for g in state.groups if g.primary and g.rank == 0}
        return established == {g.name for g in self.deployment.groups}

    async def _stop_all(self) -> None:
        order = [*self.entries, *self.pools]
        rest = [p for p in self.processes.values() if p not in order]
        for group in (self.entries, self.pools, rest):
            await asyncio.gather(*(p.stop() for p in group))
