"""Links carry requests between processes, many at once over one TCP connection.

``Link`` is the requesting end, and ``linkserver`` has the serving end. Each request
has a number that its replies repeat, so replies may arrive in any order.
"""

import asyncio
import contextlib
import itertools
import logging
from collections.abc import AsyncIterator, Callable

from wasabipitch import contracts
from wasabipitch.clock import now_s
from wasabipitch.contracts import FRAME_HEADER, MAX_FRAME_BYTES, Envelope
from wasabipitch.events import Clock
from wasabipitch.exceptions import LinkDown, LinkError, LinkLost, WasabipitchError
from wasabipitch.messages import (
    Cancel,
    Continue,
    Failure,
    Heartbeat,
    Hello,
    Message,
)
from wasabipitch.models import Address
from wasabipitch.verdict import Verdict

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 5.0
MIN_RECONNECT_S = 0.05
# A peer that sends nothing for ``HEARTBEAT_S`` while requests are in flight is asked
# for a heartbeat. After ``SILENCE_LIMIT_S`` it counts as frozen or cut off, and the
# connection is closed.
HEARTBEAT_S = 0.5
SILENCE_LIMIT_S = 1.5
HEARTBEAT_NUMBER = 0
# Flow control of a reply: the server sends at most ``REPLY_WINDOW_MESSAGES`` that the
# requester has not confirmed, and the requester confirms them in groups of
# ``CONTINUE_EVERY_MESSAGES``.
REPLY_WINDOW_MESSAGES = 8
CONTINUE_EVERY_MESSAGES = 4
WRITE_HIGH_WATER_BYTES = 1024 * 1024
# A frame longer than this is read in parts, each of which shows that the peer is alive.
PART_BYTES = 16 * 1024

logger = logging.getLogger(__name__)


async def read_envelope(
    reader: asyncio.StreamReader,
    on_part: Callable[[], None] | None = None,
    max_bytes: int = MAX_FRAME_BYTES,
) -> Envelope:
    """Read one frame and return its envelope.

    Args:
        reader: The stream.
        on_part: Called after each part of a frame longer than ``PART_BYTES``.
        max_bytes: The size of the longest frame that is accepted.

    Raises:
        asyncio.IncompleteReadError: If the peer closed the connection.
        LinkError: If the frame is malformed or too long.
    """
    header = await reader.readexactly(FRAME_HEADER.size)
    (size,) = FRAME_HEADER.unpack(header)
    if size > max_bytes:
        raise LinkError(f"frame of {size} bytes exceeds the limit {max_bytes}")
    if on_part is None or size <= PART_BYTES:
        return contracts.unpack(await reader.readexactly(size))
    body = bytearray()
    while len(body) < size:
        part = await reader.read(min(PART_BYTES, size - len(body)))
        if not part:
            raise asyncio.IncompleteReadError(bytes(body), size)
        body += part
        on_part()
    return contracts.unpack(bytes(body))


def raise_failure(failure: Failure) -> None:
    """Raise the error that a failure message describes."""
    raise RemoteError(failure)


