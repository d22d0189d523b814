"""The limits on admission while a director returns to service.

Combines the startup sequence, the opening of read classes, the origin ramp and the missed purges into one set of
limits for the router.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from rookbend.coordination.action_queue import ActionQueue
from rookbend.coordination.actions import PersistRow
from rookbend.recovery.actions import Action, SetAdmissionLimits
from rookbend.recovery.config import RecoveryConfig, TrafficClassCost
from rookbend.recovery.failure_classification import FailureClass, FailureClassifier
from rookbend.recovery.membership import MembershipFilter
from rookbend.recovery.missed_purges import MissedPurgeWindow
from rookbend.recovery.origin_ramp import OriginRamp
from rookbend.recovery.peers import Peers, Phase
from rookbend.recovery.startup_stages import Stage, StartupConditions, StartupSequence

READ_CLASS_INTERVAL_US = 300_000
HINT_KIND, ORIGIN_HINT_KEY, HINT_BYTES = "hint", "origin", 4
LIVENESS_KNOWN_CLASSES = frozenset((FailureClass.THIS_DIRECTOR, FailureClass.PART_OF_FLEET, FailureClass.WHOLE_FLEET))


class ReadClassOpening:
    """Opens the read classes one by one, in descending order of priority weight per cost."""

    def __init__(self, classes: Sequence[TrafficClassCost], began_us: int):
        reads = [index for index, traffic_class in enumerate(classes) if not traffic_class.is_write]
        self._order = sorted(reads, key=lambda i: -classes[i].priority_weight / max(classes[i].cost, 1e-9))
        self._open = 0
        self._changed_us = began_us

    @property
    def open_ratio(self) -> float:
        """Ratio of open read classes."""
        return self._open / len(self._order) if self._order else 1.0

    @property
    def all_open(self) -> bool:
        """Whether all read classes are open."""
        return self._open >= len(self._order)

    def is_due(self, now: int) -> bool:
        """Whether `READ_CLASS_INTERVAL_US` have passed since the last change."""
        return now - self._changed_us >= READ_CLASS_INTERVAL_US

    def open_next(self, now: int) -> None:
        """Opens one more read class."""
        self._open += 1
        self._changed_us = now

    def open_all(self, now: int) -> None:
        """Opens all read classes."""
        self._open = len(self._order)
        self._changed_us = now

    def close_all(self, now: int) -> None:
        """Closes all read classes."""
        self._open = 0
        self._changed_us = now

    def closed_in(self, stage: Stage) -> frozenset[int]:
        """The read classes that are rejected in `stage`, which is READS or an earlier one."""
        return frozenset(self._order[self._open if stage is Stage.READS else 0 :])


class StartupAdmission:
    """`assigned_quota(now)` returns the quota that the leader of the ramp assigned, None while there is none. `limits`
    are the last ones set."""

    def __init__(
        self,
        config: RecoveryConfig,
        began_us: int,
        classifier: FailureClassifier,
        peers: Peers,
        ramp: OriginRamp,
        membership: MembershipFilter,
        missed_purges: MissedPurgeWindow,
        actions: ActionQueue[Action],
    ):
        self.sequence = StartupSequence(config.plan, began_us)
        self.limits: SetAdmissionLimits | None = None
        self.assigned_quota: Callable[[int], float | None] = lambda now: None
        self._read_classes = ReadClassOpening(config.classes, began_us)
        self._config = config
        self._began_us = began_us
        self._classifier = classifier
        self._peers = peers
        self._ramp = ramp
        self._membership = membership
        self._missed_purges = missed_purges
        self._actions = actions
        self._coverage_announced = False

    @property
    def phase(self) -> Phase:
        """The phase that this director reports to its peers."""
        if self.sequence.stage is Stage.LISTENING:
            return Phase.DARK
        return Phase.RECOVERING if self.sequence.stage < Stage.BACKGROUND else Phase.SERVING

    @property
    def only_this_director(self) -> bool:
        """Whether the fleet was up during this director's outage."""
        return self._classifier.current is FailureClass.THIS_DIRECTOR

    # Progress

    def advance(self, now: int) -> None:
        """Advances the ramp, the read classes and the stage, and sets the resulting limits."""
        self._advance_ramp(now)
        for _ in Stage:  # if only this director restarted, it passes several stages in one call
            self._open_read_classes(now)
            stage_before = self.sequence.stage
            if not self.sequence.update(now, self.conditions(now)):
                break
            self._stage_changed(now, stage_before)
        self.update_limits(now)

    def _advance_ramp(self, now: int) -> None:
        if self.only_this_director and self._ramp.fleet_rate is not None:
            self._ramp.remove_limit()
        rate_before = self._ramp.fleet_rate
        if self.sequence.stage >= Stage.READS:
            self._ramp.update(now, self.quota(now))
        if rate_before is not None and self._ramp.fleet_rate is None and not self.only_this_director:
            data = int(rate_before).to_bytes(HINT_BYTES, "big")
            self._actions.append(PersistRow(HINT_KIND, ORIGIN_HINT_KEY, data))
            self._actions.log("recovery_ramp_ended", rate=round(rate_before, 1), halved=self._ramp.halvings)

    def _open_read_classes(self, now: int) -> None:
        if self.sequence.stage is not Stage.READS or self._read_classes.all_open:
            return
        is_due = self._read_classes.is_due(now) and not self._ramp.is_origin_failing(now)
        if self.only_this_director:
            self._read_classes.open_all(now)
        elif is_due:
            self._read_classes.open_next(now)

    def _stage_changed(self, now: int, before: Stage) -> None:
        stage = self.sequence.stage
        missing = self.sequence.entered_without
        if stage < before:
            self._read_classes.close_all(now)
        self._actions.log(
            "recovery_stage",
            "info" if stage > before else "warning",
            stage=stage.name.lower(),
            after_ms=(now - self._began_us) // 1000,
            happened=self._classifier.current.value,
            **({"without": missing[-1]} if missing else {}),
        )
        missing.clear()

    def announce_coverage(self, now: int) -> None:
        """Logs once that the missed purges are covered, and lifts the limit on the age of copies."""
        if self._missed_purges.covered and not self._coverage_announced:
            self._coverage_announced = True
            after_ms = (now - self._began_us) // 1000
            self._actions.log("recovery_gap_covered", by=self._missed_purges.covered_by, after_ms=after_ms)
            self.update_limits(now)

    # Quota, conditions and limits

    def quota(self, now: int) -> float:
        """This director's share of the fleet's rate towards the origin."""
        assigned = self.assigned_quota(now)
        if assigned is not None:
            return assigned
        is_live_count_known = self._classifier.current in LIVENESS_KNOWN_CLASSES
        return self._ramp.quota(self._peers.live_count(now), self._config.director_count, is_live_count_known)

    def conditions(self, now: int) -> StartupConditions:
        """The present state of the conditions of the stages."""
        active = self._peers.active(now)
        serving = sum(peer.stage >= Stage.FILLS for peer in active)
        return StartupConditions(
            failure_class=self._classifier.current,
            has_origin=self._membership.has_ready_origin(),
            has_caches=self._membership.has_ready_cache(),
            live_ratio=self._peers.live_count(now) / max(1, self._config.director_count),
            origin_failure_ratio=self._ramp.failure_ratio(now),
            open_class_ratio=self._read_classes.open_ratio,
            unlimited=self._ramp.fleet_rate is None,
            purges_covered=self._missed_purges.covered,
            serving_peers_ratio=serving / len(active) if active else 1.0,
        )

    def update_limits(self, now: int) -> None:
        """Sets the limits if they have changed."""
        stage = self.sequence.stage
        closed: frozenset[int] = frozenset()
        if stage is Stage.LISTENING:
            closed = frozenset(range(len(self._config.classes)))
        elif stage <= Stage.READS:
            closed = self._read_classes.closed_in(stage)
        fleet_rate = self._ramp.fleet_rate
        rate = None if fleet_rate is None else fleet_rate * self.quota(now)
        limits = SetAdmissionLimits(stage is not Stage.LISTENING, closed, rate, self._missed_purges.oldest_copy_us)
        if limits != self.limits:
            self.limits = limits
            self._actions.append(limits)
