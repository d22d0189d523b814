"""The state machine of one director's recovery: takes `(now, event)` and returns actions; does no I/O.

It only connects the other modules of this package. net/recovery.py runs it in the program; tests and benchmarks run it
in simulated time. Times are microseconds of the director's clock, which shows Unix time.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any

from rookbend.coordination.action_queue import ActionQueue
from rookbend.coordination.events import DatagramReceived, TimerExpired
from rookbend.protocol import gossip
from rookbend.recovery import events, state_validity
from rookbend.recovery.actions import Action
from rookbend.recovery.config import LocalIdentity, RecoveryConfig
from rookbend.recovery.director_orders import DirectorOrders
from rookbend.recovery.failure_classification import FailureClass, FailureClassifier
from rookbend.recovery.gossip_receiver import PEER_KIND, GossipReceiver
from rookbend.recovery.gossip_sender import GossipSender, LocalStatus
from rookbend.recovery.membership import MembershipFilter
from rookbend.recovery.missed_purges import MissedPurgeWindow
from rookbend.recovery.origin_ramp import OriginRamp
from rookbend.recovery.peer_rows import PeerRowIntake
from rookbend.recovery.peers import Peers, Phase
from rookbend.recovery.purge_replication import PurgeReplication
from rookbend.recovery.replicated_rows import DRAIN, ORDER, PURGE, ReplicatedState
from rookbend.recovery.startup_admission import HINT_KIND, ORIGIN_HINT_KEY, StartupAdmission
from rookbend.recovery.startup_stages import Stage
from rookbend.recovery.state_validity import PersistedRow

HEARTBEAT_US = 250_000
SERVING_HEARTBEAT_US = 1_000_000
JITTER_MIN, JITTER_SPAN = 0.85, 0.3
DATAGRAMS_PER_S = 20.0
DATAGRAM_BURST = 40


class RecoveryMachine:
    """`due_us` is when the next `TimerExpired` is due; `persisted` are the rows found on disk; `sequence` holds the
    present stage."""

    def __init__(
        self,
        config: RecoveryConfig,
        now: int,
        boot_number: int,
        incarnation: int,
        persisted: Sequence[PersistedRow] = (),
    ):
        self.config = config
        self.identity = LocalIdentity(
            config.number, gossip.fleet_number(config.fleet), boot_number, incarnation, began_us=now
        )
        self.due_us = now
        self.actions: ActionQueue[Action] = ActionQueue(DATAGRAMS_PER_S, DATAGRAM_BURST)
        self.rows = ReplicatedState()
        self.peers = Peers(config.number, config.director_count, config.seed, _known_boot_numbers(persisted))
        self.classifier = FailureClassifier(now)
        self.missed_purges = MissedPurgeWindow(now)
        self.ramp = OriginRamp(_initial_rate(config, persisted, now), config.full_origin_rate, now)
        self.membership = MembershipFilter(config, now, self.rows.drains, self.actions)
        self.purges = PurgeReplication(config.purge_propagation_us, self.rows.purges, self.actions)
        self.orders = DirectorOrders(self.identity, config.director_count, self.rows.orders, self.actions)
        self.admission = StartupAdmission(
            config, now, self.classifier, self.peers, self.ramp, self.membership, self.missed_purges, self.actions
        )
        self.sequence = self.admission.sequence
        self.sender = GossipSender(self.identity, self.peers, self.rows, self._local_status, self.actions)
        intake = PeerRowIntake(self.rows, self.peers, self.membership, self.purges, self.orders, self.missed_purges)
        self.receiver = GossipReceiver(
            self.identity,
            self.peers,
            self.sender,
            intake,
            self.missed_purges,
            self.ramp,
            self.admission,
            self.actions,
        )
        self._persisted = persisted
        self._random = random.Random(f"{config.seed} recovery {config.number}")

    @property
    def counts_origin_calls(self) -> bool:
        """Whether the ramp still needs the outcomes of origin calls: until it has ended and the stage is BACKGROUND."""
        return self.ramp.fleet_rate is not None or self.sequence.stage < Stage.BACKGROUND

    def begin(self, now: int) -> Sequence[Action]:
        """Restores the rows found on disk and returns the first actions. Called once, before any event."""
        bounds_us = {PURGE.name: self.purges.valid_us}
        for row in self._persisted:
            rows = self.rows.by_name.get(row.kind)
            if rows is None or not state_validity.is_valid(row.kind, row.stored_us, now, bounds_us.get(row.kind, 0)):
                continue
            if rows.put(row.key, row.value):
                self._restore(now, row)
        self._persisted = ()
        self.admission.update_limits(now)
        return self.actions.take()

    def _restore(self, now: int, row: PersistedRow) -> None:
        if row.kind == PURGE.name:
            self.purges.restore(row.key)
        elif row.kind == DRAIN.name:
            self.membership.restore_drain(row.key, state_validity.validity_start_us(row.stored_us, now))
        elif row.kind == ORDER.name:
            self.orders.apply(row.key)

    def feed(self, now: int, event: events.Event) -> Sequence[Action]:
        """Handles an event and returns the resulting actions."""
        _HANDLERS[type(event)](self, now, event)
        return self.actions.take()

    # Time

    def _timer_expired(self, now: int, event: TimerExpired) -> None:
        if now < self.due_us:
            return
        self.membership.release_expired_drains(now)
        self._classify(now)
        self.admission.advance(now)
        if self.config.gossip_enabled:
            self.sender.send_heartbeats(now)
        interval_us = SERVING_HEARTBEAT_US if self.admission.phase is Phase.SERVING else HEARTBEAT_US
        # Jitter keeps the heartbeats of directors that started together from staying in phase.
        self.due_us = now + int(interval_us * (JITTER_MIN + JITTER_SPAN * self._random.random()))

    def _classify(self, now: int) -> None:
        if not self.classifier.update(now, self.peers):
            return
        current = self.classifier.current
        level = "warning" if current is FailureClass.ISOLATED else "info"
        live = self.peers.live_count(now)
        self.actions.log("recovery_happened", level, happened=current.value, up=live, of=self.config.director_count)
        self.membership.set_caches_cold(current is not FailureClass.THIS_DIRECTOR)

    # The coordinator's stream

    def _membership_received(self, now: int, event: events.MembershipReceived) -> None:
        if event.change.complete:
            self.missed_purges.list_received()
        self.membership.receive(now, event.change)
        self.orders.apply_own()

    def _purge_received(self, now: int, event: events.PurgeReceived) -> None:
        self.purges.receive(event.purge)

    def _stream_active(self, now: int, event: events.StreamActive) -> None:
        if not self.missed_purges.covered:
            self.missed_purges.stream_active()
            self.admission.announce_coverage(now)

    # The origin

    def _origin_call_started(self, now: int, event: events.OriginCallStarted) -> None:
        self.ramp.call_started()

    def _origin_call_ended(self, now: int, event: events.OriginCallEnded) -> None:
        if self.counts_origin_calls:
            self.ramp.call_ended(now, event.succeeded, event.duration_us)

    # Operators

    def _order_requested(self, now: int, event: events.OrderRequested) -> None:
        self.orders.request(event.member, event.order, event.requested_by)

    def _order_persisted(self, now: int, event: events.OrderPersisted) -> None:
        self.orders.persisted(event.key, event.value)

    def _operator_command(self, now: int, event: events.OperatorCommand) -> None:
        if event.command is events.RecoveryCommand.SKIP:
            self.sequence.skip()
        else:
            self.sequence.held = event.command is events.RecoveryCommand.HOLD
        stage = self.sequence.stage.name.lower()
        self.actions.log("recovery_order", "warning", order=event.command.value, stage=stage)
        self.due_us = now
        self._timer_expired(now, TimerExpired())

    # The other directors

    def _datagram_received(self, now: int, event: DatagramReceived) -> None:
        hello_accepted = self.receiver.receive(now, event)
        if hello_accepted and self.classifier.current is FailureClass.UNDETERMINED:
            self._classify(now)
            if self.admission.only_this_director:
                self.admission.advance(now)  # no condition is left to wait for: don't wait for the next heartbeat

    def _local_status(self, now: int) -> LocalStatus:
        sample = self.ramp.own_sample(now)
        load = gossip.OriginLoad(
            rate_tenths=round(sample.fleet_rate * 10),
            calls=sample.calls,
            failures=sample.failures,
            slow_calls=sample.slow_calls,
            fastest_ms=sample.fastest_us // 1000,
        )
        return LocalStatus(
            self.admission.phase, self.sequence.stage, self.missed_purges.covered, self.membership.revision, load
        )


def _known_boot_numbers(persisted: Sequence[PersistedRow]) -> dict[int, int]:
    return {int(row.key): int.from_bytes(row.value, "big") for row in persisted if row.kind == PEER_KIND}


def _initial_rate(config: RecoveryConfig, persisted: Sequence[PersistedRow], now: int) -> float:
    """The rate of the settings, or half the rate the origin sustained before: it may be colder now."""
    rate = config.initial_origin_rate
    for row in persisted:
        is_hint = row.kind == HINT_KIND and row.key == ORIGIN_HINT_KEY
        if is_hint and state_validity.is_valid(row.kind, row.stored_us, now):
            sustained = int.from_bytes(row.value, "big")
            rate = min(max(rate, sustained / 2), config.full_origin_rate / 2)
    return rate


_HANDLERS: dict[type, Callable[[RecoveryMachine, int, Any], None]] = {
    TimerExpired: RecoveryMachine._timer_expired,
    DatagramReceived: RecoveryMachine._datagram_received,
    events.MembershipReceived: RecoveryMachine._membership_received,
    events.PurgeReceived: RecoveryMachine._purge_received,
    events.StreamActive: RecoveryMachine._stream_active,
    events.OriginCallStarted: RecoveryMachine._origin_call_started,
    events.OriginCallEnded: RecoveryMachine._origin_call_ended,
    events.OrderRequested: RecoveryMachine._order_requested,
    events.OrderPersisted: RecoveryMachine._order_persisted,
    events.OperatorCommand: RecoveryMachine._operator_command,
}
