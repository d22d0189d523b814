"""The driver of datagrams between directors."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Sequence

import trio

from rookbend.core.engine import Engine
from rookbend.net.fault_containment import FaultContainment

MAX_DATAGRAM_BYTES = 256


class PeerSocket:
    """Sends and receives datagrams. One that can't be sent at once is dropped, since datagrams may be lost anyway."""

    def __init__(
        self,
        engine: Engine,
        containment: FaultContainment,
        sock: socket.socket,
        peers: Sequence[tuple[str, int]],
        broadcast: tuple[str, int] | None,
    ):
        """`peers` are the directors' addresses by number; `broadcast` is an address that reaches all, or None."""
        self._engine = engine
        self._containment = containment
        self._sock = sock
        self._peers = peers
        self._broadcast = broadcast
        self._numbers = {address: number for number, address in enumerate(peers)}
        self._receiving = trio.Event()
        self._receiving.set()

    def set_receiving(self, receiving: bool) -> None:
        """Starts or stops receiving: while two processes hold the socket, only the newer one receives datagrams."""
        if receiving:
            self._receiving.set()
        elif self._receiving.is_set():
            self._receiving = trio.Event()

    def send(self, peer: int | None, data: bytes) -> None:
        """Sends a datagram to one director by its number, or to all if `peer` is None."""
        address = self._address_of(peer)
        if address is not None and len(data) <= MAX_DATAGRAM_BYTES:
            with contextlib.suppress(OSError):
                self._sock.sendto(data, address)

    def _address_of(self, peer: int | None) -> tuple[str, int] | None:
        if peer is None:
            return self._broadcast
        return self._peers[peer] if peer < len(self._peers) else None

    async def run(self) -> None:
        """Receives datagrams from known directors until cancelled."""
        while True:
            await self._receiving.wait()
            await trio.lowlevel.wait_readable(self._sock)
            if not self._receiving.is_set():
                continue
            try:
                data, address = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                continue  # reports that an earlier datagram was refused by its receiver
            sender = self._numbers.get(address[:2])
            if sender is not None and len(data) <= MAX_DATAGRAM_BYTES:
                with self._containment.contain("peers", peer=sender):
                    self._engine.peer_message(sender, data)
