"""The driver of the coordinator's stream: stays connected, and tells the engine what it reads.

Where the coordinator ends all streams at once, all directors would call it again in the same moment. The
reconnect backoff therefore has jitter: each director has a slot of its own in a span that grows with the
fleet up to `SPREAD_S`, by its number and a seeded draw, and keeps it over calls that bring nothing; with each
stream that did, the slots move on, so that nobody is always last.

What the coordinator has counts as told whether or not it arrived, so the time without a working stream is
bounded: `SILENCE_US` until a silent one is given up, the backoff, and the settings' time to connect.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from rookbend.core.engine import Engine
from rookbend.core.model import Purge
from rookbend.protocol.coordinator_stream import (
    EventStream,
    Known,
    StreamEnd,
    StreamError,
    Translator,
    UnreadableEvent,
    Update,
)

PATH = "/v2/stream"
SILENCE_US = 2_200_000  # a comment comes each second: a stream that missed two is dead
PAUSE_S = 0.1  # before a call, after a stream that brought something
SPREAD_S = 0.8  # and so much more, spread over the fleet: under a fifth of it in any 0.1 s
SPREAD_EACH_S = 0.08  # of it for each director, in a fleet too small to need all of it
REPEAT_MARGIN_S = 0.1  # between calls that bring nothing: longer than the span, so they don't overlap
SHIFT = 0.382  # of the span, by which the slots move on
DRAWN = 0.25  # of a director's part of the span: the seeded draw's; more lets three meet


class ReconnectBackoff:
    """Pauses between calls, in seconds: this director's slot in the span first, then even ones."""

    def __init__(self, number: int, count: int, seed: int):
        self.number, self.count = number, max(1, count)
        self.span_s = min(SPREAD_S, SPREAD_EACH_S * self.count)
        self.most_s = PAUSE_S + self.span_s + REPEAT_MARGIN_S
        self.random = random.Random(f"{seed} calls")
        self.streams, self.in_slot = 0, False

    def reset(self) -> None:
        """The last call brought something: nothing is known against the coordinator."""
        self.in_slot = False

    def next(self) -> float:
        """The pause before the next call."""
        if self.in_slot:
            return self.most_s
        slot = (self.number + DRAWN * self.random.random()) / self.count + self.streams * SHIFT
        self.in_slot = True
        self.streams += 1
        return PAUSE_S + self.span_s * (slot % 1.0)


class Watch:
    """Follows the stream of one coordinator, and tells of memberships and purges."""

    def __init__(self, engine: Engine, translator: Translator, address: tuple[str, int] | None, seed: int = 0):
        self.engine, self.translator, self.address = engine, translator, address
        s = engine.settings
        self.backoff = ReconnectBackoff(s.router_index, s.router_count, seed)
        self.membership_changed = engine.membership_changed  # or health's, which weighs it and passes it on
        self.purged = engine.purged
        self.heard: Callable[[], None] = lambda: None  # the stream is up and has brought something
        self.last_index = 0
        self._call = trio.CancelScope()  # the call under way, or the pause before the next

    def move(self, address: tuple[str, int] | None) -> None:
        """Calls another coordinator, at once. Its numbers go on where those of the old one ended."""
        self.address = address
        # Guards the told time: the old stream stays open and silent for a while, and is not waited for.
        self._call.cancel()

    def take_known(self, known: Known) -> None:
        """The events that the configuration holds."""
        for update in known.updates:
            self._take(update)
        self.last_index = max(self.last_index, known.index)

    def _take(self, update: Update) -> None:
        if update.index and update.index <= self.last_index:
            return  # told before: the stream began again a little early
        self.last_index = max(self.last_index, update.index)
        self.engine.clock.anchor()
        try:
            event = self.translator.translate(update)
        except StreamError as error:
            # One event that can't be used must not cost those that follow it.
            self.engine.counters.events_unusable += 1
            return self.engine.log("coordinator_event_unusable", "error", reason=str(error))
        if isinstance(event, Purge):
            self.purged(event)
        elif event is not None:
            self.membership_changed(event)

    def _pass_over(self, event: UnreadableEvent) -> None:
        """Asked for again it would come again as it is, and with it nothing that follows it."""
        self.last_index = max(self.last_index, event.index)
        self.engine.counters.events_unusable += 1
        self.engine.log("coordinator_event_unusable", "error", index=event.index, reason=event.reason)

    async def run(self) -> None:
        """Calls the coordinator for as long as the director runs."""
        while True:
            before = self.last_index
            with trio.CancelScope() as self._call:
                try:
                    await self._follow()
                except (OSError, StreamError, trio.BrokenResourceError) as error:
                    self.engine.log("coordinator_lost", "warning", reason=str(error) or type(error).__name__)
                if self.last_index != before:
                    self.backoff.reset()
                await trio.sleep(self.backoff.next())
            if self._call.cancelled_caught:
                self.backoff.reset()  # moved: nothing is known against the new one

    async def _follow(self) -> None:
        if self.address is None:
            await trio.sleep_forever()
        clock = self.engine.clock
        stream = None
        with trio.move_on_at(clock.monotonic_at(clock.now() + self.engine.settings.connect_timeout_us)):
            stream = await trio.open_tcp_stream(*self.address)
        if stream is None:
            raise StreamError("no connection")
        async with stream:
            events = EventStream(f"{self.address[0]}:{self.address[1]}", PATH, self.last_index)
            await stream.send_all(events.start())
            with trio.CancelScope() as scope:
                while True:
                    scope.deadline = clock.monotonic_at(clock.now() + SILENCE_US)
                    for event in events.feed(await stream.receive_some(65536)):
                        if isinstance(event, StreamEnd):
                            raise StreamError("the stream has ended")
                        if isinstance(event, UnreadableEvent):
                            self._pass_over(event)
                        else:
                            self._take(event)
                    self.heard()
            raise StreamError("the stream is silent")
