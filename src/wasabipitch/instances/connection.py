"""A connection to an instance, with the session state set on it."""

import asyncio
from collections import deque

from wasabipitch import tasks
from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import InstanceEntry
from wasabipitch.exceptions import (
    InstanceLost,
    MalformedMessage,
    NoConnectionLeft,
    TargetDown,
    WrongInstance,
)
from wasabipitch.models import Position
from wasabipitch.wire.codecs import InstanceCodec
from wasabipitch.wire.lines import LineStream, open_stream, read_message
from wasabipitch.wire.messages import (
    Code,
    Complete,
    Failure,
    Ready,
    Reply,
    Row,
    SessionState,
    Shape,
)

# A handshake takes 12 ms and occupies a slot; it takes longer at an instance that is
# at its limit.
CONNECT_TIMEOUT_S = 0.45
# Prepared statements kept on a connection before it is reset.
MAX_PREPARED = 64
# The text of a longer statement is not kept on a connection, but its digest.
MAX_KEPT_TEXT_BYTES = 1024
# A connection with more bytes of session values than this is closed when it is
# returned, so that idle connections hold little.
MAX_IDLE_VALUES_BYTES = 64 * 1024


# A long text's key is of another type, so that no short text that a caller makes up has
# the same key.
PreparedKey = Shape | tuple[bool, bytes]


def make_prepared_key(shape: Shape) -> PreparedKey:
    """Return the key under which a connection keeps the name of a prepared statement.

    Callers choose the texts, so the digest of a long one is cryptographic.
    """
    if len(shape.text) <= MAX_KEPT_TEXT_BYTES:
        return shape
    # Imported with the first long statement; its import would delay the start.
    import hashlib

    return shape.writes, hashlib.blake2b(shape.text, digest_size=32).digest()


class InstanceConnection:
    """Pipelines statements to an instance and matches the answers to them.

    The instance answers statements in the order in which they were sent.

    Attributes:
        position: The instance's log position by its last answer.
        state: The session's transaction state by the last answer.
        values: The session variables set on the connection.
        ended_busy: Whether it was closed with a statement unanswered.
        values_bytes: The size of their names and values.
        prepared: The names of the statements prepared on it, by ``make_prepared_key``.

    Args:
        stream: A connected stream on which the startup is complete.
        codec: The codec of the instance's protocol.
        entry: The instance's registration when the connection was opened.
        position: The instance's log position at that time.
        account: The client account that the instance was told; the connection runs
            statements of this account only. Empty for statements of no account.
    """

    def __init__(
        self,
        stream: LineStream,
        codec: InstanceCodec,
        entry: InstanceEntry,
        position: Position | None,
        account: str = "",
    ) -> None:
        self.entry = entry
        self.account = account
        self.ended_busy = False
        self.position = position
        self.state = SessionState.IDLE
        self.opened_at_s = now_s()
        self.used_at_s = self.opened_at_s
        self.values: dict[bytes, bytes] = {}
        self.values_bytes = 0
        self.prepared: dict[PreparedKey, bytes] = {}
        self._stream = stream
        self._codec = codec
        self._pending: deque[asyncio.Future[Reply]] = deque()
        # The answer of the last statement that may have committed a write.
        self._commit: asyncio.Future[Reply] | None = None
        self._reader = asyncio.ensure_future(self._read())

    @property
    def is_open(self) -> bool:
        """Whether statements can be sent."""
        return self._stream.is_open and not self._reader.done()

    @property
    def outstanding(self) -> int:
        """The number of statements without an answer."""
        return len(self._pending)

    @property
    def is_clean(self) -> bool:
        """Whether the connection can be given to another session."""
        idle = self.state is SessionState.IDLE and not self._pending
        return idle and self.is_open and self.values_bytes <= MAX_IDLE_VALUES_BYTES

    @property
    def has_unanswered_commit(self) -> bool:
        """Whether a statement that commits has no answer yet."""
        return self._commit is not None and not self._commit.done()

    def send(self, message: bytes, commits: bool = False) -> asyncio.Future[Reply]:
        """Send a statement and return the future of its answer.

        The future raises ``InstanceLost`` if the connection ends before the answer.

        Args:
            message: The encoded statement.
            commits: Whether it may commit a write.
        """
        fut = asyncio.get_running_loop().create_future()
        if not self.is_open:
            fut.set_exception(InstanceLost(f"{self.entry.name}: connection ended"))
            return fut
        # An abandoned statement's future may have no reader; its exception must not
        # be logged as never retrieved.
        fut.add_done_callback(tasks.ignore_failure)
        self._pending.append(fut)
        if commits:
            self._commit = fut
        self.used_at_s = now_s()
        self._stream.write(message)
        return fut

    def close(self) -> None:
        """Close the connection at once; the instance rolls back an open transaction."""
        self.ended_busy = self.ended_busy or bool(self._pending)
        self._stream.abort()
        self._reader.cancel()
        self._fail_pending("connection closed")

    async def _read(self) -> None:
        reason = "connection ended"
        try:
            while True:
                reply = await self._read_reply()
                self.state = reply.state
                self.position = reply.position or self.position
                if not self._pending:
                    reason = "an answer that belongs to no statement"
                    return
                fut = self._pending.popleft()
                if not fut.done():
                    fut.set_result(reply)
        except (InstanceLost, MalformedMessage) as exc:
            reason = exc.message
        finally:
            self._stream.abort()
            self._fail_pending(reason)

    async def _read_reply(self) -> Reply:
        rows: list[bytes] = []
        signature, failure = None, None
        while True:
            message = self._codec.decode(await read_message(self._stream))
            match message:
                case Row(data):
                    rows.append(data)
                case Complete(signature):
                    pass
                case Failure():
                    failure = message
                case Ready(state, position):
                    if signature is None and failure is None:
                        raise MalformedMessage(
                            "an answer with neither a result nor a failure"
                        )
                    return Reply(tuple(rows), signature, failure, state, position)

    def _fail_pending(self, reason: str) -> None:
        while self._pending:
            fut = self._pending.popleft()
            if not fut.done():
                fut.set_exception(InstanceLost(f"{self.entry.name}: {reason}"))


