"""The driver of the coordinator's stream: stays connected, and passes its events to the engine.

The coordinator assumes that its events arrive at once, so the time without a working stream is limited: to the sum of
`SILENCE_TIMEOUT_US` until a silent stream is closed, the backoff, the settings' connect timeout, and the time that the
coordinator takes to begin its answer.
"""

from __future__ import annotations

from collections.abc import Callable

import trio

from rookbend.core.engine import Engine
from rookbend.core.model import MembershipChange, Purge
from rookbend.core.reported_times import ReportedTimes
from rookbend.net.catch_up import MAX_AFTER_PAUSE_US, MAX_START_US, CatchUp
from rookbend.net.coordinator_calls import CALL_ERRORS, AnsweredCall, CoordinatorCalls
from rookbend.net.loop_pause import LoopPauseInstrument
from rookbend.net.reconnect_backoff import ReconnectBackoff
from rookbend.net.stream_reader import READ_BYTES, StreamReader
from rookbend.protocol.coordinator_stream import KnownEvents, StreamError, Translator, Update
from rookbend.protocol.event_stream import EventStream, StreamEnd, StreamItem, UnreadableEvent

STREAM_PATH = "/v2/stream"
MAX_UNFOLLOWED_PAUSE_US = 500_000  # the shortest grace of the platform for drains and purges
SILENCE_TIMEOUT_US = 2_200_000  # the coordinator sends a comment each second: a stream that missed two is dead


