"""Allots the terms in which a group's primaries are promoted.

While the platform's store answers, its compare-and-swap gives each number to
one pool only. In an outage two pools may try the same number; the instances
then decide, since each takes a number only once.
"""

import asyncio
from typing import Protocol

from wasabipitch.exceptions import StoreConflict, StoreError

TERM_KEY_PREFIX = "wasabipitch/terms/"
STORE_TIMEOUT_S = 0.15


class Record(Protocol):
    """A value of the store with the revision that wrote it."""

    @property
    def value(self) -> str:
        """The value."""

    @property
    def revision(self) -> int:
        """Grows with each write."""


class TermStore(Protocol):
    """What the allocator needs of the platform's key-value service."""

    async def get(self, key: str) -> Record | None:
        """Return the record of a key, or None.

        Raises:
            StoreUnavailable: the store gave no answer.
        """

    async def put(self, key: str, value: str, expect: int) -> int:
        """Write where the revision is the expected one; 0: where absent.

        Raises:
            StoreConflict: the key has another revision.
            StoreUnavailable: the store gave no answer; it may have written.
        """


class TermAllocator:
    """Allots the terms of one group.

    Args:
        store: the platform's key-value service.
        group: the group's name.
    """

    def __init__(self, store: TermStore, group: str) -> None:
        self._store = store
        self._key = TERM_KEY_PREFIX + group
        self._last_term = 0

    async def allocate(self, seen: int) -> int:
        """Return a term greater than all that were seen or allotted here before.

        Args:
            seen: the greatest term that any instance has reported.
        """
        floor = max(seen, self._last_term)
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                term = await self._compare_and_swap(floor)
        except (StoreError, TimeoutError, ValueError):
            term = floor + 1
        self._last_term = term
        return term

    async def _compare_and_swap(self, floor: int) -> int:
        record = await self._store.get(self._key)
        value = record.value if record else "0"
        revision = record.revision if record else 0
        while True:
            term = max(int(value), floor) + 1
            try:
                await self._store.put(self._key, str(term), revision)
            except StoreConflict as exc:
                value, revision = exc.value or "0", exc.revision
            else:
                return term
