"""Keeps track of the commits whose outcome a host has not read.

A primary acknowledges a commit once a replica has received it, whether or not a host
reads the answer. While a host has sent a commit without reading its answer, the
highest position that it saw acknowledged is no limit of what was acknowledged.
"""

import asyncio
from collections.abc import Callable

from wasabipitch.clock import now_s
from wasabipitch.exceptions import InstanceLost
from wasabipitch.models import Position
from wasabipitch.wire.messages import RETRYABLE_CODES, Reply

# A statement whose connection has ended runs at its instance for at most this long: an
# instance drops a connection whose other end can't be reached after 3 s.
STATEMENT_END_S = 4.0


class UnansweredCommits:
    """The commits that a host sent to a group's primary without reading the answers.

    Args:
        on_acknowledged: Called with the position of each commit that is answered with
            success, however late.
    """

    def __init__(self, on_acknowledged: Callable[[Position], None]) -> None:
        self._on_acknowledged = on_acknowledged
        self._pending: set[asyncio.Future[Reply]] = set()
        # When the last connection ended on which a commit was unanswered, until the
        # primary's log is known to hold whatever became of it.
        self.lost_at_s: float | None = None

    @property
    def is_empty(self) -> bool:
        """Whether every commit that was sent is known to be acknowledged or not."""
        return not self._pending and self.lost_at_s is None

    @property
    def is_settleable(self) -> bool:
        """Whether a log end that is read now covers the commits that were lost."""
        return self._have_lost_ended(now_s())

    def settle(self, lost_at_s: float) -> None:
        """Count lost commits as answered, since a log end is known that covers them.

        Args:
            lost_at_s: The time of the last loss when the log end was read.
        """
        if self.lost_at_s == lost_at_s:
            self.lost_at_s = None

    def watch(self, fut: asyncio.Future[Reply]) -> None:
        """Count a commit as unanswered until its answer is read.

        Args:
            fut: The future of the answer to a commit that has just been sent.
        """
        if fut.done():
            # The connection had ended before, and nothing was sent.
            return
        sent_at_s = now_s()
        self._pending.add(fut)
        fut.add_done_callback(lambda done: self._end(done, sent_at_s))

    def clear(self) -> None:
        """Forget the commits of a primary that was replaced."""
        self._pending.clear()
        self.lost_at_s = None

    def _end(self, fut: asyncio.Future[Reply], sent_at_s: float) -> None:
        if fut not in self._pending:
            return
        self._pending.remove(fut)
        reply = _read_reply(fut)
        if reply is not None and reply.failure is None and reply.position is not None:
            self._on_acknowledged(reply.position)
            if self._have_lost_ended(sent_at_s):
                self.lost_at_s = None
        elif reply is None or reply.code not in RETRYABLE_CODES:
            self.lost_at_s = now_s()

    def _have_lost_ended(self, at_s: float) -> bool:
        # A log is in the order of its commits, so one that was sent after the others
        # had ended comes after them.
        return self.lost_at_s is not None and at_s >= self.lost_at_s + STATEMENT_END_S


def _read_reply(fut: asyncio.Future[Reply]) -> Reply | None:
    if fut.cancelled():
        return None
    try:
        return fut.result()
    except InstanceLost:
        return None
