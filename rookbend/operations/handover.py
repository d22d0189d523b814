"""The processes of one director during an upgrade, as seen by one of them: which of them accept connections, which one
ends, and this process's share of the director's limits.

To clients and members the processes are one director, so their shares must not add up to more than one. A process
therefore counts from its first message until the connection on which it was sent ends, and uncertainty only makes the
shares smaller.

    predecessor -- successor    the predecessor has passed its listeners on; the successor serves once it reports so
    A -- B -- C                 a second upgrade may begin while the first is ending: B is successor and predecessor
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class HandoverPhase(Enum):
    """The phase of an upgrade in which a process is."""

    ALONE = "alone"  # no other process of this director is known
    OFFERED = "offered"  # a successor has this process's listeners but does not serve yet
    SHARED = "shared"  # both serve
    LEAVING = "leaving"  # shutting down while the successor serves: no new connections are accepted


@dataclass(slots=True)
class ProcessHandover:
    """Each method handles one event. `successors` maps the number of a successor's connection to whether that successor
    serves."""

    has_predecessor: bool = False
    successors: dict[int, bool] = field(default_factory=dict)
    shutting_down: bool = False

    # Events

    def listeners_inherited(self) -> None:
        """A predecessor has passed on its listeners."""
        self.has_predecessor = True

    def predecessor_ended(self) -> None:
        """The predecessor has ended."""
        self.has_predecessor = False

    def listeners_requested(self, connection: int) -> None:
        """A successor has requested the listeners on this connection."""
        self.successors[connection] = False

    def successor_serving(self, connection: int) -> None:
        """The successor on this connection serves. Ignored if it never requested the listeners, or has ended."""
        if connection in self.successors:
            self.successors[connection] = True

    def successor_ended(self, connection: int) -> None:
        """The upgrade has failed, or the successor has ended: this process continues as before the upgrade."""
        self.successors.pop(connection, None)

    def shutdown_requested(self) -> None:
        """This process has been told to shut down."""
        self.shutting_down = True

    # State

    @property
    def phase(self) -> HandoverPhase:
        """The present phase of this process."""
        if self.taken_over:
            return HandoverPhase.LEAVING if self.shutting_down else HandoverPhase.SHARED
        if self.successors:
            return HandoverPhase.OFFERED
        return HandoverPhase.SHARED if self.has_predecessor else HandoverPhase.ALONE

    @property
    def taken_over(self) -> bool:
        """Whether a successor accepts connections, so that this process can stop accepting without losing any."""
        return any(self.successors.values())

    @property
    def active_processes(self) -> int:
        """The number of processes that may send requests, including this one; shared budgets are divided by it."""
        return 1 + self.has_predecessor + sum(self.successors.values())

    @property
    def processes(self) -> int:
        """The number of processes, serving or not, including this one; descriptors and memory are divided by it."""
        return 1 + self.has_predecessor + len(self.successors)
