"""How long a TCP connection has been quiet, as its kernel knows it: also while it waited to be accepted."""

from __future__ import annotations

import socket
import struct

TCP_INFO_BYTES = 104
TCP_STATE_AND_LAST_DATA = struct.Struct("B 51x I")  # of `struct tcp_info` in linux/tcp.h; the latter in ms
CONNECTED_STATES = (1, 8)  # TCP_ESTABLISHED, TCP_CLOSE_WAIT
US_PER_MS = 1000


def quiet_us(sock: socket.socket) -> int:
    """Time since the last byte has arrived, or since the connection was made if none has; 0 if the kernel does not
    tell. TCP_INFO is described in tcp(7)."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        state, quiet_ms = TCP_STATE_AND_LAST_DATA.unpack_from(info)
    except (OSError, struct.error):
        return 0
    return int(quiet_ms) * US_PER_MS if state in CONNECTED_STATES else 0
