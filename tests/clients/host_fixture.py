"""A host process with lowered limits, and crowds of clients that misbehave."""

import asyncio
import contextlib
import json
import os
import socket
import tempfile
import time
from pathlib import Path

from soak.callers import Connection, Disconnected
from soak.hosts import HostProcess
from standins.http_store import PlatformService, RouteSpec
from standins.line_group import HOST, LineGroup
from wasabipitch.models import Address

GROUP = "ledger"
DATABASE = "payments"
MEMORY_MB = 96
MAX_DESCRIPTORS = 160
# The metrics are served on this port, which is no setting.
METRICS_PORT = 9095
LEGAL_BYTES = (1 << 20) - 64
# Each crowd stays for this long after it has sent what it could.
STAY_S = 1.0
CROWD_TIMEOUT_S = 6.0
ANSWER_ATTEMPTS_S = 12.0
STARTUP = f"STARTUP {DATABASE} crowd\r\n".encode()
TRANSACTION = b"QUERY 1 BEGIN\r\nQUERY 2 WRITE held 1\r\n"


def make_write(number, size=LEGAL_BYTES):
    """Return a write whose message has the given size."""
    head = b"QUERY %x WRITE item-%x " % (number + 1, number)
    return head + b"x" * (size - len(head)) + b"\r\n"


class Host:
    """A host process with its store and group, as an async context manager."""

    def __init__(self):
        self._stack = contextlib.AsyncExitStack()
        self.process = None

    async def __aenter__(self):
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.group = LineGroup(GROUP)
        await self.group.start()
        self._stack.push_async_callback(self.group.stop)
        platform = PlatformService({GROUP: self.group})
        await platform.start()
        self._stack.push_async_callback(platform.close)
        platform.configure(1, GROUP, [RouteSpec(DATABASE, "primary")], 24)
        for instance in self.group.instances.values():
            platform.register(instance, Address(HOST, instance.port), False)
        self.process = HostProcess(1, Address(HOST, platform.port), Path(folder))
        self._stack.push_async_callback(self.process.kill)
        self.process.write_settings([])
        self._lower_limits()
        await self.process.start()
        await self.check_served()
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def _lower_limits(self):
        path = self.process._settings
        fields = json.loads(path.read_text(encoding="utf-8"))
        fields["Limits"] = {"MemoryMb": MEMORY_MB, "MaxFds": MAX_DESCRIPTORS}
        path.write_text(json.dumps(fields), encoding="utf-8")

    @property
    def pid(self):
        return self.process._process.pid

    def read_peak_mb(self):
        """Return the most resident memory that the process has had, in MiB."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        raise AssertionError("the process has ended")

    def count_descriptors(self):
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    async def check_served(self):
        """Run one ordinary statement; a refused caller connects again."""
        until_s = time.monotonic() + ANSWER_ATTEMPTS_S
        outcome = "no session"
        while time.monotonic() < until_s:
            try:
                conn = await Connection.open(self.process.front, DATABASE)
            except Disconnected as exc:
                outcome = str(exc)
                await asyncio.sleep(0.1)
                continue
            try:
                outcome, _ = await conn.execute("WRITE ordinary 1")
            except Disconnected as exc:
                outcome = str(exc)
            finally:
                conn.close()
            if outcome == "ok":
                return
            await asyncio.sleep(0.1)
        log = self.process._log.read_text(encoding="utf-8", errors="replace")
        raise AssertionError(
            f"an ordinary statement was not answered: {outcome}; "
            f"running: {self.process.is_running}; log: ...{log[-1500:]}"
        )


class Crowd:
    """Clients that connect to an address and send in a given way.

    Args:
        address: The address of the listener.
        count: The number of clients.
        receive_bytes: The size of each client's receive buffer, or 0 for the default.
    """

    def __init__(self, address, count, receive_bytes=0):
        self._address = address
        self._count = count
        self._receive_bytes = receive_bytes
        self._sockets = []

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        for _ in range(self._count):
            sock = socket.socket()
            sock.setblocking(False)
            if self._receive_bytes:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes
                )
            self._sockets.append(sock)
            with contextlib.suppress(OSError):
                address = (self._address.ip, self._address.port)
                await loop.sock_connect(sock, address)
        return self

    async def __aexit__(self, *exc_info):
        for sock in self._sockets:
            sock.close()

    async def send(self, data, piece=0, pause_s=0.0):
        """Send the same bytes from each client, as far as the host takes them."""
        tasks = [self._send_one(sock, data, piece, pause_s) for sock in self._sockets]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CROWD_TIMEOUT_S):
                await asyncio.gather(*tasks)

    async def _send_one(self, sock, data, piece, pause_s):
        loop = asyncio.get_running_loop()
        view = memoryview(data)
        with contextlib.suppress(OSError):
            for start in range(0, len(data), piece or len(data)):
                await loop.sock_sendall(
                    sock, view[start : start + (piece or len(data))]
                )
                await asyncio.sleep(pause_s)

    async def read_slowly(self, seconds, size=64):
        """Let each client read a few bytes ten times a second."""
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            for sock in self._sockets:
                with contextlib.suppress(OSError):
                    sock.recv(size)
            await asyncio.sleep(0.1)


class HostTestCase:
    """Bounds that hold for a host whatever its clients do; a mix-in."""

    def setUp(self):
        self.started_s = time.monotonic()

    async def check_host(self, host):
        """Check that the host lives within its limits and serves a caller.

        Call it while the crowd's connections are open.
        """
        descriptors = host.count_descriptors()
        await host.check_served()
        peak_mb = host.read_peak_mb()
        seconds = time.monotonic() - self.started_s
        if os.environ.get("SHOW_MEASURED"):
            print(
                f"{self.id().rpartition('.')[2]}: {peak_mb:.0f} MB, "
                f"{descriptors} descriptors, {seconds:.1f} s"
            )
        self.assertTrue(host.process.is_running)
        self.assertLess(peak_mb, MEMORY_MB)
        self.assertLess(descriptors, MAX_DESCRIPTORS)
