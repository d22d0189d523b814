"""The kernel's send queue of a TCP connection."""

from __future__ import annotations

import fcntl
import socket
import struct

SIOCOUTQNSD = 0x894B  # linux/sockios.h: the bytes of the send queue that were not sent yet
_INT = struct.Struct("i")


def held_back_bytes(sock: socket.socket) -> int:
    """Bytes that the kernel has taken but not sent, since the peer reads too slowly; 0 if the kernel does not tell."""
    try:
        reply = fcntl.ioctl(sock, SIOCOUTQNSD, bytes(_INT.size))
    except OSError:
        return 0
    (size,) = _INT.unpack(reply)
    return int(size)
