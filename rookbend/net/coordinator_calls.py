"""Calls of the coordinator until one is answered.

A coordinator that is slow or crowded may take seconds to begin its answer, and one that hung never does; before the
answer they look the same. A call without an answer is therefore not ended when it takes long: the next one begins
beside it, as soon as after a call that failed, and the first that is answered is used. Of `MAX_UNANSWERED_CALLS` the
oldest is ended for the next one.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from rookbend.core.clock import Clock
from rookbend.protocol.coordinator_stream import StreamError
from rookbend.protocol.event_stream import EventStream, StreamItem

UNANSWERED_AFTER_US = 2_200_000  # as long as a stream may be silent
MAX_UNANSWERED_CALLS = 3  # together they wait for longer than the 7 s after which events count as delivered
CALL_ERRORS = OSError, StreamError, trio.BrokenResourceError


class AnsweredCall(NamedTuple):
    """A call that was answered by a stream, and the items received so far; its holder closes `connection`."""

    connection: trio.SocketStream
    events: EventStream
    items: list[StreamItem]
    waited_us: int  # from the call until the answer began


class CoordinatorCalls:
    """Calls one coordinator until a call is answered."""

    def __init__(
        self,
        clock: Clock,
        call: Callable[[], Awaitable[AnsweredCall]],
        next_pause_s: Callable[[], float],
        log: Callable[..., None],
    ) -> None:
        """`call` makes one call and raises one of CALL_ERRORS if it fails; `next_pause_s` is the pause after it."""
        self._clock = clock
        self._call = call
        self._next_pause_s = next_pause_s
        self._log = log
        self._unanswered: list[trio.CancelScope] = []
        self._answered: AnsweredCall | None = None
        self._wakeup = trio.Event()  # the latest call has failed, or one of them was answered

    async def first_answered(self) -> AnsweredCall:
        """Calls until an answer begins; the other calls are ended."""
        try:
            async with trio.open_nursery() as nursery:
                await self._call_repeatedly(nursery)
                nursery.cancel_scope.cancel()
        except BaseException:
            if self._answered is not None:
                await trio.aclose_forcefully(self._answered.connection)
            raise
        assert self._answered is not None  # or `_call_repeatedly` goes on
        return self._answered

    async def _call_repeatedly(self, nursery: trio.Nursery) -> None:
        while True:
            if len(self._unanswered) >= MAX_UNANSWERED_CALLS:
                self._unanswered.pop(0).cancel()
                self._log("coordinator_lost", "warning", reason="no answer")
            scope = trio.CancelScope()
            self._unanswered.append(scope)
            self._wakeup = trio.Event()
            nursery.start_soon(self._run_call, scope, self._wakeup)
            await self._wait(self._clock.now() + UNANSWERED_AFTER_US)
            if self._answered is None and scope in self._unanswered:
                self._log("coordinator_unanswered", "warning", calls=len(self._unanswered))
            self._wakeup = trio.Event()
            if self._answered is None:
                await self._wait(self._clock.now() + int(self._next_pause_s() * 1e6))
            if self._answered is not None:
                return

    async def _wait(self, until_us: int) -> None:
        with trio.move_on_at(self._clock.monotonic_at(until_us)):
            await self._wakeup.wait()

    async def _run_call(self, scope: trio.CancelScope, failed: trio.Event) -> None:
        try:
            with scope:
                answered = await self._call()
                if self._answered is None:
                    self._answered = answered
                    self._wakeup.set()
                else:  # two answers began at the same moment
                    await trio.aclose_forcefully(answered.connection)
        except CALL_ERRORS as error:
            self._log("coordinator_lost", "warning", reason=str(error) or type(error).__name__)
            failed.set()
        finally:
            if scope in self._unanswered:
                self._unanswered.remove(scope)
