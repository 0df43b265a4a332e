"""One connection to an instance, with the session state that it carries."""

import asyncio
from collections import deque

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

# Handshakes take 12 ms and a slot; an instance at its limit is slower.
CONNECT_TIMEOUT_S = 0.6
# Names kept on a connection before it is reset.
MAX_PREPARED = 64


class InstanceConnection:
    """Sends statements in order and pairs the answers with them.

    Args:
        stream: connected and past its startup.
        entry: the instance's registration when the connection was opened.
        position: of the instance's log at that time.
    """

    def __init__(
        self,
        stream: LineStream,
        codec: InstanceCodec,
        entry: InstanceEntry,
        position: Position | None,
    ) -> None:
        self.entry = entry
        self.position = position
        self.state = SessionState.IDLE
        self.opened_at_s = now_s()
        self.used_at_s = self.opened_at_s
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[Shape, bytes] = {}
        self._stream = stream
        self._codec = codec
        self._pending: deque[asyncio.Future[Reply]] = deque()
        self._reader = asyncio.ensure_future(self._read())

    @property
    def is_open(self) -> bool:
        """Whether statements can still be sent."""
        return self._stream.is_open and not self._reader.done()

    @property
    def outstanding(self) -> int:
        """How many statements have no answer yet."""
        return len(self._pending)

    @property
    def is_clean(self) -> bool:
        """Whether another session may use it now."""
        idle = self.state is SessionState.IDLE and not self._pending
        return idle and self.is_open

    def send(self, message: bytes) -> asyncio.Future[Reply]:
        """Send a statement and return the future of its answer.

        The future raises ``InstanceLost`` if the connection ends first.
        """
        fut = asyncio.get_running_loop().create_future()
        if not self.is_open:
            fut.set_exception(InstanceLost(f"{self.entry.name}: connection ended"))
            return fut
        # Nobody need wait for it: an abandoned statement's answer is dropped.
        fut.add_done_callback(_mark_retrieved)
        self._pending.append(fut)
        self.used_at_s = now_s()
        self._stream.write(message)
        return fut

    def close(self) -> None:
        """Close at once; an open transaction is rolled back."""
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
                    reason = "an answer to nothing"
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
                        raise MalformedMessage("an answer without an outcome")
                    return Reply(tuple(rows), signature, failure, state, position)

    def _fail_pending(self, reason: str) -> None:
        while self._pending:
            fut = self._pending.popleft()
            if not fut.done():
                fut.set_exception(InstanceLost(f"{self.entry.name}: {reason}"))


def _mark_retrieved(fut: asyncio.Future) -> None:
    if not fut.cancelled():
        fut.exception()


async def connect(entry: InstanceEntry, codec: InstanceCodec) -> InstanceConnection:
    """Open a connection to a registered instance.

    Raises:
        ConnectionRefused: no process listens at its address.
        WrongInstance: another instance answers there.
        NoConnectionLeft: it takes no further connection.
        TargetDown: no answer in time.
    """
    started_s = now_s()
    stream = await open_stream(entry.address, CONNECT_TIMEOUT_S)
    try:
        stream.write(codec.startup(entry.group, entry.name))
        left_s = CONNECT_TIMEOUT_S - (now_s() - started_s)
        async with asyncio.timeout(max(0.05, left_s)):
            message = codec.decode(await read_message(stream))
    except (InstanceLost, MalformedMessage, TimeoutError) as exc:
        stream.abort()
        raise TargetDown(f"{entry.name} at startup: {exc or 'no answer'}") from exc
    except BaseException:
        stream.abort()
        raise
    if isinstance(message, Ready):
        return InstanceConnection(stream, codec, entry, message.position)
    stream.abort()
    raise _startup_error(entry, message)


def _startup_error(entry: InstanceEntry, message: object) -> TargetDown:
    code = message.code if isinstance(message, Failure) else None
    if code is Code.WRONG_INSTANCE:
        return WrongInstance(f"{entry.name}: another instance is at {entry.address}")
    if code is Code.TOO_MANY_CONNECTIONS:
        return NoConnectionLeft(f"{entry.name}: takes no further connection")
    return TargetDown(f"{entry.name} at startup: {message}")
