"""The sockets that a director listens on, by address: bound here, or inherited from the process before.

Where upgrades are possible (`shared`), each is bound so that another process of this user may bind it as well
(SO_REUSEPORT): the way out where the process before stands still and can't give its own. That hides a second
director at one address by mistake, so it is looked for first, unless a process before is known.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from rookbend.net.acceptor import listen

Address = tuple[str, int]


def _name(kind: str, address: Address) -> str:
    return f"{kind} {address[0]} {address[1]}"


class Listeners:
    """What is `held` may be given to the next process; of what was inherited, each is used once."""

    def __init__(self) -> None:
        self.inherited: dict[str, socket.socket] = {}
        self.held: dict[str, socket.socket] = {}
        self.shared = False
        self.predecessor = False

    def tcp(self, address: Address) -> socket.socket:
        """The listener of this address, inherited or bound here."""
        return self._get("tcp", address, lambda shared: listen(address, shared))

    def udp(self, address: Address) -> socket.socket:
        """The UDP socket of this address, inherited or bound here."""

        def bind(shared: bool) -> socket.socket:
            sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM)
            if shared:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.setblocking(False)
            sock.bind(address)
            return sock

        return self._get("udp", address, bind)

    def _get(self, kind: str, address: Address, bind: Callable[[bool], socket.socket]) -> socket.socket:
        sock = self.inherited.pop(_name(kind, address), None)
        if sock is None:
            if self.shared and not self.predecessor:
                bind(False).close()
            sock = bind(self.shared)
        self.held[_name(kind, sock.getsockname()[:2])] = sock
        return sock

    def take(self, names: list[str], descriptors: list[int]) -> None:
        """What the process before gives. Descriptors without a name are closed."""
        for name, descriptor in zip(names, descriptors, strict=False):
            sock = socket.socket(fileno=descriptor)
            sock.setblocking(False)
            self.inherited[name] = sock
        for descriptor in descriptors[len(names) :]:
            socket.socket(fileno=descriptor).close()

    def offer(self) -> tuple[list[str], list[int]]:
        """What can be given now: what was closed since is left out."""
        open_ones = {name: sock.fileno() for name, sock in self.held.items() if sock.fileno() >= 0}
        return list(open_ones), list(open_ones.values())

    def close_unused(self) -> None:
        """Of what was inherited: the settings name it no more."""
        for sock in self.inherited.values():
            sock.close()
        self.inherited.clear()
