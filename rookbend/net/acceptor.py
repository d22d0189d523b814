"""Accepting connections, and what every small TCP server here has in common."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

import trio

EXHAUSTED = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
PAUSE_S = 0.05
ROOM_S = 0.01


def listen(address: tuple[str, int], shared: bool = False) -> socket.socket:
    """A listener; `shared` lets another process of this user listen there too (SO_REUSEPORT)."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.create_server(address, family=family, backlog=1024, reuse_port=shared)
    listener.setblocking(False)
    return listener


async def accept(
    listener: socket.socket,
    scope: trio.CancelScope,
    take: Callable[[socket.socket], None],
    has_room: Callable[[], bool] = lambda: True,
) -> None:
    """Hands each connection to `take`, until `scope` is cancelled; then the listener is closed. While there
    is no room they wait in the listener's backlog.

    What waits there at the end is taken all the same: closed with the listener, it would be reset, and with
    it requests that its client has already sent.
    """
    with listener:
        with scope:
            await _accept_until_cancelled(listener, take, has_room)
        _accept_waiting(listener, take)


def _accept_waiting(listener: socket.socket, take: Callable[[socket.socket], None]) -> None:
    while True:
        try:
            sock, _ = listener.accept()
        except ConnectionAbortedError:
            continue
        except OSError:
            return  # none is left, or no descriptor for one
        take(sock)


async def _accept_until_cancelled(
    listener: socket.socket, take: Callable[[socket.socket], None], has_room: Callable[[], bool]
) -> None:
    while True:
        await trio.lowlevel.wait_readable(listener)
        if not has_room():
            await trio.sleep(ROOM_S)
            continue
        try:
            sock, _ = listener.accept()
        except OSError as error:
            # Else the client left between its connect and our accept.
            if error.errno in EXHAUSTED:
                await trio.sleep(PAUSE_S)
            continue
        take(sock)
