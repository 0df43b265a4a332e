import asyncio
import unittest
from dataclasses import dataclass

from wasabipitch.exceptions import StoreConflict, StoreUnavailable
from wasabipitch.terms import TERM_KEY_PREFIX, TermAllocator


@dataclass(frozen=True)
class MemoryRecord:
    value: str
    revision: int


class MemoryStore:
    """The platform's store in memory, with its outages and lost answers."""

    def __init__(self) -> None:
        self.records: dict[str, MemoryRecord] = {}
        self.down = False
        self.hanging = False
        self.lose_next_answer = False
        self._revision = 0

    async def get(self, key: str) -> MemoryRecord | None:
        await self._answer()
        return self.records.get(key)

    async def put(self, key: str, value: str, expect: int) -> int:
        await self._answer()
        record = self.records.get(key)
        revision = record.revision if record else 0
        if revision != expect:
            value = record.value if record else ""
            raise StoreConflict("conflict", revision=revision, value=value)
        self._revision += 1
        self.records[key] = MemoryRecord(value, self._revision)
        if self.lose_next_answer:
            self.lose_next_answer = False
            raise StoreUnavailable("the answer was lost")
        return self._revision

    async def _answer(self) -> None:
        await asyncio.sleep(0)
        if self.hanging:
            await asyncio.Event().wait()
        if self.down:
            raise StoreUnavailable("down")


class TermAllocatorTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = MemoryStore()
        self.allocator = TermAllocator(self.store, "workshop")

    async def test_term_is_above_seen_and_stored(self) -> None:
        self.assertEqual(await self.allocator.allot(4), 5)
        self.assertEqual(self.store.records[TERM_KEY_PREFIX + "workshop"].value, "5")
        self.assertEqual(await self.allocator.allot(0), 6)

    async def test_pools_that_allot_at_once_get_different_terms(self) -> None:
        others = [TermAllocator(self.store, "workshop") for _ in range(5)]
        terms = await asyncio.gather(*(other.allot(3) for other in others))
        self.assertEqual(sorted(terms), [4, 5, 6, 7, 8])

    async def test_outage_takes_the_next_after_the_greatest_seen(self) -> None:
        for fault in ("down", "hanging"):
            with self.subTest(fault):
                store = MemoryStore()
                setattr(store, fault, True)
                allocator = TermAllocator(store, "workshop")
                self.assertEqual(await allocator.allot(7), 8)
                self.assertEqual(await allocator.allot(7), 9)

    async def test_lost_answer_gives_no_term_twice(self) -> None:
        self.store.lose_next_answer = True
        first = await self.allocator.allot(2)
        self.assertGreater(await self.allocator.allot(2), first)

    async def test_malformed_record_counts_as_an_outage(self) -> None:
        key = TERM_KEY_PREFIX + "workshop"
        self.store.records[key] = MemoryRecord("seven", 1)
        self.assertEqual(await self.allocator.allot(2), 3)
