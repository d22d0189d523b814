"""Makes calls of the `socket` module fail for a moment, or take and give few bytes, in a share of all calls.

`calls` in the folder of `sitecustomize` holds the share, a double that the test changes while the process runs. The
errors are those that Linux documents for the call; a call that fails has done nothing.
"""

from __future__ import annotations

import errno
import mmap
import os
import random
import socket
import struct

ACCEPT_ERRORS = errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.EPROTO
CONNECT_ERRORS = errno.ENETUNREACH, errno.EADDRNOTAVAIL, errno.ENOBUFS
MAX_SHORT_BYTES = 100  # of a read or write that is cut short
SHARE = struct.Struct("=d")
SocketClass = socket.socket
real_accept, real_connect, real_recv = SocketClass.accept, SocketClass.connect, SocketClass.recv
real_send, real_sendmsg, real_recv_into = SocketClass.send, SocketClass.sendmsg, SocketClass.recv_into
chooser = random.Random(os.getpid())
setting: mmap.mmap | None = None


def strikes() -> bool:
    """Whether this call is one of the share."""
    (share,) = SHARE.unpack_from(setting) if setting is not None else (0.0,)
    return share > 0 and chooser.random() < share


def comes_short(sock: socket.socket) -> bool:
    """Whether this read or write of a stream comes short."""
    return sock.type == socket.SOCK_STREAM and strikes()


def fail(errors: tuple[int, ...]) -> None:
    """Raises OSError with one of the errors if this call is one of the share."""
    if strikes():
        number = chooser.choice(errors)
        raise OSError(number, os.strerror(number))


def accept(self):
    """See accept(2)."""
    fail(ACCEPT_ERRORS)
    return real_accept(self)


def connect(self, address):
    """See connect(2)."""
    if self.family != socket.AF_UNIX:
        fail(CONNECT_ERRORS)
    return real_connect(self, address)


def recv(self, size, *flags):
    """See recv(2)."""
    return real_recv(self, chooser.randint(1, min(size, MAX_SHORT_BYTES)) if comes_short(self) else size, *flags)


def recv_into(self, buffer, size=0, *flags):
    """See recv(2)."""
    size = size or len(buffer)
    size = chooser.randint(1, min(size, MAX_SHORT_BYTES)) if comes_short(self) else size
    return real_recv_into(self, buffer, size, *flags)


def send(self, data, *flags):
    """See send(2)."""
    return real_send(
        self, memoryview(data)[: chooser.randint(1, MAX_SHORT_BYTES)] if comes_short(self) else data, *flags
    )


def sendmsg(self, buffers, *more):
    """See sendmsg(2); descriptors are passed on whole."""
    buffers = list(buffers)
    if not more and comes_short(self):
        buffers = [memoryview(buffers[0])[: chooser.randint(1, MAX_SHORT_BYTES)]]
    return real_sendmsg(self, buffers, *more)


def install(folder: str) -> None:
    """Patches the `socket` module of this process."""
    global setting
    with open(os.path.join(folder, "calls"), "rb") as file:
        setting = mmap.mmap(file.fileno(), SHARE.size, prot=mmap.PROT_READ)
    for call in (accept, connect, recv, recv_into, send, sendmsg):
        setattr(SocketClass, call.__name__, call)
