"""The order log with its durable rows, and the effects of committed orders."""

from __future__ import annotations

from rookbend.coordination.action_queue import ActionQueue
from rookbend.core.decimal_text import is_decimal
from rookbend.leases.actions import Action, ApplyOrder
from rookbend.leases.leader_tasks import UnknownTaskError, parse_scope
from rookbend.leases.order_log import OrderLog
from rookbend.leases.rebalancing import ScopePlacement
from rookbend.leases.state import committed_row, delete_entry, entry_row
from rookbend.protocol.lease_messages import Entry
from rookbend.protocol.order_limits import SCOPE_PREFIX

PIN_PREFIX = "pin "  # of an order that targets a scope, such as `@checks/3`, instead of a member


class OrderStore:
    """Persists the log; applies orders on members as actions, and pins of scopes to `placement`."""

    def __init__(self, log: OrderLog, placement: ScopePlacement, actions: ActionQueue[Action]):
        self.log = log
        self._placement = placement
        self._actions = actions

    def save_entry(self, entry: Entry, awaited: bool = False) -> None:
        """Persists an entry; `awaited` asks for an event once it is durable."""
        self._actions.append(entry_row(entry, awaited))

    def save_committed(self) -> None:
        """Persists the number up to which entries are committed."""
        self._actions.append(committed_row(self.log.committed))

    def apply_committed(self) -> None:
        """Persists and applies newly committed entries, in order, and compacts the log."""
        for entry in self.log.take_unsaved():  # persisted before the committed number that covers them
            self.save_entry(entry)
        entries = self.log.take_unapplied()
        for entry in entries:
            self._apply(entry)
        if entries:
            self.save_committed()
        for number in self.log.compact():
            self._actions.append(delete_entry(number))

    def _apply(self, entry: Entry) -> None:
        if not entry.target:
            return  # an empty entry that fills a gap
        if entry.target.startswith(SCOPE_PREFIX):
            self._apply_pin(entry.target.removeprefix(SCOPE_PREFIX), entry.order)
        else:
            self._actions.append(ApplyOrder(entry.target, entry.order, entry.operator))

    def _apply_pin(self, name: str, order: str) -> None:
        try:
            scope = parse_scope(name)
        except UnknownTaskError:
            return
        director = order.removeprefix(PIN_PREFIX)
        if order.startswith(PIN_PREFIX) and is_decimal(director):
            self._placement.pin(scope, int(director))
        else:
            self._placement.unpin(scope)
