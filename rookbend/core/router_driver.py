"""Passes events to the router, and its actions to their handlers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from rookbend.core.clock import Clock
from rookbend.core.ports import RoutingPolicy
from rookbend.interface import Action, Event


class RouterDriver:
    """Passes events to the router one at a time. `handlers` maps each type of action to its handler."""

    __slots__ = ("_clock", "_events", "_is_running", "handlers", "now_us", "router")

    def __init__(self, router: RoutingPolicy, clock: Clock) -> None:
        self.handlers: dict[type[Action], Callable[[Any], None]] = {}
        self.now_us = 0  # the time of the event being handled
        self.router = router
        self._clock = clock
        self._events: deque[Event] = deque()
        self._is_running = False

    def post(self, event: Event) -> None:
        """Passes an event to the router. An event that an action causes waits until all actions are carried out."""
        events = self._events
        events.append(event)
        if self._is_running:
            return
        self._is_running = True
        try:
            # The clock is read once for an event and the events that its actions cause.
            now_us = self._clock.now()
            self.now_us = now_us
            handle = self.router.handle
            handlers = self.handlers
            while events:
                for action in handle(now_us, events.popleft()):
                    handlers[type(action)](action)
        finally:
            self._is_running = False

    def enqueue(self, event: Event) -> None:
        """Queues an event while an action is being carried out."""
        self._events.append(event)
