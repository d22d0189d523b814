"""Two processes of one director during an upgrade, seen by each of them: which takes connections, which ends, and which
part of the director's limits is this process's own.

Towards others both are one director. So nothing is guessed: a process counts from its first message until the end of
the connection on which it sent it, and what is uncertain makes the parts smaller, never larger.

    predecessor -- successor    the predecessor has given its listeners; the successor serves once it says so
    A -- B -- C                 a second upgrade may begin while the first is ending: B has both neighbours
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class HandoverPhase(Enum):
    """Where a process stands between its neighbours."""

    ALONE = "alone"  # no other process of this director is known
    OFFERED = "offered"  # a successor has our listeners and does not serve yet
    SHARED = "shared"  # both serve
    LEAVING = "leaving"  # shutting down while the successor serves: nothing new is taken


@dataclass(slots=True)
class ProcessHandover:
    """Fed by its methods, one an event. Successors are named by the number of their connection.

    `successors` says of each whether it serves.
    """

    has_predecessor: bool = False
    successors: dict[int, bool] = field(default_factory=dict)
    shutting_down: bool = False

    # Events

    def listeners_inherited(self) -> None:
        """A predecessor has given its listeners."""
        self.has_predecessor = True

    def predecessor_ended(self) -> None:
        """The predecessor has ended."""
        self.has_predecessor = False

    def listeners_requested(self, connection: int) -> None:
        """A successor has asked for the listeners, on this connection."""
        self.successors[connection] = False

    def successor_serving(self, connection: int) -> None:
        """The successor on this connection serves; one that never asked, or has ended, takes nothing over."""
        if connection in self.successors:
            self.successors[connection] = True

    def successor_ended(self, connection: int) -> None:
        """An upgrade that failed, or a successor that ended: this process goes on as if it had not been."""
        self.successors.pop(connection, None)

    def shutdown_requested(self) -> None:
        """This process is to end."""
        self.shutting_down = True

    # Questions

    @property
    def phase(self) -> HandoverPhase:
        """Where this process stands now."""
        if self.taken_over:
            return HandoverPhase.LEAVING if self.shutting_down else HandoverPhase.SHARED
        if self.successors:
            return HandoverPhase.OFFERED
        return HandoverPhase.SHARED if self.has_predecessor else HandoverPhase.ALONE

    @property
    def taken_over(self) -> bool:
        """Whether another process takes what comes: then this one may stop taking without a loss."""
        return any(self.successors.values())

    @property
    def active_processes(self) -> int:
        """How many may send, with this one: budgets that bind all of them are divided by it."""
        return 1 + self.has_predecessor + sum(self.successors.values())

    @property
    def processes(self) -> int:
        """How many there are, serving or not: descriptors and memory are divided by it."""
        return 1 + self.has_predecessor + len(self.successors)
