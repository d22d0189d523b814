"""Listening and accepting, as every TCP server here does it."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

import trio

DESCRIPTORS_EXHAUSTED = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
EXHAUSTED_PAUSE_S = 0.05
CAPACITY_POLL_S = 0.01
BACKLOG = 1024


def listen(address: tuple[str, int], shared: bool = False) -> socket.socket:
    """A non-blocking listener at (host, port); `shared` lets another process of this user listen there too
    (SO_REUSEPORT).

    Raises OSError where the address can't be had.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.create_server(address, family=family, backlog=BACKLOG, reuse_port=shared)
    listener.setblocking(False)
    return listener


async def accept(
    listener: socket.socket,
    scope: trio.CancelScope,
    on_accept: Callable[[socket.socket], None],
    has_capacity: Callable[[], bool] = lambda: True,
) -> None:
    """Hands each connection to `on_accept`, which owns it then, until `scope` is cancelled; then the listener is
    closed. While there is no capacity connections wait in the listener's backlog.

    What waits there at the end is accepted all the same: closed with the listener, it would be reset, and with
    it requests that its client has already sent.
    """
    with listener:
        with scope:
            await _accept_until_cancelled(listener, on_accept, has_capacity)
        _accept_backlog(listener, on_accept)


def _accept_backlog(listener: socket.socket, on_accept: Callable[[socket.socket], None]) -> None:
    while True:
        try:
            sock, _ = listener.accept()
        except ConnectionAbortedError:
            continue
        except OSError:
            return  # none is left, or no descriptor for one
        _hand_over(sock, on_accept)


async def _accept_until_cancelled(
    listener: socket.socket, on_accept: Callable[[socket.socket], None], has_capacity: Callable[[], bool]
) -> None:
    while True:
        await trio.lowlevel.wait_readable(listener)
        if not has_capacity():
            await trio.sleep(CAPACITY_POLL_S)
            continue
        try:
            sock, _ = listener.accept()
        except OSError as error:
            # Else the client left between its connect and our accept.
            if error.errno in DESCRIPTORS_EXHAUSTED:
                await trio.sleep(EXHAUSTED_PAUSE_S)
            continue
        _hand_over(sock, on_accept)


def _hand_over(sock: socket.socket, on_accept: Callable[[socket.socket], None]) -> None:
    try:
        on_accept(sock)
    except BaseException:
        sock.close()
        raise
