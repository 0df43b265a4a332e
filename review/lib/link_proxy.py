"""A loopback proxy for one link, which can be partitioned and heal again.

During a partition the bytes of open connections are held. When it heals they are
delivered, unless their sender has reset the connection (DEPLOY.md, "Network"). A
connection that is opened during a partition carries nothing: its opening packet would
not have arrived. It is reset when the partition heals.
"""

import asyncio
import contextlib

HOST = "127.0.0.1"


class LinkProxy:
    """Forwards connections to a target address.

    Args:
        target: The address behind the proxy, as ``ip:port``.
        note: Called with what happens to held bytes, for the record.
    """

    def __init__(self, target, note):
        self._ip, _, port = target.rpartition(":")
        self._port, self._note = int(port), note
        self._open = asyncio.Event()
        self._open.set()
        self._writers = set()
        self._server = None
        self.port = 0

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self):
        self._open.clear()

    def heal(self):
        self._open.set()

    def close(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            if not self._open.is_set():
                await self._open.wait()
                return
            there = await asyncio.open_connection(self._ip, self._port)
            self._writers.add(there[1])
            await asyncio.gather(
                self._copy(reader, there[1]), self._copy(there[0], writer)
            )
            self._writers.discard(there[1])
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _copy(self, reader, writer):
        while data := await reader.read(65536):
            if not self._open.is_set():
                self._note(f"proxy: holds {data[:40]!r}")
                await self._open.wait()
                if reader.exception() is not None:
                    self._note("proxy: the sender has reset; the bytes are lost")
                    break
                self._note(f"proxy: delivers {data[:40]!r}")
            writer.write(data)
            with contextlib.suppress(OSError):
                await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()
