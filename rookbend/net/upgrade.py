"""The driver of upgrades: a process transfers its listening sockets to its successor; both forward exclusions.

They connect over a Unix socket in `$TMPDIR`, which only the processes of one director share. A new process requests the
sockets from the process that listens there, and listens there itself once it serves. `operations.handover` defines what
the messages mean.
"""

from __future__ import annotations

import array
import contextlib
import os
import socket
import struct
from collections.abc import Callable, Sequence
from pathlib import Path

import trio

from rookbend.core.clock import Clock
from rookbend.net.listeners import Listeners
from rookbend.operations.handover import ProcessHandover
from rookbend.protocol import upgrade as upgrade_protocol

RETRY_S = 1
HANDOVER_TIMEOUT_US = 3_000_000  # then the predecessor counts as hung, and the successor binds its own sockets
MAX_PATH_BYTES = 100  # bytes of a Unix socket's path, less than the kernel's 108
MAX_DESCRIPTORS = 64  # in one message
PEER_CREDENTIALS = struct.Struct("3i")  # SO_PEERCRED: pid, uid, gid
CONNECTION_ERRORS = OSError, trio.BrokenResourceError, trio.ClosedResourceError, upgrade_protocol.UpgradeError

Rights = tuple[int, int, "array.array[int]"]  # ancillary data: level, type, descriptors


class Link:
    """A connection to another process of this director."""

    def __init__(self, raw: socket.socket):
        raw.setblocking(False)
        self.raw = raw
        self.sock = trio.socket.from_stdlib_socket(raw)
        self.reader = upgrade_protocol.MessageReader()

    def send(self, message: upgrade_protocol.Message, rights: Sequence[Rights] = ()) -> None:
        """Sends at once or drops the message: messages are small and rare, so the socket is full only if the peer has
        hung."""
        with contextlib.suppress(OSError):
            self.raw.sendmsg([upgrade_protocol.encode(message)], rights)


