"""The timeline of the faults injected into a run: kind, time, duration and targets of each.

This module does no I/O; `fault_timeline_format` parses and formats the text. The kinds of faults, and how each ends:

    kill        the process of a member ends and its connections are reset; it restarts with an empty cache
    vanish      a member's host is unreachable: open connections stay up but silent, new ones are never established
    pause       a member's process is suspended, and resumes at the end
    slow        a member's link carries `share` of its bandwidth
    lose        a whole zone is unreachable: connections stay silent, or are reset with `reset`
    late        load reports of a member are delayed by `by`
    lie         a member's health agent reports `says`, whatever the member's state
    garble      `share` of a member's responses are corrupted
    cut         the coordinator's stream breaks every `by`
    double      the coordinator sends each event twice
    drop        `share` of the messages between directors is lost
    term        a director gets SIGTERM, and is restarted at the end
    hup         a director gets SIGHUP
    read-slowly clients read at `share` of their full rate
    flood       `share` more clients that send requests without an end
    power       a machine loses power: the process ends at once, and data that its disk has not synced is lost; it
                is restarted at the end
    cut-between messages from the first of a pair (`n0>n1`) to the second are lost; a cut both ways takes both pairs
    freeze      a director is suspended (SIGSTOP), and resumes (SIGCONT) at the end
    clock       a director's Unix clock is ahead by `by`, or behind with `back`; at the end it is correct again
    disk        a director's disk is in the state `says`: full, or read-only

Faults of the same kind on the same target must not overlap, because the end of the first would end the second.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec

from rookbend.settings import values as v
from rookbend.settings.reader import SettingsError, SourceLocation


class TargetType(StrEnum):
    """The type of target that a kind of fault applies to."""

    MEMBER = "member"
    ZONE = "zone"
    COORDINATOR = "coordinator"
    DIRECTOR = "director"
    CLIENTS = "clients"
    MACHINE = "machine"  # a director or a member
    PAIR = "pair"  # two machines, in order


@dataclass(frozen=True, slots=True)
class FaultKind:
    """The target type of a kind of fault, and its directives in addition to the common ones."""

    target_type: TargetType
    required: str | None = None
    optional: str | None = None


KINDS = {
    "kill": FaultKind(TargetType.MEMBER),
    "vanish": FaultKind(TargetType.MEMBER),
    "pause": FaultKind(TargetType.MEMBER),
    "slow": FaultKind(TargetType.MEMBER, "share"),
    "lose": FaultKind(TargetType.ZONE, optional="reset"),
    "late": FaultKind(TargetType.MEMBER, "by"),
    "lie": FaultKind(TargetType.MEMBER, "says"),
    "garble": FaultKind(TargetType.MEMBER, "share"),
    "cut": FaultKind(TargetType.COORDINATOR, "by"),
    "double": FaultKind(TargetType.COORDINATOR),
    "drop": FaultKind(TargetType.DIRECTOR, "share"),
    "term": FaultKind(TargetType.DIRECTOR),
    "hup": FaultKind(TargetType.DIRECTOR),
    "read-slowly": FaultKind(TargetType.CLIENTS, "share"),
    "flood": FaultKind(TargetType.CLIENTS, "share"),
    "power": FaultKind(TargetType.MACHINE),
    "cut-between": FaultKind(TargetType.PAIR),
    "freeze": FaultKind(TargetType.DIRECTOR),
    "clock": FaultKind(TargetType.DIRECTOR, "by", optional="back"),
    "disk": FaultKind(TargetType.DIRECTOR, "says"),
}


class Fault(msgspec.Struct, frozen=True):
    """One fault. `targets` are names, `*` or a percentage; a `duration_us` of 0 means that the fault never ends."""

    name: str
    kind: str
    at_us: int
    duration_us: int = 0
    targets: tuple[str, ...] = ("*",)
    seed: int = 0
    share: float = 0.0
    by_us: int = 0
    says: str = ""
    reset: bool = False
    back: bool = False
    place: SourceLocation = SourceLocation("", 0)

    @property
    def target_type(self) -> TargetType:
        """The target type of the fault's kind."""
        return KINDS[self.kind].target_type

    @property
    def end_us(self) -> int:
        """The end of the fault, or 0 if it never ends."""
        return self.at_us + self.duration_us if self.duration_us else 0


@dataclass(frozen=True, slots=True)
class Step:
    """The begin or the end of a fault at one target; `at_us` counts from the start of the run."""

    at_us: int
    fault: Fault
    target: str
    begins: bool


def select_targets(fault: Fault, names: Sequence[str]) -> list[str]:
    """Returns the targets of a fault among `names`. A seed selects the same targets in every process.

    Raises `SettingsError` if the fault names an unknown target.
    """
    candidates = sorted(names)
    targets: set[str] = set()
    for word in fault.targets:
        if word == "*":
            targets.update(candidates)
        elif word.endswith("%"):
            targets.update(_draw_targets(fault, word, candidates))
        elif word in candidates:
            targets.add(word)
        else:
            raise SettingsError(fault.place, f"no {fault.target_type} {word}")
    return sorted(targets)


def _draw_targets(fault: Fault, percentage: str, candidates: list[str]) -> list[str]:
    try:
        share: Any = v.percentage()(percentage)
    except ValueError as error:
        raise SettingsError(fault.place, str(error)) from None
    rng = random.Random(f"{fault.seed} {fault.name}")
    return rng.sample(candidates, min(len(candidates), round(share * len(candidates))))


def plan_steps(faults: Sequence[Fault], names_by_type: dict[str, list[str]]) -> list[Step]:
    """Returns all begins and ends in order of time; at the same time, ends come first.

    Raises `SettingsError` if two faults of the same kind overlap on a target, or if a target is unknown.
    """
    steps: list[Step] = []
    faults_by_target: dict[tuple[str, str], list[Fault]] = {}
    for fault in faults:
        for target in select_targets(fault, names_by_type.get(fault.target_type, [])):
            others = faults_by_target.setdefault((fault.kind, target), [])
            for other in others:
                if _overlap(fault, other):
                    text = f"{fault.name} and {other.name} both {fault.kind} {target} at one time"
                    raise SettingsError(fault.place, text)
            others.append(fault)
            steps.append(Step(fault.at_us, fault, target, True))
            if fault.end_us:
                steps.append(Step(fault.end_us, fault, target, False))
    return sorted(steps, key=lambda step: (step.at_us, step.begins))


def _overlap(fault: Fault, other: Fault) -> bool:
    first, second = sorted((fault, other), key=lambda one: one.at_us)
    return not first.end_us or first.end_us > second.at_us
