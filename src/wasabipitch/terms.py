"""Allocates the terms in which a group's primaries are promoted.

While the platform's store answers, compare-and-swap gives each term to one pool
only. During an outage of the store two pools may try the same term. The instances
then decide between them, since each accepts a term only once.
"""

import asyncio
from typing import Protocol

from wasabipitch.exceptions import StoreConflict, StoreError

TERM_KEY_PREFIX = "wasabipitch/terms/"
STORE_TIMEOUT_S = 0.15


class Record(Protocol):
    """A value in the store, with the revision of its last write."""

    @property
    def value(self) -> str:
        """The stored string."""

    @property
    def revision(self) -> int:
        """The revision, which grows with each write."""


class TermStore(Protocol):
    """The calls of the platform's key-value store that the allocator uses."""

    async def get(self, key: str) -> Record | None:
        """Return the record of a key, or None if there is none.

        Raises:
            StoreUnavailable: The store gave no answer.
        """

    async def put(self, key: str, value: str, expect: int) -> int:
        """Write a value if the key has the expected revision.

        Args:
            key: The key.
            value: The new value.
            expect: The expected revision; 0 if the key must be absent.

        Returns:
            The new revision.

        Raises:
            StoreConflict: The key has another revision.
            StoreUnavailable: The store gave no answer; the value may be written.
        """


class TermAllocator:
    """Allocates the terms of one group.

    Args:
        store: The platform's key-value store.
        group: The group's name.
    """

    def __init__(self, store: TermStore, group: str) -> None:
        self._store = store
        self._key = TERM_KEY_PREFIX + group
        self._last_term = 0

    async def allocate(self, seen: int) -> int:
        """Return a term greater than any that was seen, or allocated here before.

        If the store fails, holds a malformed term, or takes longer than
        ``STORE_TIMEOUT_S``, the term is the next one after these, and another pool
        may allocate the same.

        Args:
            seen: The greatest term that any instance has reported.
        """
        # This floor is a term, unlike the floors of reads, which are log positions.
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
