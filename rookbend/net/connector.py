"""Opening a TCP connection."""

from __future__ import annotations

import socket

import trio

from rookbend.net.buffered_socket import set_socket_options


async def open_socket(address: tuple[str, int]) -> socket.socket:
    """A connected non-blocking socket to (host, port); the host is an IP address.

    Raises OSError with the kernel's errno if the connect fails.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        set_socket_options(sock)
        try:
            sock.connect(address)
        except BlockingIOError:
            await trio.lowlevel.wait_writable(sock)
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                raise OSError(error, "connect failed") from None
        return sock
    except BaseException:
        sock.close()
        raise
