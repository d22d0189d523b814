"""Reads everything that a client has sent, in steps of bounded work, before its requests are submitted.

A client that has sent much and closed has left, which shows only behind the last byte: no attempt starts for it. One
that sends without an end delays its own requests and no other client: after the first steps it takes turns.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import trio

from rookbend.fronts.platform import PlatformSession
from rookbend.net.buffered_socket import BufferedSocket

MAX_FRAMES_PER_STEP = 32
MAX_SUBMISSIONS_PER_STEP = 8
FREE_STEPS = 2  # without waiting for a turn: enough for a client that sends a request, or a few
PAUSE_ABOVE_BYTES = 1 << 20  # unsent bytes above which new requests of the client wait until all are sent


class Progress(Enum):
    """What a step has left."""

    MORE = "more"
    DONE = "done"
    INVALID = "invalid"  # the client has broken the protocol


class ClientInput:
    """The received bytes of one client.

    `turns` is shared by all clients of a listener and passes from one to the next in the order of their requests.
    """

    def __init__(self, session: PlatformSession, sock: BufferedSocket, turns: trio.Lock) -> None:
        self.is_processing = False
        self._session = session
        self._socket = sock
        self._turns = turns

    async def process(self, is_open: Callable[[], bool]) -> bool:
        """Processes what the session has received, and all that can be read after it, while the connection `is_open`.

        Returns False if the client has broken the protocol.
        """
        self.is_processing = True
        try:
            return await self._process_received(is_open)
        finally:
            self.is_processing = False

    async def _process_received(self, is_open: Callable[[], bool]) -> bool:
        steps = 0
        progress = Progress.MORE
        while progress is Progress.MORE and is_open():
            if steps < FREE_STEPS:
                progress = self._step()
            else:
                async with self._turns:
                    progress = self._step()
            steps += 1
        return progress is not Progress.INVALID

    def _step(self) -> Progress:
        session, sock = self._session, self._socket
        if not session.has_more_frames and (data := sock.receive_now()):
            session.receive_data(data)
        if session.has_more_frames:
            session.has_unread_answers = sock.backlog_bytes > 0
            session.paused = sock.backlog_bytes > PAUSE_ABOVE_BYTES
            if session.process_frames(MAX_FRAMES_PER_STEP):
                return Progress.MORE
            self._submit_before_invalid_bytes()
            return Progress.INVALID
        if sock.eof_received or session.paused:
            return Progress.DONE
        session.requests.submit_queued(MAX_SUBMISSIONS_PER_STEP)
        return Progress.MORE if session.requests.has_queued else Progress.DONE

    def _submit_before_invalid_bytes(self) -> None:
        """Nothing more is read from this client, but the requests before the invalid bytes are answered."""
        has_left = self._socket.peek() == b""
        if self._session.is_rejected and not self._session.paused and not has_left:
            self._session.requests.submit_queued()

    def drained(self) -> None:
        """The client has read its answers: its queued requests are submitted, unless `process` is about to do that."""
        self._session.resume()
        if not self.is_processing:
            self._session.requests.submit_queued()
