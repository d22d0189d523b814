"""Runs a state machine (recovery, leases): feeds its events, carries out its actions and keeps its timer.

The machine itself does no I/O. It is fed `(now_us, event)` and returns actions, each an instance of its own class; the
driver carries them out in order, using a table from class to method.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any, Generic, Protocol, TypeVar

import trio

from rookbend.coordination.actions import DeleteRow, PersistRow, SendDatagram, WriteLogLine
from rookbend.coordination.events import TimerExpired
from rookbend.net.component import Component, ComponentContext

if TYPE_CHECKING:
    from rookbend.net.state import StateComponent

INCARNATION_BITS = 40

EventT = TypeVar("EventT")
EventT_contra = TypeVar("EventT_contra", contravariant=True)
ActionHandlers = dict[type, Callable[[Any], None]]


class StateMachine(Protocol[EventT_contra]):
    """What a driver uses of its machine. `due_us`: when the machine needs the next `TimerExpired`."""

    due_us: int

    def begin(self, now: int) -> Sequence[object]:
        """Returns the actions of the start; called once, before any event."""

    def feed(self, now: int, event: EventT_contra) -> Sequence[object]:
        """Returns the actions in response to an event."""


class MachineDriver(Component, Generic[EventT]):
    """Base class of the drivers.

    A subclass sets `machine` and calls `begin` once it is complete, adds its own actions in `action_handlers`, and
    overrides the hooks `now`, `row_persisted`, `timer_handled` and `timer_deadline` as needed. `datagrams_sent` counts
    the datagrams passed to the socket.
    """

    machine: StateMachine[EventT | TimerExpired]

    def __init__(self, context: ComponentContext):
        self.context = context
        self.engine = context.engine
        self.log = context.log
        self.state: StateComponent | None = context.built.get("state")
        self.datagrams_sent = 0
        self._due_earlier = trio.Event()
        self._handlers: ActionHandlers = {
            SendDatagram: self._send_datagram,
            PersistRow: self._persist_row,
            DeleteRow: self._delete_row,
            WriteLogLine: self._write_log_line,
            **self.action_handlers(),
        }

    # Hooks for subclasses

    def now(self) -> int:
        """The machine's clock, in microseconds."""
        raise NotImplementedError

    def action_handlers(self) -> ActionHandlers:
        """The methods that carry out the machine's own actions, by the action's class."""
        return {}

    def row_persisted(self, row: PersistRow, durable: bool) -> None:
        """Called when an awaited row is durable or the disk refused it. Without a disk it counts as durable at once."""

    def timer_handled(self) -> None:
        """Called by the timer task after each `TimerExpired`, before it sleeps."""

    def timer_deadline(self) -> float:
        """The time on trio's clock, in seconds, at which the machine is due."""
        return trio.current_time() + (self.machine.due_us - self.now()) / 1e6

    # Events and actions

    def begin(self) -> None:
        """Carries out the machine's first actions."""
        self._carry_out(self.machine.begin(self.now()))

    def feed(self, event: EventT | TimerExpired) -> None:
        """Feeds an event; wakes the timer task if the machine is now due earlier."""
        due_us = self.machine.due_us
        self._carry_out(self.machine.feed(self.now(), event))
        if self.machine.due_us < due_us:
            self._due_earlier.set()

    def _carry_out(self, actions: Sequence[object]) -> None:
        for action in actions:
            self._handlers[type(action)](action)

    def _send_datagram(self, action: SendDatagram) -> None:
        if self.engine.peers is not None:
            self.datagrams_sent += 1
            self.engine.peers.send(action.peer, action.data)

    def _persist_row(self, row: PersistRow) -> None:
        def done(durable: bool) -> None:
            self.row_persisted(row, durable)

        if self.state is not None:
            self.state.put(row.kind, row.key, row.value, done if row.awaited else None)
        elif row.awaited:
            done(True)

    def _delete_row(self, row: DeleteRow) -> None:
        if self.state is not None:
            self.state.drop(row.kind, row.key)

    def _write_log_line(self, line: WriteLogLine) -> None:
        self.log(line.event, line.level, **line.fields)

    # The timer

    def start(self, nursery: trio.Nursery) -> None:
        """Starts the timer task."""
        nursery.start_soon(self._run_timer)

    async def _run_timer(self) -> None:
        while True:
            # Renewed before the event is fed: `feed` may set it, and renewing it afterwards would lose that wake-up.
            self._due_earlier = trio.Event()
            self.feed(TimerExpired())
            self.timer_handled()
            with trio.move_on_at(self.timer_deadline()):
                await self._due_earlier.wait()
