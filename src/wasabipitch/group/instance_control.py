"""Sends status requests and control commands to single instances."""

import asyncio
from collections.abc import Iterable

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import InstanceEntry
from wasabipitch.exceptions import InstanceLost, MalformedMessage, TargetDown
from wasabipitch.instances.connection import InstanceConnection, connect
from wasabipitch.wire.codecs import InstanceCodec
from wasabipitch.wire.messages import Code, InstanceReport

COMMAND_TIMEOUT_S = 0.4
# A report takes a slot; an instance that refuses with BUSY is asked again after this.
BUSY_PAUSE_S = 0.02


class InstanceControl:
    """Sends commands over control connections, which are opened when needed.

    An instance that does not answer in time counts as silent, and its connection is
    closed.
    """

    def __init__(self, codec: InstanceCodec) -> None:
        self._codec = codec
        self._conns: dict[str, InstanceConnection] = {}
        # Why the last command to an instance got no report, by the instance's name.
        self.failures: dict[str, str] = {}

    async def status(self, entry: InstanceEntry) -> InstanceReport | None:
        """Return an instance's report, or None if it is silent."""
        return await self._send_command(entry, self._codec.status())

    async def fence(self, entry: InstanceEntry, term: int) -> InstanceReport | None:
        """Order a replica to receive no log of lower terms than this one."""
        return await self._send_command(entry, self._codec.fence(term))

    async def step_down(self, entry: InstanceEntry, term: int) -> InstanceReport | None:
        """Order a primary to stop leading any lower term than this one."""
        return await self._send_command(entry, self._codec.step_down(term))

    async def resume(self, entry: InstanceEntry) -> InstanceReport | None:
        """Order a fenced replica to receive the log again."""
        return await self._send_command(entry, self._codec.resume())

    async def fetch_reports(
        self, entries: Iterable[InstanceEntry], patience_s: float | None = None
    ) -> dict[str, InstanceReport]:
        """Return the reports of the instances that answer, by name.

        Args:
            entries: The instances to ask.
            patience_s: How long to wait for the last of them, or None for the timeout
                of a command.
        """
        tasks = {e.name: asyncio.ensure_future(self.status(e)) for e in entries}
        if not tasks:
            return {}
        try:
            await asyncio.wait(tasks.values(), timeout=patience_s)
            reports = {n: task.result() for n, task in tasks.items() if task.done()}
        finally:
            for task in tasks.values():
                task.cancel()
        return {name: report for name, report in reports.items() if report is not None}

    async def fence_all(
        self, entries: Iterable[InstanceEntry], term: int
    ) -> dict[str, InstanceReport]:
        """Fence replicas; return the reports of those that are fenced, by name.

        An instance that knows of a later term accepts no fence of this one.
        """
        entries = list(entries)
        reports = await asyncio.gather(*(self.fence(entry, term) for entry in entries))
        fenced = {}
        for entry, report in zip(entries, reports, strict=True):
            if report is None:
                continue
            if report.is_primary or report.fenced_term < term:
                self.failures[entry.name] = (
                    f"not fenced: term {report.term}, fence {report.fenced_term}"
                )
                continue
            fenced[entry.name] = report
        return fenced

    def close(self) -> None:
        """Close the control connections."""
        for conn in self._conns.values():
            conn.close()
        self._conns.clear()

    async def _send_command(
        self, entry: InstanceEntry, message: bytes
    ) -> InstanceReport | None:
        self.failures[entry.name] = "no answer"
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                report = await self._send_until_accepted(entry, message)
            if report is not None:
                self.failures.pop(entry.name, None)
            return report
        except (TargetDown, InstanceLost, MalformedMessage, TimeoutError) as exc:
            if str(exc):
                self.failures[entry.name] = str(exc)
            conn = self._conns.pop(entry.name, None)
            if conn is not None:
                conn.close()
            return None

    async def _send_until_accepted(
        self, entry: InstanceEntry, message: bytes
    ) -> InstanceReport | None:
        until_s = now_s() + COMMAND_TIMEOUT_S
        while True:
            conn = self._conns.get(entry.name)
            if conn is None or not conn.is_open:
                conn = await connect(entry, self._codec)
                self._conns[entry.name] = conn
            if now_s() > until_s:
                # The timeout does not count the time for which a machine is suspended.
                raise TimeoutError("not sent in time")
            reply = await conn.send(message)
            if reply.rows:
                return self._codec.decode_report(reply.rows[0])
            self.failures[entry.name] = f"refused: {reply.code.value}"
            if reply.code is not Code.BUSY:
                return None
            await asyncio.sleep(BUSY_PAUSE_S)
