"""The driver of leases: feeds the state machine (leases/machine.py) what comes in, carries out its actions.

It uses recovery's live members, clock and orders to members, durable storage where there is one, and the health
registry. Whatever is sent under a lease is sent right behind a last check of it; work under a lease runs in a cancel
scope that ends with it.
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

POLL_INTERVAL_US = 250_000


def leased_tasks(context: ComponentContext) -> frozenset[str]:
    """The leader tasks that the settings ask for."""
    operators = context.operators
    wanted: Any = operators.ownership
    names = LEASED_TASK_NAMES
    if context.built.get("health") is None or not operators.checks:
        names -= {"checks"}
    if wanted.report_ledger is None and not wanted.report_file:
        names -= {"report"}
    # Raises UnknownTaskError where the table of leader tasks has no guard for the report.
    leader_task("report" if wanted.report_ledger is not None else "report-file")
    return names


def lease_config(context: ComponentContext) -> LeaseConfig:
    """What the settings say, for the state machine."""
    operators = context.operators
    wanted: Any = operators.ownership
    recovery: Any = operators.recovery
    router = context.engine.settings
    return LeaseConfig(
        director=router.router_index,
        director_count=router.router_count,
        fleet=operators.state.fleet if operators.state is not None else recovery.fleet,
        seed=int(context.config.seed, 16),
        voters=frozenset(wanted.voters or default_voters(router.router_count)),
        terms=LeaseTerms(wanted.lease_us, wanted.drift),
        tasks=leased_tasks(context),
        shards=wanted.shards,
        report_period_us=wanted.report_every_us,
    )


def persisted_rows(state: StateComponent | None) -> tuple[Row, ...]:
    """The state machine's rows found on disk; none without a disk."""
    if state is None:
        return ()
    return tuple((kind, key, row.value) for kind in ROW_KINDS for key, row in state.ledger.all(kind).items())


class LeaseComponent(MachineDriver[events.Event]):
    """One director's leases; `machine` is its state machine."""

    descriptors = 2  # the ledger
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
        wanted: Any = context.operators.ownership
        self._report_writer = ReportWriter(
            wanted.report_ledger, wanted.report_file, self.machine.leases, self.now, self.log, self.feed
        )
        self._nursery: trio.Nursery | None = None
        self._forward_datagram = context.engine.on_peer_message
        context.engine.on_peer_message = self._datagram_received
        self.recovery.on_boot_raised = lambda: self.feed(events.StaleStorageDetected())
        self.recovery.machine.admission.assigned_quota = self.machine.parts.ramp_allocator.share.ratio
        if "checks" in config.tasks:
            self.shard_checks.install()
        context.gauges.append(self.gauges)
        self.begin()

    def now(self) -> int:
        """Recovery's clock: µs from the Unix time of the start, on the monotonic clock."""
        return self.recovery.now()

    def gauges(self) -> dict[str, float]:
        """Figures for metrics."""
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
        """Scopes and their holders, for operators; see `LeaseMachine.describe`."""
        return {"director": self.context.config.name, **self.machine.describe(self.now(), without)}

    # Operators

    async def order(self, member: str, order: str, operator: str) -> str:
        """An order on a member for the whole fleet; empty once it is committed, or why not."""
        return await self._orders.order(member, order, operator)

    async def command(self, command: str, scope_name: str, director: int) -> tuple[int, str]:
        """A command on a scope; an HTTP status, and an error or empty. See `FleetOrders.command`."""
        return await self._orders.command(command, scope_name, director)

    # What comes in

    def _datagram_received(self, sender: int, data: bytes) -> bool:
        if not is_lease_datagram(data):
            return self._forward_datagram is not None and self._forward_datagram(sender, data)
        self.feed(DatagramReceived(sender, data))
        return True

    def row_persisted(self, row: PersistRow, durable: bool) -> None:
        """A grant or entry is durable; without a disk this voter is in quarantine after each start."""
        self.feed(events.RowPersisted(row.kind, row.key, durable))

    def reload(self, settings: Settings) -> None:
        """Other voters take effect; the rest of the section does not."""
        if settings.ownership is not None:
            voters = settings.ownership.voters or default_voters(self.machine.config.director_count)
            self.feed(events.VotersChanged(frozenset(voters)))

    def drain(self, by_us: int) -> None:
        """Hands over all leases."""
        self.feed(events.ShutdownRequested())

    # Actions

    def action_handlers(self) -> ActionHandlers:
        """What the state machine's own actions do to the director."""
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
        """Starts the timer task, and the one that polls recovery and health."""
        self._nursery = nursery
        super().start(nursery)
        nursery.start_soon(self._poll)

    def timer_handled(self) -> None:
        """A renewal moves the end of what runs under the lease."""
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
        """Recent calls by director while the fleet ramps up, else none."""
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
