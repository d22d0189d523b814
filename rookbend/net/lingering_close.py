"""Closes a TCP connection without losing what the peer has not read yet.

Closing a socket over unread bytes sends a reset, and so does a peer's next byte after the close. A reset discards what
the peer has not received, and some clients drop what they have received too. Therefore the sending side is closed
first, and the connection is read until the peer closes.
"""

from __future__ import annotations

import trio

from rookbend.core.clock import Clock
from rookbend.net.buffered_socket import BufferedSocket
from rookbend.net.delivery import DeliveryMonitor

MAX_DISCARDED_BYTES = 1 << 20  # received after the close; above it the peer is read no more
STALL_TIMEOUT_US = 6_000_000  # for a peer that receives nothing more
SENDING_TIMEOUT_US = 3_000_000  # for a peer that has received everything and goes on sending
LINGER_LIMIT_US = 30_000_000  # in all, for a peer that receives little by little
SMALL_ANSWERS_QUIET_US = 250_000  # on listeners whose answers are small: see `LingeringClose.wait`
SMALL_ANSWERS_LIMIT_US = 1_000_000
DELIVERY_POLL_S = 0.05


class LingeringClose:
    """The end of one connection whose sending side is closed, or will be when its buffered bytes are sent."""

    def __init__(self, sock: BufferedSocket, delivery: DeliveryMonitor, clock: Clock) -> None:
        self._socket = sock
        self._delivery = delivery
        self._clock = clock
        self._delivering_us = clock.now()  # the latest time at which the peer still received

    async def wait(self, quiet_us: int, limit_us: int = LINGER_LIMIT_US) -> None:
        """Returns once the peer has closed, or has everything and has sent nothing for `quiet_us`; within `limit_us`
        and the limits above in any case. The caller closes the socket."""
        with trio.move_on_at(self._monotonic_after(limit_us)):
            has_ended = await self._discard_until_quiet(quiet_us)
            while not has_ended and self._is_delivering():
                await trio.sleep(DELIVERY_POLL_S)

    async def _discard_until_quiet(self, quiet_us: int) -> bool:
        """Returns False if the peer sends too much to go on reading."""
        discarded_bytes = 0
        while discarded_bytes <= MAX_DISCARDED_BYTES:
            is_quiet = True
            with trio.move_on_at(self._monotonic_after(quiet_us)):
                data = await self._socket.receive()
                if not data:
                    return True
                discarded_bytes += len(data)
                is_quiet = False
            if not self._is_delivering() and (is_quiet or self._is_overdue()):
                return True
        return False

    def _is_delivering(self) -> bool:
        now_us = self._clock.now()
        if not self._delivery.is_delivering(now_us) or self._delivery.is_stalled(now_us - STALL_TIMEOUT_US):
            return False
        self._delivering_us = now_us
        return True

    def _is_overdue(self) -> bool:
        return self._clock.now() > self._delivering_us + SENDING_TIMEOUT_US

    def _monotonic_after(self, delay_us: int) -> float:
        return self._clock.monotonic_at(self._clock.now() + delay_us)


async def finish_and_linger(sock: BufferedSocket, clock: Clock) -> None:
    """Closes the sending side of a connection with small answers once all are sent; see `LingeringClose.wait`."""
    sock.finish()
    lingering = LingeringClose(sock, DeliveryMonitor(sock, clock.now()), clock)
    await lingering.wait(SMALL_ANSWERS_QUIET_US, SMALL_ANSWERS_LIMIT_US)


def close_without_reset(sock: BufferedSocket) -> None:
    """Closes a socket at once, but reads before what has arrived on it, so that the close itself sends no reset."""
    sock.send()
    sock.discard_received(MAX_DISCARDED_BYTES)
    sock.close()
