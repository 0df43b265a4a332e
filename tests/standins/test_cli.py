import asyncio
import json
import os
import signal
import sys
import tempfile
from asyncio.subprocess import PIPE, Process
from pathlib import Path
from unittest import IsolatedAsyncioTestCase

import asyncmy

from tests.standins.clients import get_error, query

PROCESS_TIMEOUT_S = 20
SOURCES = Path(__file__).resolve().parents[2] / "src"
SERVER_GONE = 2006
SERVER_LOST = 2013


class ProcessTest(IsolatedAsyncioTestCase):
    async def start(self, module: str, *flags: str) -> Process:
        proc = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", module, *flags),
            stdout=PIPE,
            stderr=PIPE,
            env=os.environ | {"PYTHONPATH": str(SOURCES)},
        )
        self.addAsyncCleanup(self.end, proc)
        return proc

    async def end(self, proc: Process) -> None:
        if proc.returncode is None:
            proc.kill()
            await proc.wait()

    async def output(self, proc: Process) -> tuple[bytes, bytes]:
        async with asyncio.timeout(PROCESS_TIMEOUT_S):
            return await proc.communicate()

    async def ready(self, proc: Process) -> tuple[str, int]:
        async with asyncio.timeout(PROCESS_TIMEOUT_S):
            text = await proc.stdout.readline()
        if not text:
            self.fail((await self.output(proc))[1].decode())
        line = json.loads(text)
        self.assertTrue(line["ready"])
        host, port = line["address"].split(":")
        return host, int(port)

    async def test_wrong_flags_are_refused(self) -> None:
        for module, flags, reason in (
            ("standins.target", ["--slots", "x"], "--slots"),
            ("standins.target", ["--lag-ms=-1"], "--lag_ms"),
            ("standins.target", ["--bogus", "1"], "--bogus"),
            ("standins.target", ["bogus"], "bogus"),
            ("standins.target", ["--primary", "--initial=false"], "--initial"),
            ("standins.platform", ["--listen", "nowhere"], "--listen"),
        ):
            proc = await self.start(module, *flags)
            out, err = await self.output(proc)
            self.assertEqual((proc.returncode, out), (2, b""), flags)
            self.assertIn(reason, err.decode())

    async def test_sigterm_lets_a_statement_end(self) -> None:
        proc = await self.start("standins.target", "--name=a", "--primary")
        host, port = await self.ready(proc)
        conn = await asyncmy.connect(host=host, port=port, user="app", autocommit=True)
        idle = await asyncmy.connect(host=host, port=port, user="app")
        directories = set(Path(tempfile.gettempdir()).glob("standin-target-*"))
        slow = asyncio.create_task(query(conn, "SELECT SLEEP(0.5), 'done'"))
        await asyncio.sleep(0.1)
        proc.send_signal(signal.SIGTERM)
        self.assertEqual((await slow).rows, ((0, "done"),))
        out, err = await self.output(proc)
        self.assertEqual((proc.returncode, out, err), (0, b"", b""))
        lost = await get_error(idle, "SELECT 1")
        self.assertIn(lost[0], (SERVER_GONE, SERVER_LOST))
        left = set(Path(tempfile.gettempdir()).glob("standin-target-*"))
        self.assertLess(len(left & directories), len(directories))
        conn.close()
        idle.close()

    async def test_the_platform_starts_and_stops(self) -> None:
        proc = await self.start("standins.platform", "--delay-ms=0")
        await self.ready(proc)
        proc.send_signal(signal.SIGTERM)
        out, err = await self.output(proc)
        self.assertEqual((proc.returncode, out, err), (0, b"", b""))
