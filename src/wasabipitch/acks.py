"""Acknowledges writes: only once a majority of the instances holds them."""

import asyncio
import contextlib
import time
from collections.abc import Iterator

from wasabipitch.exceptions import InDoubt
from wasabipitch.models import Position
from wasabipitch.sampling import SAMPLE_ERRORS, Sampler
from wasabipitch.view import GroupView

PROGRESS_WAIT_S = 0.5
RETRY_S = 0.05


class Acknowledger:
    """Waits until a majority holds what the primary has committed.

    While a write waits, one task per replica asks for that replica's progress
    with a long poll, so that an entry is noticed when it arrives.

    Args:
        view: the group.
        sampler: for the primary's position.
    """

    def __init__(self, view: GroupView, sampler: Sampler) -> None:
        self._view = view
        self._sampler = sampler
        self._waiting_writes = 0
        self._progress_tasks: dict[str, asyncio.Task] = {}
        self._open_writes = 0

    @property
    def idle(self) -> bool:
        """Whether no write runs or waits to be acknowledged."""
        return not self._open_writes

    @contextlib.contextmanager
    def track_write(self) -> Iterator[None]:
        """Count a write from before it is sent until it is acknowledged."""
        self._open_writes += 1
        try:
            yield
        finally:
            self._open_writes -= 1

    async def wait_for_majority(
        self, primary: str, term: int, deadline_s: float
    ) -> Position:
        """Wait until all that the primary has committed is held by a majority.

        Args:
            primary: the instance that committed the write.
            term: the term in which it was primary when the write was sent.
            deadline_s: a monotonic time.

        Returns:
            The primary's position after the write.

        Raises:
            InDoubt: if no majority holds it by the deadline, or the instance
                is no longer the primary of that term.
        """
        self._waiting_writes += 1
        try:
            self._start_progress_tasks()
            position = await self._read_position(primary, term, deadline_s)
            while not self.is_held_by_majority(position):
                self._check_term(primary, term)
                left_s = deadline_s - time.monotonic()
                if left_s <= 0:
                    raise InDoubt(f"no majority holds {position} by the deadline")
                await self._view.wait_changed(min(left_s, PROGRESS_WAIT_S))
            return position
        finally:
            self._waiting_writes -= 1

    def is_held_by_majority(self, position: Position) -> bool:
        """Return whether a majority of the members holds a position.

        Only instances count whose last entry and fence are both of the
        position's own term. The log of a later term may lack the entry, and
        one that a later term has fenced may have got an older term's entry
        from that term's primary, which another may still replace.
        """
        holders = 0
        for view in self._view.instances.values():
            status = view.status
            if status is None or not status.member:
                continue
            last = status.position
            same_term = last.term == status.fence == position.term
            if same_term and last.index >= position.index:
                holders += 1
        return holders >= self._view.majority

    async def close(self) -> None:
        """Stop asking for progress."""
        tasks = list(self._progress_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _read_position(
        self, primary: str, term: int, deadline_s: float
    ) -> Position:
        while True:
            try:
                status = await self._sampler.sample(primary)
            except SAMPLE_ERRORS as exc:
                self._check_term(primary, term)
                if time.monotonic() + RETRY_S > deadline_s:
                    raise InDoubt(f"{primary} is lost after the write: {exc}") from exc
                await asyncio.sleep(RETRY_S)
                continue
            if status.role != "primary" or status.term != term:
                raise InDoubt(f"{primary} is no longer the primary of term {term}")
            return status.position

    def _check_term(self, primary: str, term: int) -> None:
        if self._view.term > term:
            raise InDoubt(f"{primary} lost its place: the term is {self._view.term}")

    def _start_progress_tasks(self) -> None:
        for name in self._view.instances:
            task = self._progress_tasks.get(name)
            if name != self._view.primary and (task is None or task.done()):
                self._progress_tasks[name] = asyncio.create_task(
                    self._poll_progress(name)
                )

    async def _poll_progress(self, name: str) -> None:
        view = self._view.instances[name]
        while self._waiting_writes:
            known = view.position
            following = Position(known.term, known.index + 1)
            asked_at_s = time.monotonic()
            try:
                status = await view.channel.wait(following, PROGRESS_WAIT_S)
            except SAMPLE_ERRORS:
                await asyncio.sleep(RETRY_S)
                continue
            self._view.update(name, status, asked_at_s)
