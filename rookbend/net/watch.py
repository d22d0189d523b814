"""The driver of the coordinator's stream: stays connected, and passes its events to the engine.

If the coordinator ends all streams at once, all directors would reconnect at the same moment. The reconnect backoff
therefore has jitter: each director reconnects in a slot of its own within a span that grows with the fleet, up to
`MAX_SPREAD_S`. The slot depends on the director's number and a seeded random draw. A director keeps its slot while its
calls return no event; after each stream that delivered events the slots shift, so that no director is always the last.

The coordinator assumes that its events arrive at once, so the time without a working stream is limited to the sum of
`SILENCE_TIMEOUT_US` until a silent stream is closed, the backoff, and the settings' connect timeout.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from rookbend.core.engine import Engine
from rookbend.core.model import MembershipChange, Purge
from rookbend.protocol.coordinator_stream import KnownEvents, StreamError, Translator, Update
from rookbend.protocol.event_stream import EventStream, StreamEnd, UnreadableEvent

STREAM_PATH = "/v2/stream"
READ_BYTES = 65536
SILENCE_TIMEOUT_US = 2_200_000  # the coordinator sends a comment each second: a stream that missed two is dead
MIN_PAUSE_S = 0.1  # minimum before a call, after a stream that delivered events
MAX_SPREAD_S = 0.8  # added to it, spread over the fleet: less than a fifth of the fleet calls in any 0.1 s
SPREAD_PER_DIRECTOR_S = 0.08  # the spread of a fleet too small for MAX_SPREAD_S
REPEAT_MARGIN_S = 0.1  # keeps the pause between calls without events above the span, so that rounds don't overlap
SLOT_SHIFT_RATIO = 0.382  # of the span, by which the slots shift
SLOT_JITTER_RATIO = 0.25  # of a slot; with more, three directors may call at the same time


class ReconnectBackoff:
    """Pauses between calls: first until this director's slot in the span, then a fixed pause."""

    def __init__(self, number: int, count: int, seed: int) -> None:
        """`number` is this director's number, of `count`; `seed` is specific to this director."""
        self.number = number
        self.count = max(1, count)
        self.span_s = min(MAX_SPREAD_S, SPREAD_PER_DIRECTOR_S * self.count)
        self.repeat_pause_s = MIN_PAUSE_S + self.span_s + REPEAT_MARGIN_S
        self._random = random.Random(f"{seed} calls")
        self._streams = 0
        self._in_slot = False

    def reset(self) -> None:
        """The last call delivered events, so the coordinator works."""
        self._in_slot = False

    def next(self) -> float:
        """The pause before the next call, in seconds."""
        if self._in_slot:
            return self.repeat_pause_s
        slot = (self.number + SLOT_JITTER_RATIO * self._random.random()) / self.count
        slot += self._streams * SLOT_SHIFT_RATIO
        self._in_slot = True
        self._streams += 1
        return MIN_PAUSE_S + self.span_s * (slot % 1.0)


class Watch:
    """Follows the stream of one coordinator and passes on memberships and purges.

    `membership_changed`, `purged` and `stream_received` are callbacks, which may be replaced until `run` starts.
    """

    def __init__(self, engine: Engine, translator: Translator, address: tuple[str, int] | None, seed: int = 0) -> None:
        """Without an `address`, no call is made until `change_coordinator`; `seed` is for the reconnect backoff."""
        self.engine = engine
        self.translator = translator
        self.address = address
        settings = engine.settings
        self.backoff = ReconnectBackoff(settings.router_index, settings.router_count, seed)
        self.membership_changed: Callable[[MembershipChange], None] = engine.membership_changed
        self.purged: Callable[[Purge], None] = engine.purged
        self.stream_received: Callable[[], None] = lambda: None  # called when bytes were received on the stream
        self.last_index = 0
        self._call_scope = trio.CancelScope()  # the call in progress, or the pause before the next

    def change_coordinator(self, address: tuple[str, int] | None) -> None:
        """Calls another coordinator at once. Its event indexes continue those of the old one."""
        self.address = address
        # Ends the old stream at once: it may stay open and silent for a while, and waiting for its end would delay the
        # events of the new coordinator.
        self._call_scope.cancel()

    def apply_known_events(self, known: KnownEvents) -> None:
        """Applies the events that are part of the configuration."""
        for update in known.updates:
            self._apply(update)
        self.last_index = max(self.last_index, known.index)

    def _apply(self, update: Update) -> None:
        if update.index and update.index <= self.last_index:
            return  # applied before: a new stream may repeat earlier events
        self.last_index = max(self.last_index, update.index)
        self.engine.clock.anchor()
        try:
            event = self.translator.translate(update)
        except StreamError as error:
            # One event that can't be used must not block the events that follow it.
            self.engine.counters.events_unusable += 1
            return self.engine.log("coordinator_event_unusable", "error", reason=str(error))
        if isinstance(event, Purge):
            self.purged(event)
        elif event is not None:
            self.membership_changed(event)

    def _skip(self, event: UnreadableEvent) -> None:
        """Moves the index past an unreadable event. Requested again, it would arrive unreadable again and block the
        events that follow it."""
        self.last_index = max(self.last_index, event.index)
        self.engine.counters.events_unusable += 1
        self.engine.log("coordinator_event_unusable", "error", index=event.index, reason=event.reason)

    async def run(self) -> None:
        """Calls the coordinator repeatedly until cancelled."""
        while True:
            index_before = self.last_index
            with trio.CancelScope() as self._call_scope:
                try:
                    await self._follow()
                except (OSError, StreamError, trio.BrokenResourceError) as error:
                    self.engine.log("coordinator_lost", "warning", reason=str(error) or type(error).__name__)
                if self.last_index != index_before:
                    self.backoff.reset()
                await trio.sleep(self.backoff.next())
            if self._call_scope.cancelled_caught:
                self.backoff.reset()  # the coordinator was changed, and the new one may work

    async def _follow(self) -> None:
        """Makes one call. Raises OSError, StreamError or BrokenResourceError when the stream has ended."""
        if self.address is None:
            await trio.sleep_forever()
        host, port = self.address
        clock = self.engine.clock
        stream = None
        with trio.move_on_at(clock.monotonic_at(clock.now() + self.engine.settings.connect_timeout_us)):
            stream = await trio.open_tcp_stream(host, port)
        if stream is None:
            raise StreamError("no connection")
        async with stream:
            events = EventStream(f"{host}:{port}", STREAM_PATH, self.last_index)
            await stream.send_all(events.start())
            with trio.CancelScope() as silence_scope:
                while True:
                    silence_scope.deadline = clock.monotonic_at(clock.now() + SILENCE_TIMEOUT_US)
                    self._process(events, await stream.receive_some(READ_BYTES))
            raise StreamError("the stream is silent")

    def _process(self, events: EventStream, data: bytes | bytearray) -> None:
        """Applies the events in the received bytes. Raises StreamError at the end of the stream."""
        for event in events.feed(bytes(data)):
            if isinstance(event, StreamEnd):
                raise StreamError("the stream has ended")
            if isinstance(event, UnreadableEvent):
                self._skip(event)
            else:
                self._apply(event)
        self.stream_received()
