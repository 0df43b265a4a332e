"""A loopback TCP proxy that delays, blocks or resets its connections."""

import asyncio
import contextlib

from wasabipitch.models import Address

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536


class FaultyProxy:
    """A TCP proxy for one target address with injectable faults.

    Faults apply to all connections, including those that are already open.

    Args:
        target: The address to forward connections to.
    """

    def __init__(self, target: Address) -> None:
        self.target = target
        self.delay_s = 0.0
        # While set, new connections are reset.
        self.is_refusing = False
        self.port = 0
        # Bytes of a blocked direction are held back until its event is set again.
        self._upstream_open = asyncio.Event()
        self._downstream_open = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.heal()

    @property
    def address(self) -> Address:
        """The address that the proxy listens on."""
        return Address(HOST, self.port)

    async def start(self) -> None:
        """Start listening on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and end all connections."""
        self._server.close()
        self.reset()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def heal(self) -> None:
        """Remove the delay, unblock both directions and accept connections."""
        self.delay_s = 0.0
        self.is_refusing = False
        self._upstream_open.set()
        self._downstream_open.set()

    def cut(self, up: bool, down: bool) -> None:
        """Block traffic without closing the connections.

        Args:
            up: Whether to block traffic to the target.
            down: Whether to block traffic from the target.
        """
        if up:
            self._upstream_open.clear()
        if down:
            self._downstream_open.clear()

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
            if self.is_refusing:
                raise ConnectionResetError
            await self._forward(reader, writer)
        writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._upstream_open.wait()
        await self._downstream_open.wait()
        target_reader, target_writer = await asyncio.open_connection(
            self.target.ip, self.target.port
        )
        copies = [
            asyncio.ensure_future(
                self._copy_bytes(reader, target_writer, self._upstream_open)
            ),
            asyncio.ensure_future(
                self._copy_bytes(target_reader, writer, self._downstream_open)
            ),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            await asyncio.gather(*copies, return_exceptions=True)
            target_writer.transport.abort()

    async def _copy_bytes(
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