class Watch:
    """Follows the stream of one coordinator and passes on memberships and purges.

    `membership_changed`, `purged` and `stream_received` are callbacks, which may be replaced until `run` starts.
    """

    def __init__(self, engine: Engine, translator: Translator, address: tuple[str, int] | None, seed: int = 0) -> None:
        """Without an `address`, no call is made until `change_coordinator`; `seed` is for the reconnect backoff."""
        self.engine = engine
        self.translator = translator
        self.address = address
        self.reported_times = ReportedTimes(engine.clock)
        self.catch_up = CatchUp(engine)
        self.loop_pause = LoopPauseInstrument(engine.clock)
        self.loop_pause.on_pause.append(self.loop_paused)
        settings = engine.settings
        self.backoff = ReconnectBackoff(settings.router_index, settings.router_count, seed)
        self.membership_changed: Callable[[MembershipChange], None] = engine.membership_changed
        self.purged: Callable[[Purge], None] = engine.purged
        self.stream_received: Callable[[], None] = lambda: None  # called when bytes were received on the stream
        self.last_index = 0
        self._received_us = engine.clock.now()  # when bytes of a stream were last received; at first, the start
        self._stream: StreamReader | None = None
        self._call_scope = trio.CancelScope()  # the call in progress, or the pause before the next

    def change_coordinator(self, address: tuple[str, int] | None) -> None:
        """Calls another coordinator at once. Its event indexes continue those of the old one."""
        self.address = address
        # Ends the old stream at once: it may stay open and silent for a while, and waiting for its end would delay the
        # events of the new coordinator.
        self._call_scope.cancel()

    def apply_known_events(self, known: KnownEvents) -> None:
        """Applies the events that are part of the configuration. New requests are held until `catch_up` is complete."""
        for update in known.updates:
            self._apply(update)
        self.last_index = max(self.last_index, known.index)
        if known.updates:
            self.engine.log("known_events_applied", index=self.last_index, members=len(self.engine.endpoints))
        if self.address is not None:
            self.catch_up.begin(MAX_START_US)

    def gauges(self) -> dict[str, float]:
        """Gauges for the metrics, by name."""
        silent_us = self.engine.clock.now() - self._received_us
        return {"coordinator_event_index": self.last_index, "coordinator_silent_seconds": silent_us / 1e6}

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
            self.purged(self.reported_times.purge(event))
        elif event is not None:
            self.membership_changed(self.reported_times.membership(event))

    def _skip(self, event: UnreadableEvent) -> None:
        """Moves the index past an unreadable event. Requested again, it would arrive unreadable again and block the
        events that follow it."""
        self.last_index = max(self.last_index, event.index)
        self.engine.counters.events_unusable += 1
        self.engine.log("coordinator_event_unusable", "error", index=event.index, reason=event.reason)

    async def run(self) -> None:
        """Calls the coordinator repeatedly until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.catch_up.limit)
            trio.lowlevel.add_instrument(self.loop_pause)
            try:
                await self._follow_streams()
            finally:
                trio.lowlevel.remove_instrument(self.loop_pause)

    async def _follow_streams(self) -> None:
        while True:
            index_before = self.last_index
            with trio.CancelScope() as self._call_scope:
                try:
                    await self._follow(await self._next_stream())
                except CALL_ERRORS as error:
                    self.engine.log("coordinator_lost", "warning", reason=str(error) or type(error).__name__)
                if self.last_index != index_before:
                    self.backoff.reset()
                await trio.sleep(self.backoff.next())
            if self._call_scope.cancelled_caught:
                self.backoff.reset()  # the coordinator was changed, and the new one may work

    async def _next_stream(self) -> AnsweredCall:
        if self.address is None:
            await trio.sleep_forever()
        engine = self.engine
        return await CoordinatorCalls(engine.clock, self._call, self.backoff.next, engine.log).first_answered()

    async def _call(self) -> AnsweredCall:
        """Makes one call and waits until its answer begins. Raises one of CALL_ERRORS if it fails."""
        assert self.address is not None
        host, port = self.address
        clock = self.engine.clock
        began_us = clock.now()
        connection = None
        with trio.move_on_at(clock.monotonic_at(began_us + self.engine.settings.connect_timeout_us)):
            connection = await trio.open_tcp_stream(host, port)
        if connection is None:
            raise StreamError("no connection")
        try:
            events = EventStream(f"{host}:{port}", STREAM_PATH, self.last_index)
            await connection.send_all(events.start())
            items: list[StreamItem] = []
            while not events.has_begun:
                items = events.feed(bytes(await connection.receive_some(READ_BYTES)))
            return AnsweredCall(connection, events, items, clock.now() - began_us)
        except BaseException:
            await trio.aclose_forcefully(connection)
            raise

    async def _follow(self, call: AnsweredCall) -> None:
        """Applies the events of a stream until it ends. Raises one of CALL_ERRORS then."""
        self.engine.counters.coordinator_streams += 1
        self.engine.log("coordinator_stream_began", after_index=self.last_index, waited_ms=call.waited_us // 1000)
        self.catch_up.stream_began()
        self._stream = stream = StreamReader(call, self.engine.clock)
        try:
            async with call.connection:
                self._process(call.items)
                while True:
                    self._process(await self._receive(stream))
        finally:
            self._stream = None

    async def _receive(self, stream: StreamReader) -> list[StreamItem]:
        """What is received next. Raises one of CALL_ERRORS, also if the stream is silent."""
        if not self.catch_up.is_complete:
            items = await stream.receive_until(self.catch_up.delivered_at_us(stream.is_between_events))
            if items is not None:
                return items
            self.catch_up.delivered()
        while (silent_at_us := self._received_us + SILENCE_TIMEOUT_US) > self.engine.clock.now():
            items = await stream.receive_until(silent_at_us)
            if items is not None:
                return items
        raise StreamError("the stream is silent")

    def loop_paused(self, pause_us: int) -> None:
        """Applies what the coordinator has sent during a pause of the event loop, before anything else is done."""
        stream = self._stream
        if stream is None:
            return
        try:
            self._process(stream.receive_now())
        except StreamError:
            stream.is_ended = True  # raised again by the next read of the task that follows the stream
        if stream.is_ended and pause_us >= MAX_UNFOLLOWED_PAUSE_US:
            self.catch_up.begin(MAX_AFTER_PAUSE_US)

    def _process(self, items: list[StreamItem]) -> None:
        """Applies received events. Raises StreamError at the end of the stream."""
        self._received_us = self.engine.clock.now()
        for event in items:
            if isinstance(event, StreamEnd):
                raise StreamError("the stream has ended")
            if isinstance(event, UnreadableEvent):
                self._skip(event)
            else:
                self._apply(event)
        self.stream_received()
