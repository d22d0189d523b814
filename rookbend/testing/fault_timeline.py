"""The faults of a run: what goes wrong, when, at what, and how it ends. Pure.

`fault_timeline_format` reads and writes them as text. Kinds, and what undoes them at the end of their time:

    kill        the process ends, connections are reset; it returns cold
    vanish      the machine is cut off: open connections stay and are silent, new ones never come up
    pause       it stands still and goes on
    slow        its link carries `share` of what it did
    lose        a whole zone, silently, or by `reset`
    late        load reports come `by` later
    lie         its agent says `says`, whatever is so
    garble      `share` of its answers are spoilt
    cut         the coordinator's stream breaks, every `by`
    double      the coordinator sends each event twice
    drop        `share` of the messages between directors is lost
    term        a director gets SIGTERM, and is started again at the end
    hup         a director gets SIGHUP
    read-slowly clients take `share` of what they could
    flood       `share` more clients that send requests without an end
    power       the machine loses its power: the process ends in that instant, and what its disk had not
                synced is gone; it is started again at the end
    cut-between what the first of a pair (`n0>n1`) sends to the second is lost; both ways need both pairs
    freeze      a director stands still (SIGSTOP) and goes on (SIGCONT)
    clock       a director's Unix clock shows `by` more, or less with `back`; at the end the true time again
    disk        a director's disk is `says`: full, or read-only

Two faults of one kind may not hold one target at once: the end of the first would end the second.
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
    """What a kind of fault falls on."""

    MEMBER = "member"
    ZONE = "zone"
    COORDINATOR = "coordinator"
    DIRECTOR = "director"
    CLIENTS = "clients"
    MACHINE = "machine"  # a director or a member
    PAIR = "pair"  # two of them, in order


@dataclass(frozen=True, slots=True)
class FaultKind:
    """What a kind falls on, and its directives beside those that all have."""

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
    """One fault. `targets` are names, `*` or a percentage; `duration_us` 0: for good."""

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
        """What it falls on."""
        return KINDS[self.kind].target_type

    @property
    def end_us(self) -> int:
        """When it ends; 0: never."""
        return self.at_us + self.duration_us if self.duration_us else 0


@dataclass(frozen=True, slots=True)
class Step:
    """A fault begins or ends at one target, at a time of the run."""

    at_us: int
    fault: Fault
    target: str
    begins: bool


def select_targets(fault: Fault, names: Sequence[str]) -> list[str]:
    """The targets of a fault among `names`; the same for a seed in each process.

    Raises `SettingsError` where it names one that is not there.
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
    """All beginnings and ends, in order of time; at one time ends come first.

    Raises `SettingsError` where two faults of a kind hold one target at once, or a target is not there.
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
