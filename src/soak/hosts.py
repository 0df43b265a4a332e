"""The hosts under test, which run as separate processes."""

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from wasabipitch.models import Address

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "platform" / "main.py"
GRACE_S = 3.0
# Longer than GRACE_S; a process that has not exited by then is killed.
EXIT_TIMEOUT_S = 8.0


def _free_port(ip: str) -> int:
    with socket.create_server((ip, 0)) as sock:
        return sock.getsockname()[1]


class HostProcess:
    """A host process that can be stopped and started again.

    Args:
        number: The number of the host, from 1; it selects the loopback address.
        store: The address of the platform's store and promotions.
        folder: The directory for its settings and its log.
    """

    def __init__(self, number: int, store: Address, folder: Path) -> None:
        self.name = f"host-{number}"
        # Concurrent runs use different loopback networks.
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
        """Whether the process has been started and has not exited."""
        return self._process is not None and self._process.returncode is None

    def write_settings(
        self, seeds: list[Address], bounds: Mapping[str, Any] | None = None
    ) -> None:
        """Write the settings file that the process reads when it starts.

        Args:
            seeds: The addresses of the hosts' links.
            bounds: More fields of the bounds.
        """
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
            "Bounds": {"GraceS": GRACE_S, **(bounds or {})},
            "platform": {"Addr": str(self._store)},
            "Cloud": {"Addr": str(self._store)},
        }
        self._settings.write_text(json.dumps(fields), encoding="utf-8")

    async def start(self) -> None:
        """Start the process unless it is running."""
        # Overlapping faults may restart the same host at once.
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
        """Send a signal to the process if it is running."""
        if self.is_running:
            self._process.send_signal(number)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.paused = True
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.paused = False
        self.send(signal.SIGCONT)

    async def wait_exit(self) -> None:
        """Wait for the process to exit, and kill it after ``EXIT_TIMEOUT_S``."""
        if self._process is None:
            return
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self._process.wait()

    async def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.send(signal.SIGKILL)
        await self.wait_exit()