class Upgrade:
    """`on_exclusion(member, exclude)` applies another process's exclusion and returns whether it changed anything;
    `on_change()` is called at every change of `handover`."""

    def __init__(self, folder: str, name: str, clock: Clock, log: Callable[..., None], listeners: Listeners):
        self.path = Path(folder) / f"rookbend.{name}.sock"
        self.name, self.clock, self.log, self.listeners = name, clock, log, listeners
        self.handover = ProcessHandover()
        self.links: dict[int, Link] = {}
        self.predecessor: Link | None = None
        self.on_exclusion: Callable[[str, bool], bool] = lambda member, excluded: False
        self.on_change: Callable[[], None] = lambda: None
        self._connections = 0
        self._listener: socket.socket | None = None

    # The successor's side

    async def inherit(self) -> None:
        """Requests the predecessor's sockets, if there is a predecessor."""
        if not self.path.exists() or len(os.fsencode(self.path)) > MAX_PATH_BYTES:
            return
        self.listeners.has_predecessor = True
        due = self.clock.now() + HANDOVER_TIMEOUT_US
        link, reason = Link(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)), "it stands still"
        try:
            with trio.CancelScope(deadline=self.clock.monotonic_at(due)):
                await link.sock.connect(str(self.path))
                self._check_peer(link.sock)
                await self._request_listeners(link)
        except CONNECTION_ERRORS as error:
            # A refused connect means that a crash left the path behind: there is no predecessor.
            self.listeners.has_predecessor = not isinstance(error, ConnectionRefusedError)
            reason = str(error) or type(error).__name__
        if self.predecessor is None:
            link.sock.close()
            self.log("upgrade_alone", "warning", reason=reason)

    async def _request_listeners(self, link: Link) -> None:
        link.send(upgrade_protocol.RequestListeners(upgrade_protocol.VERSION, self.name))
        names, received = None, array.array("i")
        space = socket.CMSG_SPACE(MAX_DESCRIPTORS * received.itemsize)
        while names is None:
            data, extra, _, _ = await link.sock.recvmsg(upgrade_protocol.MAX_LINE_BYTES, space)
            for level, kind, body in extra:
                if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                    received.frombytes(body[: len(body) - len(body) % received.itemsize])
            if not data:
                raise upgrade_protocol.UpgradeError("the predecessor has ended")
            for message in link.reader.feed(data):
                names = message.listeners if isinstance(message, upgrade_protocol.GiveListeners) else names
        self.listeners.inherit(names, list(received))
        self.predecessor = link
        self.handover.listeners_inherited()
        self.log("upgrade_inherited", listeners=len(names))

    @staticmethod
    def _check_peer(sock: trio.socket.SocketType) -> None:
        # Other users may be able to write to the folder.
        credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
        _, uid, _ = PEER_CREDENTIALS.unpack(credentials)
        if uid != os.getuid():
            raise upgrade_protocol.UpgradeError(f"the other process belongs to user {uid}")

    # The predecessor's side

    async def run(self) -> None:
        """Notifies the predecessor, if any, that this process serves, and waits for successors until cancelled."""
        async with trio.open_nursery() as nursery:
            if self.predecessor is not None:
                nursery.start_soon(self._watch_predecessor, self.predecessor)
            await self._accept_successors(nursery)

    def open(self) -> None:
        """Starts listening: from now on a new process requests its sockets from this one."""
        self.close()
        if len(os.fsencode(self.path)) > MAX_PATH_BYTES:
            return self.log("upgrade_unable", "warning", reason=f"the path is too long: {self.path}")
        sock, fresh = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM), f"{self.path}.{os.getpid()}"
        try:
            Path(fresh).unlink(missing_ok=True)
            sock.bind(fresh)
            sock.listen(8)
            sock.setblocking(False)
            os.replace(fresh, self.path)
            self._listener = sock
        except OSError as error:
            sock.close()
            self.log("upgrade_unable", "error", reason=str(error))

    def shutdown(self) -> None:
        """Stops listening, and removes the path unless another process listens there."""
        self.close()
        if not self._is_listening():
            self.path.unlink(missing_ok=True)

    def _is_listening(self) -> bool:
        """Whether a process listens at the path, which must then not be taken from it. A predecessor that hung when its
        sockets were requested learns of its successor only long after that has started on its own sockets."""
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            probe.setblocking(False)
            try:
                probe.connect(str(self.path))
            except BlockingIOError:
                return True  # its backlog is full, so it listens
            except OSError:
                return False
            return True

    def close(self) -> None:
        """Stops listening: a new process can no longer request the sockets."""
        if self._listener is not None:
            trio.lowlevel.notify_closing(self._listener)
            self._listener.close()
            self._listener = None

    async def _accept_successors(self, nursery: trio.Nursery) -> None:
        while True:
            if self._listener is None:
                self.open()
            listener = self._listener
            if listener is None:  # the socket could not be bound
                await trio.sleep(RETRY_S)
                continue
            try:
                await trio.lowlevel.wait_readable(listener)
                sock, _ = listener.accept()
            except (OSError, trio.ClosedResourceError):
                await trio.sleep(RETRY_S)
                continue
            nursery.start_soon(self._serve_successor, Link(sock))

    async def _serve_successor(self, link: Link) -> None:
        self._connections += 1
        number = self._connections
        with link.sock:
            try:
                self._check_peer(link.sock)
                while data := await link.sock.recv(upgrade_protocol.MAX_LINE_BYTES):
                    for message in link.reader.feed(data):
                        self._handle_message(number, link, message)
            except CONNECTION_ERRORS as error:
                self.log("upgrade_link_lost", "warning", reason=str(error) or type(error).__name__)
        # Not reached when this process ends, since its tasks are cancelled: the successor then owns the path.
        served = self.handover.successors.get(number)
        if served is not None:
            del self.links[number]
            self.handover.successor_ended(number)
            self.log("upgrade_ended", "warning", served=served)
            self.on_change()
            if not self._is_listening():
                self.open()  # the successor owned the path: the next process requests from this one again

    def _handle_message(self, number: int, link: Link, message: upgrade_protocol.Message) -> None:
        if isinstance(message, upgrade_protocol.RequestListeners):
            is_compatible = message.version == upgrade_protocol.VERSION and message.name == self.name
            names, descriptors = self.listeners.transferable() if is_compatible else ([], [])
            rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))] if names else []
            link.send(upgrade_protocol.GiveListeners(names), rights)
            if is_compatible:
                self.links[number] = link
                self.handover.listeners_requested(number)
                self.log("upgrade_asked")
                self.on_change()
        elif isinstance(message, upgrade_protocol.Serving):
            self.handover.successor_serving(number)
            self.log("upgrade_shared")
            self.on_change()
        elif isinstance(message, upgrade_protocol.SetExclusion):
            self._apply_exclusion(message, link)

    # Both sides

    async def _watch_predecessor(self, link: Link) -> None:
        link.send(upgrade_protocol.Serving())
        with link.sock:
            try:
                while data := await link.sock.recv(upgrade_protocol.MAX_LINE_BYTES):
                    for message in link.reader.feed(data):
                        if isinstance(message, upgrade_protocol.SetExclusion):
                            self._apply_exclusion(message, link)
            except CONNECTION_ERRORS as error:
                self.log("upgrade_link_lost", "warning", reason=str(error) or type(error).__name__)
        self.predecessor = None
        self.handover.predecessor_ended()
        self.log("upgrade_alone_again")
        self.on_change()

    def send_exclusion(self, member: str, exclude: bool, except_to: Link | None = None) -> None:
        """Forwards an exclusion to every other process except the one that it came from."""
        for link in (*self.links.values(), *((self.predecessor,) if self.predecessor else ())):
            if link is not except_to:
                link.send(upgrade_protocol.SetExclusion(member, exclude))

    def _apply_exclusion(self, message: upgrade_protocol.SetExclusion, link: Link) -> None:
        if self.on_exclusion(message.member, message.exclude):
            self.send_exclusion(message.member, message.exclude, except_to=link)
