"""Ends connections whose last bytes must not arrive any more."""

import asyncio
import socket
import struct

_NO_LINGER = struct.pack("ii", 1, 0)


def reset(transport: asyncio.Transport) -> None:
    """Close a connection and discard what has been written and has not arrived.

    After a plain close the system goes on sending, and a request that was held up by
    a network partition is carried out after its sender has given it up.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()
