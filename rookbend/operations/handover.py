"""Two processes of one director, seen by each of them: who takes connections, who ends, and which part of
what the director may use is this process's own.

For the rules both are one director. So nothing here is guessed: a process counts as there from its first
word until the end of the connection on which it spoke, and what is uncertain makes the parts smaller,
never larger.

    elder ── younger      the elder has given its listeners; the younger serves once it says so
    A ── B ── C           a second upgrade may begin while the first is ending: B has both neighbours
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class HandoverPhase(Enum):
    """Where a process stands between its neighbours."""

    ALONE = "alone"  # no other process of this director is known
    OFFERED = "offered"  # a younger one has our listeners and does not serve yet
    SHARED = "shared"  # both serve
    LEAVING = "leaving"  # told to end, the younger serves: we take nothing new


@dataclass(slots=True)
class Handover:
    """`feed` by its methods, one an event; the rest are questions. Neighbours are named by their
    connection."""

    elder: bool = False
    younger: dict[int, bool] = field(default_factory=dict)  # by connection: whether it serves
    leaving: bool = False

    # Events

    def inherited(self) -> None:
        """An elder process has given its listeners."""
        self.elder = True

    def elder_gone(self) -> None:
        """The elder has ended."""
        self.elder = False

    def asked(self, link: int) -> None:
        """A younger process has asked for the listeners, on this connection."""
        self.younger[link] = False

    def serves(self, link: int) -> None:
        """The younger process on this connection serves."""
        # A process that never asked, or whose connection has ended, can't serve in our place.
        if link in self.younger:
            self.younger[link] = True

    def younger_gone(self, link: int) -> None:
        """An upgrade that failed, or a younger process that ended: we go on as if it had not been."""
        self.younger.pop(link, None)

    def told_to_leave(self) -> None:
        """This process is to end."""
        self.leaving = True

    # Questions

    @property
    def phase(self) -> HandoverPhase:
        """Where this process stands now."""
        if not any(self.younger.values()):
            return (
                HandoverPhase.OFFERED if self.younger else HandoverPhase.SHARED if self.elder else HandoverPhase.ALONE
            )
        return HandoverPhase.LEAVING if self.leaving else HandoverPhase.SHARED

    @property
    def taken_over(self) -> bool:
        """Whether another process takes what comes: then this one may stop taking without a loss."""
        return any(self.younger.values())

    @property
    def senders(self) -> int:
        """How many may send, this one with them: what binds all together (cold members) is shared so."""
        return 1 + self.elder + sum(self.younger.values())

    @property
    def processes(self) -> int:
        """How many there are, serving or not: descriptors and memory are shared so."""
        return 1 + self.elder + len(self.younger)
