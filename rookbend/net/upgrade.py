"""The driver of upgrades: the elder process gives its listening sockets, both pass on orders.

A Unix socket in `$TMPDIR`, which only the processes of one director share. Its owner is whom a next one
will ask: each takes the path over once it serves. What a word means is for `daily.handover` to say.
"""

from __future__ import annotations

import array
import contextlib
import os
import socket
import struct
from collections.abc import Callable
from pathlib import Path

import trio

from rookbend.core.clock import Clock
from rookbend.net.listeners import Listeners
from rookbend.operations.handover import Handover
from rookbend.protocol import upgrade as words

GIVEN_US = 3_000_000  # an elder that has not given by then stands still: the younger starts by itself
PATH_MOST = 100  # bytes of a Unix socket's path, less than the kernel's 108
GIVEN_MOST = 64  # descriptors in one message
PEER = struct.Struct("3i")  # SO_PEERCRED: pid, uid, gid
GONE = OSError, trio.BrokenResourceError, trio.ClosedResourceError, words.UpgradeError


class Link:
    """The connection to one neighbour."""

    def __init__(self, raw: socket.socket):
        raw.setblocking(False)
        self.raw, self.sock, self.words = raw, trio.socket.from_stdlib_socket(raw), words.Words()

    def say(self, word: words.Word, rights=()) -> None:
        """Small and rare: what the socket does not take at once is lost, its reader stands still."""
        with contextlib.suppress(OSError):
            self.raw.sendmsg([words.write(word)], rights)


