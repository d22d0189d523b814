"""The driver of recovery: feeds events to the state machine (recovery/machine.py) and carries out its actions.

The machine's clock is monotonic from the Unix time of the start, so that a stepped system clock changes no age.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from typing import Any

import trio

from rookbend.coordination.actions import PersistRow
from rookbend.coordination.events import DatagramReceived
from rookbend.core.model import Attempt, AttemptResult, MembershipChange, Purge
from rookbend.interface import AttemptDetail, AttemptStatus
from rookbend.net.component import ComponentContext
from rookbend.net.machine_driver import INCARNATION_BITS, ActionHandlers, MachineDriver
from rookbend.net.recovery_setup import persisted_rows, recovery_config
from rookbend.protocol.gossip import is_gossip_datagram
from rookbend.recovery.actions import (
    ApplyOrder,
    ApplyPurge,
    ForwardMembership,
    RaiseBootNumber,
    SetAdmissionLimits,
)
from rookbend.recovery.events import (
    Event,
    MembershipReceived,
    OperatorCommand,
    OrderPersisted,
    OrderRequested,
    OriginCallEnded,
    OriginCallStarted,
    PurgeReceived,
    RecoveryCommand,
    StreamActive,
)
from rookbend.recovery.machine import RecoveryMachine
from rookbend.recovery.status import fleet_status, recovery_status

ORIGIN_FAILURE_DETAILS = frozenset(
    (AttemptDetail.SOURCE_REFUSED, AttemptDetail.SOURCE_UNREACHABLE, AttemptDetail.ORIGIN_FAILED)
)
NO_FAILURE_STATUSES = frozenset((AttemptStatus.OK, AttemptStatus.CANCELLED, AttemptStatus.MOOT, AttemptStatus.MISS))
COPY_DETAILS = frozenset((AttemptDetail.HIT, AttemptDetail.STALE))


class PendingOrder:
    """An order that is being written to the disk; `durable` is the outcome, valid once `ended` is set."""

    def __init__(self) -> None:
        self.ended = trio.Event()
        self.durable = False


class RecoveryComponent(MachineDriver[Event]):
    """`limits` are the admission limits in force. `on_boot_raised` is called when a peer knows a later incarnation of
    this director than its disk does."""

    machine: RecoveryMachine

    def __init__(self, context: ComponentContext):
        super().__init__(context)
        self.health: Any = context.built.get("health")
        self._monotonic_us = context.clock.monotonic_us
        self._offset_us = context.clock.now() - self._monotonic_us()
        boot_number = self.state.boot_number if self.state is not None else 1
        self.config = recovery_config(context)
        incarnation = secrets.randbits(INCARNATION_BITS) + 1
        self.machine = RecoveryMachine(self.config, self.now(), boot_number, incarnation, persisted_rows(self.state))
        self.limits: SetAdmissionLimits | None = None
        self.on_boot_raised: Callable[[], None] = lambda: None
        self._orders_to_apply: dict[str, ApplyOrder] = {}  # by member, until it is in the membership
        self._pending_orders: dict[str, PendingOrder] = {}
        self._forward_membership = context.watch.membership_changed
        context.may_report_ready = lambda: self.limits is not None and self.limits.ready
        context.watch.membership_changed = self._membership_received
        context.watch.purged = self._purge_received
        context.watch.stream_received = lambda: self.feed(StreamActive())
        context.engine.attempts.on_attempt = self._attempt_changed
        context.engine.on_peer_message = self._datagram_received
        context.gauges.append(self.gauges)
        self.begin()

    def now(self) -> int:
        """Microseconds: the Unix time of the start plus the time on the monotonic clock since then."""
        return self._monotonic_us() + self._offset_us

    def gauges(self) -> dict[str, float]:
        """Gauges for the metrics."""
        machine = self.machine
        return {
            "recovery_stage": int(machine.sequence.stage),
            "recovery_up": machine.peers.live_count(self.now()),
            "recovery_gap_open": not machine.missed_purges.covered,
            "recovery_datagrams_sent": self.datagrams_sent,
            "recovery_datagrams_unreadable": machine.receiver.unreadable,
            "recovery_datagrams_silenced": machine.actions.suppressed,
            "recovery_peers_doubted": sum(peer.rejection is not None for peer in machine.peers.rows.values()),
            "recovery_origin_halved": machine.ramp.halvings,
        }

    # Events

    def _membership_received(self, change: MembershipChange) -> None:
        self.feed(MembershipReceived(change))

    def _purge_received(self, purge: Purge) -> None:
        self.engine.purged(purge)
        self.feed(PurgeReceived(purge))

    def _datagram_received(self, sender: int, data: bytes) -> bool:
        """Takes a datagram of recovery; returns False for one of another protocol."""
        if not is_gossip_datagram(data):
            return False
        self.feed(DatagramReceived(sender, data))
        return True

    def _attempt_changed(self, attempt: Attempt, result: AttemptResult | None) -> None:
        """Counts attempts that may reach the origin: direct ones, and fills from the origin or a parent."""
        if not self.machine.counts_origin_calls:
            return
        endpoint = self.engine.endpoints.get(attempt.server)
        upper_tiers = (self.config.parent_kind, self.config.origin_kind)
        direct = endpoint is not None and endpoint.member.kind in upper_tiers
        if not direct and not attempt.source:
            return
        if result is None:
            self.feed(OriginCallStarted())
            return
        duration_us = self.context.clock.now() - attempt.sent_us
        if result.status is AttemptStatus.OK and result.detail not in COPY_DETAILS:
            self.feed(OriginCallEnded(True, duration_us))
        elif result.detail in ORIGIN_FAILURE_DETAILS or (direct and result.status not in NO_FAILURE_STATUSES):
            self.feed(OriginCallEnded(False, duration_us))

    # Actions

    def action_handlers(self) -> ActionHandlers:
        """The handlers of the recovery machine's own actions."""
        return {
            ForwardMembership: self._apply_membership,
            ApplyOrder: self.apply_order,
            ApplyPurge: self._apply_purge,
            SetAdmissionLimits: self._set_limits,
            RaiseBootNumber: self._raise_boot_number,
        }

    def _apply_purge(self, action: ApplyPurge) -> None:
        self.engine.purged(action.purge)

    def apply_order(self, action: ApplyOrder) -> None:
        """Applies an order to a member, at once or when the member is added. An order from a peer or a disk that this
        version does not know is logged and ignored."""
        from rookbend.health.model import Order

        if action.order not in {order.value for order in Order}:
            self.log("order_unknown", "warning", member=action.member, order=action.order, by=action.requested_by)
            return
        self._orders_to_apply[action.member] = action
        self._apply_pending_order(action.member)

    def _apply_pending_order(self, member: str) -> None:
        from rookbend.health.events import OrderReceived
        from rookbend.health.model import Order

        server = self.health.service.find(member) if self.health is not None else None
        if server is not None:
            action = self._orders_to_apply.pop(member)
            self.health.service.feed(OrderReceived(server, Order(action.order), action.requested_by))

    def _apply_membership(self, action: ForwardMembership) -> None:
        self._forward_membership(action.change)
        for member in list(self._orders_to_apply):
            self._apply_pending_order(member)

    def _set_limits(self, action: SetAdmissionLimits) -> None:
        self.limits = action
        # The engine's clock may have moved forward relative to this one, so the time is converted by its age.
        age_us = self.now() - action.oldest_copy_us
        self.engine.attempts.oldest_copy_us = action.oldest_copy_us and self.context.clock.now() - age_us
        self.engine.set_admission_limits(action.closed_classes, action.origin_rate)

    def _raise_boot_number(self, action: RaiseBootNumber) -> None:
        if self.state is not None:
            self.state.raise_boot_number(action.boot_number)
        self.on_boot_raised()

    # Operators

    def row_persisted(self, row: PersistRow, durable: bool) -> None:
        """An order is durable, or the disk refused it; without a disk it lasts while any director of the fleet runs."""
        if durable:
            self.feed(OrderPersisted(row.key, row.value))
        pending = self._pending_orders.pop(row.key, None)
        if pending is not None:
            pending.durable = durable
            pending.ended.set()

    async def order(self, member: str, order: str, by: str) -> str:
        """Requests an order that outlives the director; returns "" once it is durable, or why it is not."""
        key = f"{self.config.number}/{member}"
        while key in self._pending_orders:
            await self._pending_orders[key].ended.wait()
        pending = PendingOrder()
        self._pending_orders[key] = pending
        self.feed(OrderRequested(member, order, by))
        await pending.ended.wait()
        if pending.durable:
            return ""
        fault = self.state.ledger.fault if self.state is not None else ""
        return f"not durable: {fault or 'the disk refused the write'}"

    def command(self, command_name: str) -> None:
        """Carries out an operator's command: hold, resume or skip."""
        self.feed(OperatorCommand(RecoveryCommand(command_name)))

    def fleet(self) -> dict[str, Any]:
        """The fleet as known to this director, for `rookbend fleet`."""
        return {"director": self.context.config.name, **fleet_status(self.machine, self.now())}

    def explain(self) -> dict[str, Any]:
        """The reasons why this director is in its stage, for `rookbend recovery`."""
        return {"director": self.context.config.name, **recovery_status(self.machine, self.now())}

    # The timer

    def timer_handled(self) -> None:
        """Sets the origin rate again: requests in the router's fill queue start only on an event."""
        if self.limits is not None and self.limits.origin_rate is not None:
            self.engine.set_admission_limits(self.limits.closed_classes, self.limits.origin_rate)

    def timer_deadline(self) -> float:
        """The machine's due time on the director's clock, never in the past."""
        clock = self.context.clock
        wait_us = max(0, self.machine.due_us - self.now())
        return clock.monotonic_at(clock.now() + wait_us)
