"""One director of the recovery simulation: its recovery state machine, its disk, and the actions it has carried out."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from rookbend.coordination.actions import DeleteRow, PersistRow, WriteLogLine
from rookbend.core.model import Endpoint
from rookbend.recovery.actions import ApplyOrder, ForwardMembership, RaiseBootNumber, SetAdmissionLimits
from rookbend.recovery.config import TrafficClassCost
from rookbend.recovery.events import Event
from rookbend.recovery.machine import RecoveryMachine
from rookbend.recovery.state_validity import PersistedRow
from rookbend.state.ledger import Ledger

CLASSES = (TrafficClassCost(True, 8.0, 1.0), TrafficClassCost(False, 1.0, 1.0), TrafficClassCost(False, 2.0, 4.0))
DISK_BYTES = 1 << 20


def empty_disk() -> Ledger:
    """Returns a disk without rows."""
    return Ledger(DISK_BYTES)


@dataclass
class Node:
    """One director. `boot_number` is on its disk, `incarnations` are the (boot number, incarnation) pairs it announced.

    `members` and `orders` were forwarded to the director, `frozen_events` arrived while it was suspended, and `actions`
    counts actions by class name.
    """

    number: int
    disk: Ledger = field(default_factory=empty_disk)
    boot_number: int = 0
    machine: RecoveryMachine | None = None
    limits: SetAdmissionLimits | None = None
    tokens: float = 0.0
    tokens_us: int = 0
    incarnations: list[tuple[int, int]] = field(default_factory=list)
    members: dict[str, Endpoint] = field(default_factory=dict)
    orders: dict[str, str] = field(default_factory=dict)
    log_lines: list[WriteLogLine] = field(default_factory=list)
    frozen_events: list[Event] = field(default_factory=list)
    is_frozen: bool = False
    actions: Counter[str] = field(default_factory=Counter)

    @property
    def is_ready(self) -> bool:
        """Whether the director accepts requests of clients."""
        return self.machine is not None and self.limits is not None and self.limits.ready and not self.is_frozen

    def power_off(self) -> None:
        """Stops the director; it loses all state except its disk."""
        self.machine = None
        self.limits = None
        self.is_frozen = False
        self.frozen_events = []
        self.members = {}
        self.orders = {}

    def persisted_rows(self) -> tuple[PersistedRow, ...]:
        """Returns the rows on the director's disk."""
        return tuple(
            PersistedRow(kind, key, row.value, row.stored_us)
            for kind, rows in self.disk.rows.items()
            for key, row in rows.items()
        )

    def apply(self, now: int, action: object) -> None:
        """Carries out an action that affects only this director."""
        match action:
            case PersistRow(kind, key, value):
                self.disk.put(now, kind, key, value)
            case DeleteRow(kind, key):
                self.disk.drop(kind, key)
            case SetAdmissionLimits():
                self.limits = action
            case RaiseBootNumber(boot_number):
                assert self.machine is not None
                self.boot_number = boot_number
                self.incarnations.append((boot_number, self.machine.identity.incarnation))
            case ForwardMembership(change):
                if change.complete:
                    self.members = {}
                self.members.update({entry.name: entry for entry in change.endpoints})
            case ApplyOrder(member, order):
                self.orders[member] = order
            case WriteLogLine():
                self.log_lines.append(action)
