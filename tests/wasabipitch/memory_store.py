"""An in-memory store that tests can make fail."""

import asyncio

from wasabipitch.exceptions import StoreConflict, StoreUnavailable
from wasabipitch.store import HostList, Record


class MemoryStore:
    """Keeps records in memory.

    Args:
        hosts: The hosts in the host list.

    Attributes:
        down: Whether all calls fail.
        lost_answers: How many of the next writes take effect without an answer.
    """

    def __init__(self, hosts=()):
        self.records = {}
        self.revision = 0
        self.listed = HostList(tuple(hosts), 1)
        self.down = False
        self.lost_answers = 0
        self.changed = asyncio.Event()

    def set_down(self, down):
        self.down = down
        self._wake()

    async def get(self, key, after=None, wait_s=0.0):
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            await asyncio.sleep(0)
            self._check()
            record = self.records.get(key)
            if record is not None and (after is None or record.revision > after):
                return record
            left_s = deadline - asyncio.get_running_loop().time()
            if left_s <= 0:
                return None
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                return None

    async def put(self, key, value, expect):
        await asyncio.sleep(0)
        self._check()
        record = self.records.get(key)
        revision = record.revision if record else 0
        if expect is not None and expect != revision:
            value = record.value if record else ""
            raise StoreConflict("conflict", revision=revision, value=value)
        self.revision += 1
        self.records[key] = Record(key, value, self.revision)
        self._wake()
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreUnavailable("the answer was lost")
        return self.revision

    async def delete(self, key, expect=None):
        self._check()
        record = self.records.get(key)
        if record and expect not in (None, record.revision):
            raise StoreConflict("", revision=record.revision, value=record.value)
        self.records.pop(key, None)

    async def hosts(self, after=None, wait_s=0.0):
        self._check()
        if after is not None and self.listed.revision <= after:
            await asyncio.sleep(wait_s)
            return None
        return self.listed

    async def close(self):
        pass

    def _check(self):
        if self.down:
            raise StoreUnavailable("the store is down")

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()