class Upgrade:
    """`on_ban(member, out)` hears of a neighbour's order, and says whether it was news; `changed()` of every
    change of `handover`."""

    def __init__(self, folder: str, name: str, clock: Clock, log: Callable[..., None], listeners: Listeners):
        self.path = Path(folder) / f"rookbend.{name}.sock"
        self.name, self.clock, self.log, self.listeners = name, clock, log, listeners
        self.handover = Handover()
        self.links: dict[int, Link] = {}
        self.elder: Link | None = None
        self.on_ban: Callable[[str, bool], bool] = lambda member, out: False
        self.changed: Callable[[], None] = lambda: None
        self._last = 0
        self._asking: socket.socket | None = None

    # The younger's side

    async def inherit(self) -> None:
        """Asks the process before for its sockets, if there is one."""
        if not self.path.exists() or len(os.fsencode(self.path)) > PATH_MOST:
            return
        self.listeners.predecessor = True
        due = self.clock.now() + GIVEN_US
        link, reason = Link(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)), "it stands still"
        try:
            with trio.CancelScope(deadline=self.clock.monotonic_at(due)):
                await link.sock.connect(str(self.path))
                self._check_peer(link.sock)
                await self._ask(link)
        except GONE as error:
            # Nobody listens at a path that a crash has left behind: there is no process before.
            self.listeners.predecessor = not isinstance(error, ConnectionRefusedError)
            reason = str(error) or type(error).__name__
        if self.elder is None:
            link.sock.close()
            self.log("upgrade_alone", "warning", reason=reason)

    async def _ask(self, link: Link) -> None:
        link.say(words.Ask(words.VERSION, self.name))
        names, found = None, array.array("i")
        space = socket.CMSG_SPACE(GIVEN_MOST * found.itemsize)
        while names is None:
            data, extra, _, _ = await link.sock.recvmsg(words.LONGEST, space)
            for level, kind, body in extra:
                if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                    found.frombytes(body[: len(body) - len(body) % found.itemsize])
            if not data:
                raise words.UpgradeError("the process before has ended")
            for word in link.words.feed(data):
                names = word.listeners if isinstance(word, words.Give) else names
        self.listeners.take(names, list(found))
        self.elder = link
        self.handover.inherited()
        self.log("upgrade_inherited", listeners=len(names))

    @staticmethod
    def _check_peer(sock) -> None:
        # Guards against another user who can write to the folder.
        _, uid, _ = PEER.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER.size))
        if uid != os.getuid():
            raise words.UpgradeError(f"the other process belongs to user {uid}")

    # The elder's side

    async def run(self) -> None:
        """Serves: tells the process before, if any, and waits for the next one, until it is cancelled."""
        async with trio.open_nursery() as nursery:
            if self.elder is not None:
                nursery.start_soon(self._hear_elder, nursery)
            await self._take_asks(nursery)

    def open(self) -> None:
        """From here on a next process asks this one."""
        self.close()
        if len(os.fsencode(self.path)) > PATH_MOST:
            return self.log("upgrade_unable", "warning", reason=f"the path is too long: {self.path}")
        sock, fresh = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM), f"{self.path}.{os.getpid()}"
        try:
            Path(fresh).unlink(missing_ok=True)
            sock.bind(fresh)
            sock.listen(8)
            sock.setblocking(False)
            os.replace(fresh, self.path)
            self._asking = sock
        except OSError as error:
            sock.close()
            self.log("upgrade_unable", "error", reason=str(error))

    def leave(self) -> None:
        """At the end: a path that nobody listens at is not left behind."""
        self.close()
        if not self._answered():
            self.path.unlink(missing_ok=True)

    def _answered(self) -> bool:
        """Whether a process listens at the path. Guards against taking it from one that does: an elder that
        stood still as it was asked hears of the younger only once that has long begun by itself."""
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            probe.setblocking(False)
            try:
                probe.connect(str(self.path))
            except BlockingIOError:
                return True  # its queue is full: it is there
            except OSError:
                return False
            return True

    def close(self) -> None:
        if self._asking is not None:
            trio.lowlevel.notify_closing(self._asking)
            self._asking.close()
            self._asking = None

    async def _take_asks(self, nursery: trio.Nursery) -> None:
        while True:
            if self._asking is None:
                self.open()
            try:
                await trio.lowlevel.wait_readable(self._asking)
                sock, _ = self._asking.accept()
            except (OSError, trio.ClosedResourceError, AttributeError):
                await trio.sleep(1)
                continue
            nursery.start_soon(self._serve_younger, Link(sock))

    async def _serve_younger(self, link: Link) -> None:
        self._last += 1
        number = self._last
        with link.sock:
            try:
                self._check_peer(link.sock)
                while data := await link.sock.recv(words.LONGEST):
                    for word in link.words.feed(data):
                        self._younger_said(number, link, word)
            except GONE as error:
                self.log("upgrade_link_lost", "warning", reason=str(error) or type(error).__name__)
        # Not where this process ends: the path is the younger's then.
        served = self.handover.younger.get(number)
        if served is not None:
            del self.links[number]
            self.handover.younger_gone(number)
            self.log("upgrade_ended", "warning", served=served)
            self.changed()
            if not self._answered():
                self.open()  # the path was the younger's: a next one asks us again

    def _younger_said(self, number: int, link: Link, word: words.Word) -> None:
        if isinstance(word, words.Ask):
            fits = word.version == words.VERSION and word.name == self.name
            names, descriptors = self.listeners.offer() if fits else ([], [])
            rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))] if names else []
            link.say(words.Give(names), rights)
            if fits:
                self.links[number] = link
                self.handover.asked(number)
                self.log("upgrade_asked")
                self.changed()
        elif isinstance(word, words.Serving):
            self.handover.serves(number)
            self.log("upgrade_shared")
            self.changed()
        elif isinstance(word, words.Ban):
            self._ban(word, link)

    # Both

    async def _hear_elder(self, nursery: trio.Nursery) -> None:
        link = self.elder
        link.say(words.Serving())
        with link.sock:
            try:
                while data := await link.sock.recv(words.LONGEST):
                    for word in link.words.feed(data):
                        if isinstance(word, words.Ban):
                            self._ban(word, link)
            except GONE as error:
                self.log("upgrade_link_lost", "warning", reason=str(error) or type(error).__name__)
        self.elder = None
        self.handover.elder_gone()
        self.log("upgrade_alone_again")
        self.changed()

    def tell_ban(self, member: str, out: bool, but: Link | None = None) -> None:
        """To every neighbour but the one that it came from."""
        for link in (*self.links.values(), *((self.elder,) if self.elder else ())):
            if link is not but:
                link.say(words.Ban(member, out))

    def _ban(self, word: words.Ban, link: Link) -> None:
        if self.on_ban(word.member, word.out):
            self.tell_ban(word.member, word.out, but=link)
