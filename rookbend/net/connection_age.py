"""How long a TCP connection has been quiet, as its kernel knows it: also while it waited to be accepted."""

from __future__ import annotations

import socket
import struct

TCP_INFO_BYTES = 104
LAST_DATA_RECEIVED = struct.Struct("52x I")  # `tcpi_last_data_recv` of `struct tcp_info` in linux/tcp.h, in ms
US_PER_MS = 1000


def quiet_us(sock: socket.socket) -> int:
    """Time since the last byte has arrived, or since the connection was made if none has; 0 if the kernel does not
    tell. TCP_INFO is described in tcp(7)."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (quiet_ms,) = LAST_DATA_RECEIVED.unpack_from(info)
    except (OSError, struct.error):
        return 0
    return int(quiet_ms) * US_PER_MS