async def connect(
    entry: InstanceEntry, codec: InstanceCodec, account: str = ""
) -> InstanceConnection:
    """Open a connection to a registered instance.

    Args:
        entry: The instance's registration.
        codec: The codec of the instance's protocol.
        account: The client account whose statements the connection will carry, or an
            empty string.

    Raises:
        ConnectionRefused: No process listens at the address.
        WrongInstance: Another instance answers at the address.
        NoConnectionLeft: The instance is at its connection limit.
        TargetDown: The startup failed or got no answer within
            ``CONNECT_TIMEOUT_S``.
    """
    started_s = now_s()
    stream = await open_stream(entry.address, CONNECT_TIMEOUT_S)
    try:
        stream.write(codec.startup(entry.group, entry.name, account))
        left_s = CONNECT_TIMEOUT_S - (now_s() - started_s)
        async with asyncio.timeout(max(0.05, left_s)):
            message = codec.decode(await read_message(stream))
    except (InstanceLost, MalformedMessage, TimeoutError) as exc:
        stream.abort()
        raise TargetDown(f"{entry.name}: startup failed: {exc or 'no answer'}") from exc
    except BaseException:
        stream.abort()
        raise
    if isinstance(message, Ready):
        return InstanceConnection(stream, codec, entry, message.position, account)
    stream.abort()
    raise _startup_error(entry, message)


def _startup_error(entry: InstanceEntry, message: object) -> TargetDown:
    code = message.code if isinstance(message, Failure) else None
    if code is Code.WRONG_INSTANCE:
        return WrongInstance(f"{entry.name}: another instance is at {entry.address}")
    if code is Code.TOO_MANY_CONNECTIONS:
        return NoConnectionLeft(f"{entry.name}: is at its connection limit")
    return TargetDown(f"{entry.name}: startup failed: {message}")
