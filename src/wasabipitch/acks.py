"""Acknowledges writes once a majority of the instances holds them."""

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

    While a write waits, one task per replica polls that replica's position with a
    long poll, which returns as soon as the next entry arrives.

    Args:
        view: The group's view.
        sampler: Reads the primary's position.
    """

    def __init__(self, view: GroupView, sampler: Sampler) -> None:
        self._view = view
        self._sampler = sampler
        self._waiting_writes = 0
        self._progress_tasks: dict[str, asyncio.Task] = {}
        self._open_writes = 0

    @property
    def idle(self) -> bool:
        """Whether no write is running or waiting for its acknowledgement."""
        return not self._open_writes

    @contextlib.contextmanager
    def track_write(self) -> Iterator[None]:
        """Count a write as open for the duration of the context.

        The caller enters it before the write is sent and leaves it once the write is
        acknowledged or has failed.
        """
        self._open_writes += 1
        try:
            yield
        finally:
            self._open_writes -= 1

    async def wait_for_majority(
        self, primary: str, term: int, deadline_s: float
    ) -> Position:
        """Wait until a majority holds everything that the primary has committed.

        Args:
            primary: The instance that committed the write.
            term: The term in which it was primary when the write was sent.
            deadline_s: A monotonic time.

        Returns:
            The primary's position after the write.

        Raises:
            InDoubt: No majority holds the position by the deadline, or the instance
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

        An instance counts only if its last entry and its fence are both of the
        position's term. The log of a later term may lack the entry. An instance
        fenced at a later term may have received an entry of an older term from the
        later primary, and a further failover may still discard that entry.
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
        """Cancel the tasks that poll the replicas."""
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
                    raise InDoubt(
                        f"{primary} stopped answering after the write: {exc}"
                    ) from exc
                await asyncio.sleep(RETRY_S)
                continue
            if status.role != "primary" or status.term != term:
                raise InDoubt(f"{primary} is no longer the primary of term {term}")
            return status.position

    def _check_term(self, primary: str, term: int) -> None:
        if self._view.term > term:
            raise InDoubt(
                f"{primary} is no longer primary: the term is {self._view.term}"
            )

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
