"""Feeds events to the router and has its actions carried out."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from rookbend.core.clock import Clock
from rookbend.core.ports import RoutingPolicy
from rookbend.interface import Action, Event


class RouterDriver:
    """The router takes one event at a time. `handlers` names who carries out each type of action."""

    __slots__ = ("_clock", "_events", "_is_running", "_router", "handlers", "now_us")

    def __init__(self, router: RoutingPolicy, clock: Clock) -> None:
        self.handlers: dict[type[Action], Callable[[Any], None]] = {}
        self.now_us = 0  # the time of the event that is handled
        self._router = router
        self._clock = clock
        self._events: deque[Event] = deque()
        self._is_running = False

    def post(self, event: Event) -> None:
        """Feeds an event to the router. One that an action causes waits until all actions are carried out."""
        events = self._events
        events.append(event)
        if self._is_running:
            return
        self._is_running = True
        try:
            # One reading of the clock for an event and all that it causes at once.
            now_us = self._clock.now()
            self.now_us = now_us
            handle = self._router.handle
            handlers = self.handlers
            while events:
                for action in handle(now_us, events.popleft()):
                    handlers[type(action)](action)
        finally:
            self._is_running = False

    def enqueue(self, event: Event) -> None:
        """Adds an event while an action is carried out."""
        self._events.append(event)
