"""The driver of leases: feeds events to the state machine (leases/machine.py) and carries out its actions.

It uses the recovery component's clock, live directors and orders on members, durable storage if there is one, and the
health registry. Everything sent under a lease is sent right after a last check that the lease is held; work under a
lease runs in a cancel scope that ends with the lease.
"""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any, cast

import trio

from rookbend.coordination.actions import PersistRow
from rookbend.coordination.events import DatagramReceived
from rookbend.leases import actions, events
from rookbend.leases.config import LeaseConfig
from rookbend.leases.leader_tasks import LEASED_TASK_NAMES, REPORT_SCOPE, leader_task
from rookbend.leases.lease import LeaseTerms
from rookbend.leases.machine import LeaseMachine
from rookbend.leases.state import ROW_KINDS, Row
from rookbend.net.component import ComponentContext
from rookbend.net.fleet_orders import FleetOrders
from rookbend.net.machine_driver import INCARNATION_BITS, ActionHandlers, MachineDriver
from rookbend.net.report_writer import ReportWriter
from rookbend.net.shard_checks import ShardChecks
from rookbend.protocol.leases import is_lease_datagram
from rookbend.recovery.actions import ApplyOrder
from rookbend.recovery.origin_ramp import SAMPLE_VALID_US
from rookbend.settings.sections import Settings, default_voters

if TYPE_CHECKING:
    from rookbend.net.recovery import RecoveryComponent
    from rookbend.net.state import StateComponent
    from rookbend.operations.handover import ProcessHandover

POLL_INTERVAL_US = 250_000


def leased_tasks(context: ComponentContext) -> frozenset[str]:
    """The leader tasks that the settings enable."""
    operators = context.operators
    ownership_settings: Any = operators.ownership
    names = LEASED_TASK_NAMES
    if context.built.get("health") is None or not operators.checks:
        names -= {"checks"}
    if ownership_settings.report_ledger is None and not ownership_settings.report_file:
        names -= {"report"}
    # Raises UnknownTaskError if the table of leader tasks has no entry, and so no guard, for this kind of report.
    leader_task("report" if ownership_settings.report_ledger is not None else "report-file")
    return names


def lease_config(context: ComponentContext) -> LeaseConfig:
    """The state machine's configuration, from the settings."""
    operators = context.operators
    ownership_settings: Any = operators.ownership
    recovery: Any = operators.recovery
    router = context.engine.settings
    return LeaseConfig(
        director=router.router_index,
        director_count=router.router_count,
        fleet=operators.state.fleet if operators.state is not None else recovery.fleet,
        seed=int(context.config.seed, 16),
        voters=frozenset(ownership_settings.voters or default_voters(router.router_count)),
        terms=LeaseTerms(ownership_settings.lease_us, ownership_settings.drift),
        tasks=leased_tasks(context),
        shards=ownership_settings.shards,
        report_period_us=ownership_settings.report_every_us,
    )


def persisted_rows(state: StateComponent | None) -> tuple[Row, ...]:
    """The state machine's rows stored on disk; none without a disk."""
    if state is None:
        return ()
    return tuple((kind, key, row.value) for kind in ROW_KINDS for key, row in state.ledger.all(kind).items())


