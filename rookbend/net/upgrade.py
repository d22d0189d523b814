"""The driver of upgrades: a process transfers its listening sockets to its successor; both forward exclusions.

They connect over a Unix socket in `$TMPDIR`, which only the processes of one director share. A new process requests the
sockets from the process that listens there, and listens there itself once it serves. `operations.handover` defines what
the messages mean.
"""

from __future__ import annotations

import array
import os
import socket
import struct
from collections.abc import Callable, Iterable
from pathlib import Path

import trio

from rookbend.core.clock import Clock
from rookbend.net.listeners import Listeners
from rookbend.net.upgrade_link import Link
from rookbend.net.upgrade_listener import MAX_PATH_BYTES, UpgradeListener
from rookbend.operations.handover import ProcessHandover
from rookbend.protocol import upgrade as upgrade_protocol

HANDOVER_TIMEOUT_US = 3_000_000  # then the predecessor counts as hung, and the successor binds its own sockets
MAX_DESCRIPTORS = 64  # in one message
PEER_CREDENTIALS = struct.Struct("3i")  # SO_PEERCRED: pid, uid, gid
CONNECTION_ERRORS = OSError, trio.BrokenResourceError, trio.ClosedResourceError, upgrade_protocol.UpgradeError


class Upgrade:
    """`on_exclusion(member, exclude)` applies another process's exclusion and returns whether it changed anything;
    `on_ids(left_ms)` takes the ids of another process's writes; `known_ids()` has those of this one; `on_change()` is
    called at every change of `handover`."""

    def __init__(self, folder: str, name: str, clock: Clock, log: Callable[..., None], listeners: Listeners):
        self.listener = UpgradeListener(Path(folder) / f"rookbend.{name}.sock", log)
        self.name, self.clock, self.log, self.listeners = name, clock, log, listeners
        self.handover = ProcessHandover()
        self.links: dict[int, Link] = {}
        self.predecessor: Link | None = None
        self.on_exclusion: Callable[[str, bool], bool] = lambda member, excluded: False
        self.on_ids: Callable[[dict[str, int]], None] = lambda left_ms: None
        self.known_ids: Callable[[], Iterable[dict[str, int]]] = lambda: ()
        self.on_change: Callable[[], None] = lambda: None
        self._connections = 0

    # The successor's side

    async def inherit(self) -> None:
        """Requests the predecessor's sockets, if there is a predecessor."""
        path = self.listener.path
        if not path.exists() or len(os.fsencode(path)) > MAX_PATH_BYTES:
            return
        self.listeners.has_predecessor = True
        due = self.clock.now() + HANDOVER_TIMEOUT_US
        link, reason = Link(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)), "it stands still"
        try:
            with trio.CancelScope(deadline=self.clock.monotonic_at(due)):
                await link.sock.connect(str(path))
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
        link.send(upgrade_protocol.RequestListeners(upgrade_protocol.VERSION, self.name, True))
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
                if isinstance(message, upgrade_protocol.GiveListeners):
                    names = message.listeners
                    link.shares_ids = message.shares_ids
                else:
                    self._handle_shared(link, message)
        self.listeners.inherit(names, list(received))
        self.predecessor = link
        link.handle = lambda message: self._handle_shared(link, message)
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

    def shutdown(self) -> None:
        """Stops listening, and removes the path unless another process listens there."""
        self.listener.shutdown()

    async def _accept_successors(self, nursery: trio.Nursery) -> None:
        while True:
            nursery.start_soon(self._serve_successor, Link(await self.listener.accept()))

    async def _serve_successor(self, link: Link) -> None:
        self._connections += 1
        number = self._connections
        with link.sock:
            await self._read_messages(link, lambda message: self._handle_message(number, link, message))
        # Not reached when this process ends, since its tasks are cancelled: the successor then owns the path.
        served = self.handover.successors.get(number)
        if served is not None:
            del self.links[number]
            self.handover.successor_ended(number)
            self.log("upgrade_ended", "warning", served=served)
            self.on_change()
            if not self.listener.is_listening():
                self.listener.open()  # the successor owned the path: the next process requests from this one again

    def _handle_message(self, number: int, link: Link, message: upgrade_protocol.Message) -> None:
        if isinstance(message, upgrade_protocol.RequestListeners):
            is_compatible = message.version == upgrade_protocol.VERSION and message.name == self.name
            names, descriptors = self.listeners.transferable() if is_compatible else ([], [])
            rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))] if names else []
            link.send(upgrade_protocol.GiveListeners(names, shares_ids=True), rights)
            if is_compatible:
                self.links[number] = link
                link.shares_ids = message.shares_ids
                for left_ms in self.known_ids():
                    self._send_ids_to(link, left_ms)
                self.handover.listeners_requested(number)
                self.log("upgrade_asked")
                self.on_change()
        elif isinstance(message, upgrade_protocol.Serving):
            self.handover.successor_serving(number)
            self.log("upgrade_shared")
            self.on_change()
        else:
            self._handle_shared(link, message)

    # Both sides

    async def _read_messages(self, link: Link, handle: Callable[[upgrade_protocol.Message], None]) -> None:
        """Handles messages until the connection ends."""
        link.handle = handle
        try:
            self._check_peer(link.sock)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.run_writer)
                while data := await link.sock.recv(upgrade_protocol.MAX_LINE_BYTES):
                    for message in link.reader.feed(data):
                        handle(message)
                nursery.cancel_scope.cancel()
        except* CONNECTION_ERRORS as group:
            reason = group.exceptions[0]
            self.log("upgrade_link_lost", "warning", reason=str(reason) or type(reason).__name__)

    def _handle_shared(self, link: Link, message: upgrade_protocol.Message) -> None:
        """Handles a message that either side may send."""
        if isinstance(message, upgrade_protocol.SetExclusion):
            self._apply_exclusion(message, link)
        elif isinstance(message, upgrade_protocol.SharedIds):
            self.on_ids(message.left_ms)
            self.send_ids(message.left_ms, except_to=link)

    @property
    def _all_links(self) -> list[Link]:
        return [*self.links.values(), *((self.predecessor,) if self.predecessor else ())]

    def send_ids(self, left_ms: dict[str, int], except_to: Link | None = None) -> None:
        """Tells every other process, but the one that it came from, of writes that may run now."""
        for link in self._all_links:
            if link is not except_to:
                self._send_ids_to(link, left_ms)

    @staticmethod
    def _send_ids_to(link: Link, left_ms: dict[str, int]) -> None:
        if link.shares_ids:
            link.send(upgrade_protocol.SharedIds(left_ms))

    def receive_now(self) -> None:
        """Handles what the other processes have sent by now: a write is not begun before."""
        for link in self._all_links:
            try:
                for message in link.receive_now():
                    link.handle(message)
            except upgrade_protocol.UpgradeError:
                link.end()  # the task that reads it sees the end

    async def _watch_predecessor(self, link: Link) -> None:
        link.send(upgrade_protocol.Serving())
        with link.sock:
            await self._read_messages(link, lambda message: self._handle_shared(link, message))
        self.predecessor = None
        self.handover.predecessor_ended()
        self.log("upgrade_alone_again")
        self.on_change()

    def send_exclusion(self, member: str, exclude: bool, except_to: Link | None = None) -> None:
        """Forwards an exclusion to every other process except the one that it came from."""
        for link in self._all_links:
            if link is not except_to:
                link.send(upgrade_protocol.SetExclusion(member, exclude))

    def _apply_exclusion(self, message: upgrade_protocol.SetExclusion, link: Link) -> None:
        if self.on_exclusion(message.member, message.exclude):
            self.send_exclusion(message.member, message.exclude, except_to=link)
