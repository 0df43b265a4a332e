"""The hosts under test: real processes, controlled by signals."""

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path

from wasabipitch.models import Address

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "platform" / "main.py"
GRACE_S = 3.0
# Well above the grace; a process that takes longer is killed.
EXIT_TIMEOUT_S = 8.0


def _free_port(ip: str) -> int:
    with socket.create_server((ip, 0)) as sock:
        return sock.getsockname()[1]


class HostProcess:
    """One host; it may be started again after its end.

    Args:
        number: from 1; also of its loopback address.
        store: where it reaches the platform's store and promotions.
        folder: where its settings and logs go.
    """

    def __init__(self, number: int, store: Address, folder: Path) -> None:
        self.name = f"host-{number}"
        # Runs beside each other have loopback networks of their own.
        pid = os.getpid()
        self.ip = f"127.{1 + pid % 200}.{pid // 200 % 250}.{10 + number}"
        self.front = Address(self.ip, _free_port(self.ip))
        self.links = Address(self.ip, _free_port(self.ip))
        self._readiness_address = Address(self.ip, _free_port(self.ip))
        self._store = store
        self._settings = folder / f"{self.name}.json"
        self._log = folder / f"{self.name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._start_lock = asyncio.Lock()
        self.paused = False

    @property
    def is_running(self) -> bool:
        """Whether its process has not ended."""
        return self._process is not None and self._process.returncode is None

    def write_settings(self, seeds: list[Address]) -> None:
        """Write what the process reads at its start."""
        fields = {
            "Node": self.name,
            "Ip": self.ip,
            "Zone": f"dc-{self.ip[-1]}",
            "Listen": {
                "Front": str(self.front),
                "Ready": str(self._readiness_address),
                "Control": str(self.links),
            },
            "Seeds": [str(seed) for seed in seeds],
            "Bounds": {"GraceS": GRACE_S},
            "platform": {"Addr": str(self._store)},
            "Cloud": {"Addr": str(self._store)},
        }
        self._settings.write_text(json.dumps(fields), encoding="utf-8")

    async def start(self) -> None:
        """Start its process, unless it runs."""
        # Faults that overlap may both want to start it.
        async with self._start_lock:
            if self.is_running:
                return
            self.paused = False
            with self._log.open("ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    str(PROGRAM),
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    env={"WASABIPITCH_SETTINGS": str(self._settings)},
                    cwd=ROOT,
                )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to its process, if that runs."""
        if self.is_running:
            self._process.send_signal(number)

    def pause(self) -> None:
        """Freeze the process."""
        self.paused = True
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self.paused = False
        self.send(signal.SIGCONT)

    async def wait_exit(self) -> None:
        """Wait until the process has ended; kill it if that takes too long."""
        if self._process is None:
            return
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self._process.wait()

    async def kill(self) -> None:
        """End the process at once."""
        self.send(signal.SIGKILL)
        await self.wait_exit()
