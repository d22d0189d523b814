"""Listening sockets and the accept loop that all TCP servers of the director share."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

import trio

DESCRIPTORS_EXHAUSTED = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
EXHAUSTED_PAUSE_S = 0.05
CAPACITY_POLL_S = 0.01
MAX_BACKLOG_FAILURES = 10  # of accepts as the listener closes: no descriptor is left, or clients have left
BACKLOG = 1024


def listen(address: tuple[str, int], shared: bool = False) -> socket.socket:
    """A non-blocking listener at (host, port); `shared` lets another process of this user listen there too
    (SO_REUSEPORT).

    Raises OSError if the address can't be bound.
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
    """Passes each accepted connection to `on_accept`, which then owns it, until `scope` is cancelled; then closes
    the listener. While `has_capacity` returns False, new connections wait in the listener's backlog.

    After the cancellation, the connections in the backlog are accepted before the listener is closed. Closing it
    first would reset them and lose the requests that their clients have already sent.
    """
    with listener:
        with scope:
            await _accept_until_cancelled(listener, on_accept, has_capacity)
        await _accept_backlog(listener, on_accept)


async def _accept_backlog(listener: socket.socket, on_accept: Callable[[socket.socket], None]) -> None:
    failures = 0
    while failures < MAX_BACKLOG_FAILURES:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return  # the backlog is empty
        except OSError as error:
            failures += 1
            if error.errno in DESCRIPTORS_EXHAUSTED:
                await trio.sleep(EXHAUSTED_PAUSE_S)
            continue
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
            # Any other error means that the client closed the connection before it was accepted.
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
