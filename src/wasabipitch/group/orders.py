"""Questions and orders to single instances while a primary is replaced."""

import asyncio
from collections.abc import Iterable

from wasabipitch.coordination.documents import InstanceEntry
from wasabipitch.exceptions import InstanceLost, MalformedMessage, TargetDown
from wasabipitch.instances.connection import InstanceConnection, connect
from wasabipitch.wire.codecs import InstanceCodec
from wasabipitch.wire.messages import Code, InstanceReport

ORDER_TIMEOUT_S = 0.4
# Reports take a slot; a busy instance is asked again after this pause.
BUSY_PAUSE_S = 0.02


class InstanceOrders:
    """Control connections to the instances of a group, opened when needed."""

    def __init__(self, codec: InstanceCodec) -> None:
        self._codec = codec
        self._conns: dict[str, InstanceConnection] = {}

    async def status(self, entry: InstanceEntry) -> InstanceReport | None:
        """Return what an instance says of itself, or None if it is silent."""
        return await self._order(entry, self._codec.status())

    async def pause(self, entry: InstanceEntry, term: int) -> InstanceReport | None:
        """Order a replica to receive nothing of lower terms."""
        return await self._order(entry, self._codec.fence(term))

    async def step_down(self, entry: InstanceEntry, term: int) -> InstanceReport | None:
        """Order a primary to lead no lower term."""
        return await self._order(entry, self._codec.step_down(term))

    async def resume(self, entry: InstanceEntry) -> InstanceReport | None:
        """Order a replica to receive again."""
        return await self._order(entry, self._codec.resume())

    async def status_of(
        self, entries: Iterable[InstanceEntry]
    ) -> dict[str, InstanceReport]:
        """Return the reports of those that answer, by name."""
        entries = list(entries)
        reports = await asyncio.gather(*(self.status(entry) for entry in entries))
        return _by_name(entries, reports)

    async def pause_all(
        self, entries: Iterable[InstanceEntry], term: int
    ) -> dict[str, InstanceReport]:
        """Pause replicas; return the reports of those that answer, by name."""
        entries = list(entries)
        reports = await asyncio.gather(*(self.pause(entry, term) for entry in entries))
        return _by_name(entries, reports)

    def close(self) -> None:
        """Close the control connections."""
        for conn in self._conns.values():
            conn.close()
        self._conns.clear()

    async def _order(
        self, entry: InstanceEntry, message: bytes
    ) -> InstanceReport | None:
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                return await self._ask(entry, message)
        except (TargetDown, InstanceLost, MalformedMessage, TimeoutError):
            conn = self._conns.pop(entry.name, None)
            if conn is not None:
                conn.close()
            return None

    async def _ask(self, entry: InstanceEntry, message: bytes) -> InstanceReport | None:
        while True:
            conn = self._conns.get(entry.name)
            if conn is None or not conn.is_open:
                conn = await connect(entry, self._codec)
                self._conns[entry.name] = conn
            reply = await conn.send(message)
            if reply.rows:
                return self._codec.decode_report(reply.rows[0])
            if reply.code is not Code.BUSY:
                return None
            await asyncio.sleep(BUSY_PAUSE_S)


def _by_name(entries, reports) -> dict[str, InstanceReport]:
    pairs = zip(entries, reports, strict=True)
    return {entry.name: report for entry, report in pairs if report is not None}
