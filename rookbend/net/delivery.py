"""Whether a peer still receives or reads what was written to it.

The kernels of both sides take megabytes of answers at once, and a slow reader needs seconds to read them. A close in
between leads to a reset as soon as the peer sends anything. A reset discards what this side's kernel has not sent, and
some clients then drop what their own kernel has received.
"""

from __future__ import annotations

from rookbend.net.buffered_socket import BufferedSocket

SLOW_AFTER_US = 100_000  # a reader that bytes are held back from for longer is slow
SETTLE_US = 250_000  # a slow reader reads from its own kernel's buffer for a while after the last byte was sent
READING_BYTES_PER_S = 1_000_000  # of a client behind a slow line
MAX_READING_US = 3_000_000  # for what a client's kernel may hold
US_PER_S = 1_000_000


class DeliveryMonitor:
    """Follows how a peer reads. `is_delivering` is to be called several times a second.

    `progress_us` is the latest time at which the peer had received more, or everything.
    """

    __slots__ = (
        "_accepted_bytes",
        "_delivered_bytes",
        "_reading_until_us",
        "_received_all_us",
        "_sampled_us",
        "_slow_until_us",
        "_socket",
        "progress_us",
    )

    def __init__(self, sock: BufferedSocket, now_us: int) -> None:
        self.progress_us = now_us
        self._socket = sock
        self._sampled_us = now_us
        self._accepted_bytes = sock.accepted_bytes
        self._delivered_bytes = sock.accepted_bytes
        self._received_all_us = now_us  # when nothing was held back
        self._slow_until_us = 0
        self._reading_until_us = 0  # when a slow reader will have read everything

    def is_delivering(self, now_us: int) -> bool:
        """Whether bytes are held back from the peer, or it may still read what its kernel has received."""
        self._estimate_reading(now_us)
        undelivered_bytes = self._socket.undelivered_bytes
        delivered_bytes = self._socket.accepted_bytes - undelivered_bytes
        if not undelivered_bytes:
            self._received_all_us = now_us
        elif now_us - self._received_all_us > SLOW_AFTER_US:
            self._slow_until_us = now_us + SETTLE_US
        if not undelivered_bytes or delivered_bytes != self._delivered_bytes:
            self.progress_us = now_us
        self._delivered_bytes = delivered_bytes
        return bool(undelivered_bytes) or now_us < max(self._slow_until_us, self._reading_until_us)

    def is_stalled(self, since_us: int) -> bool:
        """Whether bytes are held back from the peer and it has received none since then."""
        return self.progress_us < since_us

    def _estimate_reading(self, now_us: int) -> None:
        new_bytes = self._socket.accepted_bytes - self._accepted_bytes
        began_us = max(self._reading_until_us, self._sampled_us)
        until_us = began_us + new_bytes * US_PER_S // READING_BYTES_PER_S
        self._reading_until_us = min(until_us, now_us + MAX_READING_US)
        self._accepted_bytes = self._socket.accepted_bytes
        self._sampled_us = now_us