class RemoteError(WasabipitchError):
    """The peer answered with a failure, whose verdict and SQLSTATE this error has."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message, verdict=failure.verdict, code=failure.code)
        self.failure = failure

    @property
    def sqlstate(self) -> str:
        """The SQLSTATE that the peer gave."""
        return self.failure.sqlstate


def describe_failure(exc: WasabipitchError, in_transaction: bool = False) -> Failure:
    """Return the message that describes an error to the peer."""
    return Failure(
        verdict=Verdict(exc.verdict),
        code=exc.code,
        sqlstate=exc.sqlstate,
        message=exc.message,
        in_transaction=in_transaction,
    )


class Cuts:
    """The peers whose traffic fault injection drops, by host name.

    ``Link`` and ``LinkServer`` drop all messages to and from these peers, as a network
    partition would.
    """

    def __init__(self) -> None:
        self.peers: frozenset[str] = frozenset()

    def drops(self, peer: str) -> bool:
        """Return whether traffic to and from the peer is dropped."""
        return peer in self.peers


class Link:
    """The requesting end of a link to one peer.

    It connects on the first request, and again after the connection was lost.

    Args:
        address: The address on which the peer accepts links.
        hello: The identity of this process, sent first on each connection.
        clock: The clock whose time is sent with every message.
        peer: The peer's host name, for errors and for ``cuts``.
        cuts: The peers whose traffic fault injection drops.

    Attributes:
        generation: The number of connections opened so far.
    """

    def __init__(
        self,
        address: Address,
        hello: Hello,
        clock: Clock,
        *,
        peer: str = "",
        cuts: Cuts | None = None,
    ) -> None:
        self.address = address
        self.peer = peer or str(address)
        self._hello = hello
        self._clock = clock
        self._cuts = cuts or Cuts()
        self._request_numbers = itertools.count(1)
        self._inboxes: dict[int, asyncio.Queue[Envelope | None]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._reader_task: asyncio.Task | None = None
        self._last_received_s = 0.0
        # When a part of a long frame last arrived, by ``now_s``.
        self._progressed_at_s = 0.0
        self._connect_lock = asyncio.Lock()
        self._retry_at_s = 0.0
        self.generation = 0

    @property
    def connected(self) -> bool:
        """Whether a connection to the peer is open."""
        return self._writer is not None

    async def call(self, message: Message, timeout_s: float = CALL_TIMEOUT_S):
        """Send a message and return the first message of its reply.

        Raises:
            LinkDown: If the peer can't be reached; nothing was sent.
            LinkLost: If the link broke or the timeout passed after sending.
            RemoteError: If the peer answered with a failure.
        """
        async with contextlib.aclosing(self.stream(message, timeout_s)) as replies:
            async for reply in replies:
                return reply
        raise LinkLost(f"{self.peer} sent an empty reply")

    async def stream(
        self, message: Message, timeout_s: float = CALL_TIMEOUT_S
    ) -> AsyncIterator[Message]:
        """Send a message and yield each message of its reply.

        The timeout applies to each message of the reply. The errors are those of
        ``call``. A requester that stops early cancels the request at the peer.
        """
        await self._connect()
        number = next(self._request_numbers)
        inbox: asyncio.Queue[Envelope | None] = asyncio.Queue()
        self._inboxes[number] = inbox
        finished = False
        received = 0
        try:
            self._send(Envelope(number, self._clock.tick(), message))
            while not finished:
                envelope = await self._receive(inbox, timeout_s)
                finished = not envelope.more
                if isinstance(envelope.message, Failure):
                    raise_failure(envelope.message)
                yield envelope.message
                received += 1
                if not finished and received % CONTINUE_EVERY_MESSAGES == 0:
                    self._send_continue(number)
        finally:
            self._inboxes.pop(number, None)
            if not finished and self._writer is not None:
                self._send(Envelope(number, self._clock.tick(), Cancel()))

    async def close(self) -> None:
        """Close the connection; requests in flight fail with ``LinkLost``."""
        task = self._reader_task
        self._drop_connection()
        if task is not None:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def _send_continue(self, number: int) -> None:
        if self._writer is not None:
            message = Continue(CONTINUE_EVERY_MESSAGES)
            self._send(Envelope(number, self._clock.tick(), message))

    async def _receive(self, inbox: asyncio.Queue, timeout_s: float) -> Envelope:
        try:
            async with asyncio.timeout(timeout_s):
                envelope = await inbox.get()
        except TimeoutError:
            raise LinkLost(f"no reply from {self.peer} in {timeout_s:g} s") from None
        if envelope is None:
            raise LinkLost(f"the link to {self.peer} broke before the reply")
        return envelope

    async def _connect(self) -> None:
        if self._writer is not None:
            return
        async with self._connect_lock:
            if self._writer is not None:
                return
            loop = asyncio.get_running_loop()
            if loop.time() < self._retry_at_s:
                raise LinkDown(f"{self.peer} was tried a moment ago; retry later")
            self._retry_at_s = loop.time() + MIN_RECONNECT_S
            reader, writer = await self._open()
            self._writer = writer
            self.generation += 1
            self._last_received_s = loop.time()
            self._reader_task = asyncio.create_task(self._run_reader(reader, writer))
            self._send(Envelope(0, self._clock.tick(), self._hello))

    async def _open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._cuts.drops(self.peer):
            raise LinkDown(f"fault injection cuts off {self.peer}")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await asyncio.open_connection(self.address.ip, self.address.port)
        except (OSError, TimeoutError) as exc:
            reason = str(exc) or "timeout"
            raise LinkDown(f"can't reach {self.peer}: {reason}") from exc

    def _send(self, envelope: Envelope) -> None:
        if self._cuts.drops(self.peer):
            return
        self._writer.write(contracts.pack(envelope))

    async def _run_reader(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        heartbeat = asyncio.create_task(self._check_silence(writer))
        try:
            await self._read_replies(reader)
        except (OSError, asyncio.IncompleteReadError):
            logger.debug("link to %s closed", self.peer)
        except LinkError as exc:
            logger.warning("link to %s: %s", self.peer, exc)
        finally:
            heartbeat.cancel()
            if self._writer is writer:
                self._drop_connection()

    async def _read_replies(self, reader: asyncio.StreamReader) -> None:
        loop = asyncio.get_running_loop()
        while True:
            envelope = await read_envelope(reader, self._record_part)
            if self._cuts.drops(self.peer):
                continue
            self._last_received_s = loop.time()
            self._clock.observe(envelope.clock)
            inbox = self._inboxes.get(envelope.number)
            if inbox is not None:
                inbox.put_nowait(envelope)

    def read_progress_s(self) -> float:
        """Return when a part of a long frame last arrived, or 0."""
        return self._progressed_at_s

    def _record_part(self) -> None:
        if not self._cuts.drops(self.peer):
            self._last_received_s = asyncio.get_running_loop().time()
            self._progressed_at_s = now_s()

    async def _check_silence(self, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        checked_at_s = 0.0
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            now_s = loop.time()
            paused = checked_at_s and now_s - checked_at_s > 2 * HEARTBEAT_S
            if not self._inboxes or paused:
                # Without requests the peer sends nothing, and after a pause of this
                # process its messages may not have been read yet.
                self._last_received_s = now_s
            elif now_s - self._last_received_s >= SILENCE_LIMIT_S:
                logger.warning("no heartbeat from %s, closing the link", self.peer)
                writer.transport.abort()
                return
            checked_at_s = now_s
            if now_s - self._last_received_s >= HEARTBEAT_S:
                number = HEARTBEAT_NUMBER
                self._send(Envelope(number, self._clock.tick(), Heartbeat()))

    def _drop_connection(self) -> None:
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.close()
        for inbox in self._inboxes.values():
            inbox.put_nowait(None)
