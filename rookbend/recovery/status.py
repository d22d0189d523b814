"""The status of recovery for operators, as JSON fields (`rookbend fleet`, `rookbend recovery`)."""

from __future__ import annotations

from typing import Any

from rookbend.recovery.machine import RecoveryMachine
from rookbend.recovery.peers import Peer
from rookbend.recovery.startup_stages import Stage


def fleet_status(machine: RecoveryMachine, now: int) -> dict[str, Any]:
    """The state of this director and of its peers; ages are in milliseconds."""
    identity = machine.identity
    directors = [_own_row(machine, now)]
    directors += [_peer_row(peer, now) for peer in machine.peers.rows.values()]
    return {
        "directors": sorted(directors, key=lambda row: int(row["number"])),
        "me": identity.number,
        "happened": machine.classifier.current.value,
        "up": machine.peers.live_count(now),
    }


def _own_row(machine: RecoveryMachine, now: int) -> dict[str, Any]:
    identity = machine.identity
    return {
        "number": identity.number,
        "boot": identity.boot_number,
        "phase": machine.admission.phase.name.lower(),
        "stage": machine.sequence.stage.name.lower(),
        "age_ms": (now - identity.began_us) // 1000,
        "heard_ms": 0,
        "missing": machine.sequence.waits_for,
        "doubted": "",
    }


def _peer_row(peer: Peer, now: int) -> dict[str, Any]:
    received = peer.last_received_us > 0
    return {
        "number": peer.number,
        "boot": peer.boot_number,
        "phase": peer.phase.name.lower() if received else "unheard",
        "stage": Stage(min(peer.stage, Stage.SERVING)).name.lower() if received else "",
        "age_ms": (now - peer.began_us) // 1000 if received else None,
        "heard_ms": (now - peer.last_received_us) // 1000 if received else None,
        "missing": "",
        "doubted": peer.rejection.value if peer.rejection is not None else "",
    }


def recovery_status(machine: RecoveryMachine, now: int) -> dict[str, Any]:
    """The stage of this director, what it waits for, and the values behind both; ages are in milliseconds."""
    conditions = machine.admission.conditions(now)
    sequence = machine.sequence
    fleet_rate = machine.ramp.fleet_rate
    limits = machine.admission.limits
    return {
        "stage": sequence.stage.name.lower(),
        "for_ms": (now - sequence.entered_us) // 1000,
        "waits_for": sequence.waits_for,
        "held": sequence.held,
        "happened": conditions.failure_class.value,
        "up_share": round(conditions.live_ratio, 3),
        "origin_bad": round(conditions.origin_failure_ratio, 3),
        "gap": machine.missed_purges.covered_by or "open",
        "fleet_rate": None if fleet_rate is None else round(fleet_rate, 2),
        "our_rate": limits.origin_rate if limits else None,
        "closed": sorted(limits.closed_classes) if limits else [],
        "drains": sorted(machine.membership.drained_since_us),
        "digests": {name: rows.digest for name, rows in machine.rows.by_name.items()},
        "boot": machine.identity.boot_number,
        "revision": machine.membership.revision,
        "refused": dict(machine.peers.rejected),
        "unreadable": machine.receiver.unreadable,
        "silenced": machine.actions.suppressed,
    }
