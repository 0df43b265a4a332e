"""Links: one TCP connection to a peer, with many requests in flight.

``Link`` is the requesting end; ``linkserver`` has the serving end. Requests
carry a number, and replies come back under it in any order.
"""

import asyncio
import contextlib
import itertools
import logging
from collections.abc import AsyncIterator

from wasabipitch import contracts
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
# While requests wait and the peer is silent, it is asked for a heartbeat; a
# longer silence means that it is frozen or cut off.
HEARTBEAT_S = 0.5
SILENCE_LIMIT_S = 1.5
HEARTBEAT_NUMBER = 0
# Messages of one reply that are sent ahead of the requester, and after how many
# of them it says so.
REPLY_WINDOW_MESSAGES = 8
CONTINUE_EVERY_MESSAGES = 4
WRITE_HIGH_WATER_BYTES = 1024 * 1024

logger = logging.getLogger(__name__)


async def read_envelope(reader: asyncio.StreamReader) -> Envelope:
    """Read one frame.

    Raises:
        asyncio.IncompleteReadError: if the peer closed the connection.
        LinkError: if the frame is malformed or too long.
    """
    header = await reader.readexactly(FRAME_HEADER.size)
    (size,) = FRAME_HEADER.unpack(header)
    if size > MAX_FRAME_BYTES:
        raise LinkError(f"frame of {size} bytes exceeds {MAX_FRAME_BYTES}")
    return contracts.unpack(await reader.readexactly(size))


def raise_failure(failure: Failure) -> None:
    """Raise the error that a failure message carries."""
    raise RemoteError(failure)


class RemoteError(WasabipitchError):
    """The peer answered with a failure; its verdict and SQLSTATE are kept."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message, verdict=failure.verdict, code=failure.code)
        self.failure = failure

    @property
    def sqlstate(self) -> str:
        """The SQLSTATE that the peer gave."""
        return self.failure.sqlstate


def describe_failure(exc: WasabipitchError, in_transaction: bool = False) -> Failure:
    """Return the message that carries an error to the peer."""
    return Failure(
        verdict=Verdict(exc.verdict),
        code=exc.code,
        sqlstate=exc.sqlstate,
        message=exc.message,
        in_transaction=in_transaction,
    )


class Cuts:
    """Fault injection: the peers whose traffic is dropped, by host name."""

    def __init__(self) -> None:
        self.peers: frozenset[str] = frozenset()

    def drops(self, peer: str) -> bool:
        """Return whether traffic with the peer is dropped."""
        return peer in self.peers


class Link:
    """The requesting end of a link to one peer; it reconnects when needed.

    Args:
        address: where the peer accepts links.
        hello: says who this process is, sent first on each connection.
        clock: carried on every message.
        peer: the peer's host name, for errors and for cuts.
        cuts: the peers whose traffic is dropped, in fault injection.
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
        self._numbers = itertools.count(1)
        self._inboxes: dict[int, asyncio.Queue[Envelope | None]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._reader_task: asyncio.Task | None = None
        self._last_received_s = 0.0
        self._connecting = asyncio.Lock()
        self._retry_at_s = 0.0
        self.generation = 0

    @property
    def connected(self) -> bool:
        """Whether a connection to the peer is open."""
        return self._writer is not None

    async def call(self, message: Message, timeout_s: float = CALL_TIMEOUT_S):
        """Send a message and return the one message of its reply.

        Raises:
            LinkDown: if the peer can't be reached; nothing was sent.
            LinkLost: if the link broke or the timeout passed after sending.
            RemoteError: if the peer answered with a failure.
        """
        async with contextlib.aclosing(self.stream(message, timeout_s)) as replies:
            async for reply in replies:
                return reply
        raise LinkLost(f"{self.peer} sent an empty reply")

    async def stream(
        self, message: Message, timeout_s: float = CALL_TIMEOUT_S
    ) -> AsyncIterator[Message]:
        """Send a message and yield each message of its reply.

        The timeout is for each message of the reply. Raises as ``call`` does.
        """
        await self._connect()
        number = next(self._numbers)
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
        async with self._connecting:
            if self._writer is not None:
                return
            loop = asyncio.get_running_loop()
            if loop.time() < self._retry_at_s:
                raise LinkDown(f"{self.peer} was unreachable a moment ago")
            self._retry_at_s = loop.time() + MIN_RECONNECT_S
            reader, writer = await self._open()
            self._writer = writer
            self.generation += 1
            self._last_received_s = loop.time()
            self._reader_task = asyncio.create_task(self._run_reader(reader, writer))
            self._send(Envelope(0, self._clock.tick(), self._hello))

    async def _open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._cuts.drops(self.peer):
            raise LinkDown(f"{self.peer} is cut off")
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
            envelope = await read_envelope(reader)
            if self._cuts.drops(self.peer):
                continue
            self._last_received_s = loop.time()
            self._clock.observe(envelope.clock)
            inbox = self._inboxes.get(envelope.number)
            if inbox is not None:
                inbox.put_nowait(envelope)

    async def _check_silence(self, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        asked_at_s = 0.0
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            now_s = loop.time()
            paused = asked_at_s and now_s - asked_at_s > 2 * HEARTBEAT_S
            if not self._inboxes or paused:
                # After a pause of this process the silence is its own.
                self._last_received_s = now_s
            elif now_s - self._last_received_s >= SILENCE_LIMIT_S:
                logger.warning("no heartbeat from %s", self.peer)
                writer.transport.abort()
                return
            asked_at_s = now_s
            if now_s - self._last_received_s >= HEARTBEAT_S:
                number = HEARTBEAT_NUMBER
                self._send(Envelope(number, self._clock.tick(), Heartbeat()))

    def _drop_connection(self) -> None:
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.close()
        for inbox in self._inboxes.values():
            inbox.put_nowait(None)