class LeaseComponent(MachineDriver[events.Event]):
    """One director's leases; `machine` is its state machine."""

    descriptors = 2  # for writes of the report
    machine: LeaseMachine

    def __init__(self, context: ComponentContext):
        super().__init__(context)
        self.recovery = cast("RecoveryComponent", context.built["recovery"])
        config = lease_config(context)
        incarnation = secrets.randbits(INCARNATION_BITS) + 1
        self.machine = LeaseMachine(config, self.now(), incarnation, persisted_rows(self.state))
        check_names = [check.name for check in context.operators.checks]
        self.shard_checks = ShardChecks(context.built.get("health"), self.machine, check_names, self.now, self.feed)
        self._orders = FleetOrders(self.machine, self.now, self.feed)
        ownership_settings: Any = context.operators.ownership
        self._report_writer = ReportWriter(
            ownership_settings.report_ledger,
            ownership_settings.report_file,
            self.machine.leases,
            self.now,
            self.log,
            self.feed,
        )
        self._nursery: trio.Nursery | None = None
        self._has_predecessor = False
        self._forward_datagram = context.engine.on_peer_message
        context.engine.on_peer_message = self._datagram_received
        self.recovery.on_boot_raised = lambda: self.feed(events.StaleStorageDetected())
        self.recovery.machine.admission.assigned_quota = self.machine.parts.ramp_allocator.share.ratio
        if "checks" in config.tasks:
            self.shard_checks.install()
        context.gauges.append(self.gauges)
        self.begin()

    def now(self) -> int:
        """The recovery clock: µs, the Unix time of the start plus the time on the monotonic clock since then."""
        return self.recovery.now()

    def gauges(self) -> dict[str, float]:
        """Gauges for the metrics."""
        machine = self.machine
        candidacies = machine.leases.candidacies.values()
        return {
            "ownership_owned": len(machine.leases.held_scopes(self.now())),
            "ownership_changes": machine.parts.election.leases_acquired,
            "ownership_acts_turned_away": machine.parts.fenced.rejected,
            "ownership_datagrams_sent": machine.actions.sent,
            "ownership_datagrams_unreadable": machine.unusable_datagrams,
            "ownership_datagrams_silenced": machine.actions.suppressed,
            "ownership_ownerless": sum(candidacy.leaderless_since_us > 0 for candidacy in candidacies),
            "ownership_orders_stand": machine.parts.orders.log.committed,
        }

    def describe(self, without: int = -1) -> dict[str, object]:
        """Describes scopes and their holders for operators; see `LeaseMachine.describe`."""
        return {"director": self.context.config.name, **self.machine.describe(self.now(), without)}

    # Operators

    async def order(self, member: str, order: str, operator: str) -> str:
        """Requests an order on a member for the whole fleet; returns "" once it is committed, or why it is not."""
        return await self._orders.order(member, order, operator)

    async def command(self, command: str, scope_name: str, director: int) -> tuple[int, str]:
        """Carries out a command on a scope; see `FleetOrders.command`."""
        return await self._orders.command(command, scope_name, director)

    # Events

    def _datagram_received(self, sender: int, data: bytes) -> bool:
        if not is_lease_datagram(data):
            return self._forward_datagram is not None and self._forward_datagram(sender, data)
        self.feed(DatagramReceived(sender, data))
        return True

    def row_persisted(self, row: PersistRow, durable: bool) -> None:
        """Reports that a grant or an entry is durable; without a disk this voter is in quarantine after each start."""
        self.feed(events.RowPersisted(row.kind, row.key, durable))

    def reload(self, settings: Settings) -> None:
        """Applies changed voters; other changes in the section take no effect until a restart."""
        if settings.ownership is not None:
            voters = settings.ownership.voters or default_voters(self.machine.config.director_count)
            self.feed(events.VotersChanged(frozenset(voters)))

    def processes_changed(self, handover: ProcessHandover) -> None:
        """Passes this director's part on to a successor, or takes it over from a predecessor."""
        had_successor = self.has_successor
        super().processes_changed(handover)
        if self.has_successor != had_successor:
            self.feed(events.SuccessorChanged(self.has_successor))
        if handover.has_predecessor != self._has_predecessor:
            self._has_predecessor = handover.has_predecessor
            self.feed(events.PredecessorChanged(handover.has_predecessor))

    def drain(self, by_us: int) -> None:
        """Hands over all leases."""
        self.feed(events.ShutdownRequested())

    # Actions

    def action_handlers(self) -> ActionHandlers:
        """The handlers of the lease machine's own actions."""
        return {
            actions.LeaseAcquired: lambda action: None,
            actions.LeaseLost: self._lease_lost,
            actions.ApplyOrder: self._apply_order,
            actions.CompleteOrder: lambda action: self._orders.complete(action),
            actions.ApplyShardResults: lambda action: self.shard_checks.apply(action),
            actions.CollectCounters: self._collect_counters,
            actions.WriteReportLine: self._write_report_line,
        }

    def _lease_lost(self, action: actions.LeaseLost) -> None:
        if action.scope == REPORT_SCOPE:
            self._report_writer.cancel()

    def _apply_order(self, action: actions.ApplyOrder) -> None:
        self.recovery.apply_order(ApplyOrder(action.target, action.order, action.operator))

    def _collect_counters(self, _action: actions.CollectCounters) -> None:
        counters = self.context.counters
        self.feed(events.CountersCollected((counters.requests, counters.served, counters.refused, counters.failed)))

    def _write_report_line(self, action: actions.WriteReportLine) -> None:
        assert self._nursery is not None, "no lease is held before the start"
        self._nursery.start_soon(self._report_writer.write, action)

    # Tasks

    def start(self, nursery: trio.Nursery) -> None:
        """Starts the timer task, and the task that polls recovery and health."""
        self._nursery = nursery
        super().start(nursery)
        nursery.start_soon(self._poll)

    def timer_handled(self) -> None:
        """Extends the write in progress, as its lease may have been renewed."""
        self._report_writer.extend()

    async def _poll(self) -> None:
        while True:
            now_us = self.now()
            recovery = self.recovery.machine
            self.feed(events.LiveDirectorsChanged(recovery.peers.live_directors(now_us)))
            self.feed(events.OriginCallsReported(self._origin_calls(now_us)))
            self.shard_checks.collect()
            await trio.sleep(POLL_INTERVAL_US / 1e6)

    def _origin_calls(self, now_us: int) -> dict[int, int]:
        """Recent origin calls by director while the fleet ramps up, otherwise empty."""
        ramp = self.recovery.machine.ramp
        fresh = {
            director: sample
            for director, sample in ramp.peer_samples.items()
            if now_us - sample.at_us <= 2 * SAMPLE_VALID_US
        }
        if ramp.fleet_rate is None and not any(sample.fleet_rate for sample in fresh.values()):
            return {}
        calls = {director: sample.calls for director, sample in fresh.items()}
        return calls | {self.machine.config.director: len(ramp.completed)}
