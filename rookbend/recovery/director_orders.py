"""Operators' orders for members: persisted before they take effect, and replicated to survive the loss of a disk."""

from __future__ import annotations

from rookbend.coordination.action_queue import ActionQueue
from rookbend.coordination.actions import PersistRow
from rookbend.core.decimal_text import is_decimal
from rookbend.recovery.actions import Action, ApplyOrder
from rookbend.recovery.config import LocalIdentity
from rookbend.recovery.replicated_rows import ORDER, OrderValue, ReplicatedRows, encode_value

BOOT_NUMBER_SHIFT = 24  # bits of the counter below the boot number in a sequence number


class MalformedOrderKeyError(ValueError):
    """A key that is not "NUMBER/MEMBER" with the number of a configured director."""

    def __init__(self, key: str):
        super().__init__(f"order key does not name a configured director and a member: {key!r}")
        self.key = key


class DirectorOrders:
    """The orders of this director and of all others."""

    def __init__(
        self,
        identity: LocalIdentity,
        director_count: int,
        rows: ReplicatedRows[OrderValue],
        actions: ActionQueue[Action],
    ):
        self._identity = identity
        self._director_count = director_count
        self._rows = rows
        self._actions = actions
        self._requested = 0

    def request(self, member: str, order: str, requested_by: str) -> None:
        """Requests that an order be persisted. It outranks all earlier orders of this director."""
        self._requested += 1
        sequence = (self._identity.boot_number << BOOT_NUMBER_SHIFT) + self._requested
        value = OrderValue(order, requested_by, sequence)
        self._actions.append(PersistRow(ORDER.name, self._key(member), encode_value(value), True))

    def persisted(self, key: str, data: bytes) -> None:
        """Stores a requested order that is durable now. Peers receive it only from here on: if the disk refused an
        order that a peer already held, the peer would replicate it back."""
        self._rows.put(key, data)

    def _key(self, member: str) -> str:
        return f"{self._identity.number}/{member}"

    def apply(self, key: str) -> None:
        """Applies a stored order if it belongs to this director."""
        owner, member = key.split("/", 1)
        value = self._rows.get(key)
        if owner == str(self._identity.number) and value is not None:
            self._actions.append(ApplyOrder(member, value.order, value.requested_by))

    def apply_own(self) -> None:
        """Applies all orders of this director again: their members may have been added since."""
        for key in [key for key in self._rows.rows if key.startswith(self._key(""))]:
            self.apply(key)

    def add_peers_order(self, key: str, data: bytes) -> None:
        """Persists an order received from a peer if it is newer, and applies it if it belongs to this director.
        Raises MalformedOrderKeyError."""
        owner, _, member = key.partition("/")
        if not is_decimal(owner) or int(owner) >= self._director_count or not member:
            raise MalformedOrderKeyError(key)
        if self._rows.put(key, data):
            self._actions.append(PersistRow(ORDER.name, key, data))
            self.apply(key)
