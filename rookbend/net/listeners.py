"""The sockets that a director listens on, by address: bound here, or inherited from its predecessor.

Where upgrades are possible (`shared`), each socket is bound with SO_REUSEPORT, so that a successor of the same user can
bind the address even if its predecessor hangs and can't transfer its sockets. SO_REUSEPORT would also hide a second
director that uses the address by mistake, so an exclusive bind is tried first unless a predecessor is known.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence
from typing import NamedTuple

from rookbend.net.acceptor import listen

Address = tuple[str, int]


class NamedDescriptors(NamedTuple):
    """Sockets to transfer to another process: their names, and their file descriptors in the same order."""

    names: list[str]
    descriptors: list[int]


def _name(transport: str, address: Address) -> str:
    return f"{transport} {address[0]} {address[1]}"


def _bind_udp(address: Address, shared: bool) -> socket.socket:
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM)
    if shared:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setblocking(False)
    sock.bind(address)
    return sock


class Listeners:
    """Opens sockets, and lists those that can be transferred to the successor. Each inherited socket is used once."""

    def __init__(self) -> None:
        self.shared = False
        self.has_predecessor = False
        self._inherited: dict[str, socket.socket] = {}
        self._open: dict[str, socket.socket] = {}

    def tcp(self, address: Address) -> socket.socket:
        """The listener of this address, inherited or bound here. Raises OSError if it can't be bound."""
        return self._get("tcp", address, listen)

    def udp(self, address: Address) -> socket.socket:
        """The UDP socket of this address, inherited or bound here. Raises OSError if it can't be bound."""
        return self._get("udp", address, _bind_udp)

    def _get(self, transport: str, address: Address, bind: Callable[[Address, bool], socket.socket]) -> socket.socket:
        sock = self._inherited.pop(_name(transport, address), None)
        if sock is None:
            if self.shared and not self.has_predecessor:
                bind(address, False).close()
            sock = bind(address, self.shared)
        self._open[_name(transport, sock.getsockname()[:2])] = sock
        return sock

    def inherit(self, names: Sequence[str], descriptors: Sequence[int]) -> None:
        """Takes over the predecessor's sockets; descriptors without a name are closed."""
        for name, descriptor in zip(names, descriptors, strict=False):
            sock = socket.socket(fileno=descriptor)
            sock.setblocking(False)
            self._inherited[name] = sock
        for descriptor in descriptors[len(names) :]:
            socket.socket(fileno=descriptor).close()

    def transferable(self) -> NamedDescriptors:
        """The sockets that are open."""
        descriptors = {name: sock.fileno() for name, sock in self._open.items() if sock.fileno() >= 0}
        return NamedDescriptors(list(descriptors), list(descriptors.values()))

    def close_unused(self) -> None:
        """Closes the inherited sockets that the settings no longer use."""
        for sock in self._inherited.values():
            sock.close()
        self._inherited.clear()
