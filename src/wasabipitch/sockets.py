"""Ends connections whose last bytes must not arrive any more."""

import asyncio
import socket
import struct

_NO_LINGER = struct.pack("ii", 1, 0)


class RefusedConnection(asyncio.Protocol):
    """Closes a connection as soon as it has been accepted."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Close the connection."""
        transport.abort()


def limit_buffers(listener: socket.socket, size: int) -> None:
    """Set the size of the kernel's buffers of the connections to be accepted.

    Without it, the kernel lets the buffer of each connection grow, up to the maximum of
    the system's settings, which may be megabytes. It counts towards the memory of the
    machine while the process doesn't read.

    Args:
        listener: A listening socket.
        size: The size in bytes of the buffer in each direction, or 0 for the system's
            default.
    """
    if size:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)


def reset(transport: asyncio.Transport) -> None:
    """Close a connection and discard what has been written and has not arrived.

    After a plain close the system goes on sending, and a request that was held up by
    a network partition is carried out after its sender has given it up.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()
