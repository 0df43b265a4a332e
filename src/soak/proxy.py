"""A proxy on loopback that delays, holds up or resets what passes through it."""

import asyncio
import contextlib

from wasabipitch.models import Address

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536


class FaultyProxy:
    """Forwards connections to one address.

    Faults are set by the attributes and hold for all connections, old and new.
    """

    def __init__(self, target: Address) -> None:
        self.target = target
        self.delay_s = 0.0
        self.port = 0
        # Bytes of a closed direction are held up until it is open again.
        self._open_up = asyncio.Event()
        self._open_down = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.heal()

    @property
    def address(self) -> Address:
        """Where it listens."""
        return Address(HOST, self.port)

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and end all connections."""
        self._server.close()
        self.reset()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def heal(self) -> None:
        """Let everything through at once."""
        self.delay_s = 0.0
        self._open_up.set()
        self._open_down.set()

    def cut(self, up: bool, down: bool) -> None:
        """Hold up what goes to the target, what comes back, or both."""
        if up:
            self._open_up.clear()
        if down:
            self._open_down.clear()

    def reset(self) -> None:
        """Reset all connections."""
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self._forward(reader, writer)
        writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._open_up.wait()
        await self._open_down.wait()
        far_reader, far_writer = await asyncio.open_connection(
            self.target.ip, self.target.port
        )
        pumps = [
            asyncio.ensure_future(self._pump(reader, far_writer, self._open_up)),
            asyncio.ensure_future(self._pump(far_reader, writer, self._open_down)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            far_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_open: asyncio.Event,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await asyncio.sleep(self.delay_s)
            await is_open.wait()
            writer.write(data)
            await writer.drain()
