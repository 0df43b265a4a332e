import asyncio
import unittest

from tests.wasabipitch.memory_store import MemoryStore
from wasabipitch.store import Record
from wasabipitch.terms import TERM_KEY_PREFIX, TermAllocator

KEY = TERM_KEY_PREFIX + "workshop"


class DownStore(MemoryStore):
    def __init__(self) -> None:
        super().__init__()
        self.set_down(True)


class HangingStore(MemoryStore):
    async def get(self, key: str) -> Record | None:
        await asyncio.Event().wait()


class TermAllocatorTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = MemoryStore()
        self.allocator = TermAllocator(self.store, "workshop")

    async def test_term_is_above_seen_and_stored(self) -> None:
        self.assertEqual(await self.allocator.allocate(4), 5)
        self.assertEqual(self.store.records[KEY].value, "5")
        self.assertEqual(await self.allocator.allocate(0), 6)

    async def test_pools_that_allocate_at_once_get_different_terms(self) -> None:
        others = [TermAllocator(self.store, "workshop") for _ in range(5)]
        terms = await asyncio.gather(*(other.allocate(3) for other in others))
        self.assertEqual(sorted(terms), [4, 5, 6, 7, 8])

    async def test_outage_takes_the_next_after_the_greatest_seen(self) -> None:
        for store in (DownStore(), HangingStore()):
            with self.subTest(type(store).__name__):
                allocator = TermAllocator(store, "workshop")
                self.assertEqual(await allocator.allocate(7), 8)
                self.assertEqual(await allocator.allocate(7), 9)

    async def test_lost_answer_gives_no_term_twice(self) -> None:
        self.store.lost_answers = 1
        first = await self.allocator.allocate(2)
        self.assertGreater(await self.allocator.allocate(2), first)

    async def test_malformed_record_counts_as_an_outage(self) -> None:
        self.store.records[KEY] = Record(KEY, "seven", 1)
        self.assertEqual(await self.allocator.allocate(2), 3)
