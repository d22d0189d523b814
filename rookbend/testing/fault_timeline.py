"""Failures as a language: what goes wrong, when, with what, and how it ends. Pure; in the settings' form.

    [failure cache-dies]
        kind    kill
        part    c3 c4                   names, or *, or 30%: drawn by the seed
        at      5s
        for     12s                     0s, the default: for good
        seed    7

Kinds, and what undoes them at the end of their time:

    kill        the process ends, connections are reset; it returns cold
    vanish      the machine is cut off: open connections stay and are silent, new ones never come up
    pause       it stands still and goes on
    slow        its link carries `share` of what it did
    lose        a whole zone, silently, or by `reset`
    late        load reports come `by` later
    lie         its agent says `says`, whatever is so
    garble      `share` of its answers are spoilt
    cut         the coordinator's stream breaks, every `by`
    double      the coordinator tells each event twice
    drop        `share` of the messages between directors is lost
    term        a director gets SIGTERM, and is started again at the end
    hup         a director gets SIGHUP
    read-slowly clients take `share` of what they could
    flood       `share` more clients that ask without an end
    power       the machine loses its power: the process ends in that instant, and what its disk had not
                synced is gone; it is started again at the end
    cut-between what the first of a pair (`n0>n1`) says to the second is lost; both ways need both pairs
    freeze      a director stands still (SIGSTOP) and goes on (SIGCONT)
    clock       a director's Unix clock shows `by` more, or less with `back`; at the end the true time again
    disk        a director's disk is `says`: full, or read-only

Two failures of one kind may not hold one part at once: the end of the first would end the second.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass

import msgspec

from rookbend.settings import values as v
from rookbend.settings.reader import Directive, Place, SettingsError, read
from rookbend.settings.values import Form

MEMBER, ZONE, COORDINATOR, DIRECTOR, CLIENTS = "member", "zone", "coordinator", "director", "clients"
MACHINE, PAIR = "machine", "pair"  # a director or a member; two of them, in order
# kind: (what its parts are, the further directives it needs)
KINDS = {
    "kill": (MEMBER, ()),
    "vanish": (MEMBER, ()),
    "pause": (MEMBER, ()),
    "slow": (MEMBER, ("share",)),
    "lose": (ZONE, ()),
    "late": (MEMBER, ("by",)),
    "lie": (MEMBER, ("says",)),
    "garble": (MEMBER, ("share",)),
    "cut": (COORDINATOR, ("by",)),
    "double": (COORDINATOR, ()),
    "drop": (DIRECTOR, ("share",)),
    "term": (DIRECTOR, ()),
    "hup": (DIRECTOR, ()),
    "read-slowly": (CLIENTS, ("share",)),
    "flood": (CLIENTS, ("share",)),
    "power": (MACHINE, ()),
    "cut-between": (PAIR, ()),
    "freeze": (DIRECTOR, ()),
    "clock": (DIRECTOR, ("by",)),
    "disk": (DIRECTOR, ("says",)),
}
FURTHER = {"share": "share", "by": "by_us", "says": "says", "reset": "reset", "back": "back"}
MAY = {"lose": "reset", "clock": "back"}  # directives that a kind may have
HOUR = v.TIME_UNITS["h"]
FORMS = {
    "kind": Form(v.one_of(*KINDS), required=True),
    "part": Form(v.text(1, 255), many=True),
    "at": Form(v.time(0, HOUR), required=True),
    "for": Form(v.time(0, HOUR)),
    "seed": Form(v.whole(0, 2**63)),
    "share": Form(v.share()),
    "by": Form(v.time(1_000, HOUR)),
    "says": Form(v.text(1)),
    "reset": Form(v.yes_or_no),
    "back": Form(v.yes_or_no),
}


class Failure(msgspec.Struct, frozen=True):
    name: str
    kind: str
    at_us: int
    for_us: int = 0
    part: tuple[str, ...] = ("*",)
    seed: int = 0
    share: float = 0.0
    by_us: int = 0
    says: str = ""
    reset: bool = False
    back: bool = False
    place: Place = Place("", 0)

    @property
    def on(self) -> str:
        """What its parts are."""
        return KINDS[self.kind][0]

    @property
    def end_us(self) -> int:
        return self.at_us + self.for_us if self.for_us else 0


@dataclass(frozen=True, slots=True)
class Step:
    """A failure begins or ends at one part, at a time of the run."""

    at_us: int
    failure: Failure
    part: str
    begins: bool


def parse(text: str, file: str) -> tuple[Failure, ...]:
    """The failures of a file's text. Raises `SettingsError`, worded as the settings' are."""
    found: dict[str, Failure] = {}
    for section in read(text, file):
        if section.kind != "failure" or not section.name:
            raise SettingsError(section.place, f"{section.title} is no [failure NAME]")
        if section.name in found:
            raise SettingsError(
                section.place, f"{section.title} stands twice, first in line " f"{found[section.name].place.line}"
            )
        given: dict[str, Directive] = {}
        for directive in section.directives:
            if directive.name not in FORMS:
                raise SettingsError(directive.place, f"a failure knows no {directive.name}")
            if directive.name in given:
                raise SettingsError(directive.place, f"{directive.name} stands twice")
            given[directive.name] = directive
        found[section.name] = _failure(section, given)
    return tuple(found.values())


def _failure(section, given: dict[str, Directive]) -> Failure:
    fields: dict = {"name": section.name, "place": section.place}
    for name, form in FORMS.items():
        if name not in given:
            if form.required:
                raise SettingsError(section.place, f"{section.title} needs {name}")
            continue
        directive = given[name]
        if not directive.values or (len(directive.values) > 1 and not form.many):
            raise SettingsError(directive.place, f"{name} takes {'values' if form.many else 'one value'}")
        try:
            values = tuple(form.read(word) for word in directive.values)
        except ValueError as error:
            raise SettingsError(directive.place, f"{name}: {error}") from None
        field = {"at": "at_us", "for": "for_us", "by": "by_us"}.get(name, name)
        fields[field] = values if form.many else values[0]
    on, needed = KINDS[fields["kind"]]
    for name in FURTHER:
        if name in needed and name not in given:
            raise SettingsError(section.place, f"{fields['kind']} needs {name}")
        if name in given and name not in needed and MAY.get(fields["kind"]) != name:
            raise SettingsError(given[name].place, f"{name} means nothing to {fields['kind']}")
    return Failure(**fields)


def chosen(failure: Failure, names: list[str]) -> list[str]:
    """The parts a failure falls on, of those there are; the same for a seed in each process. Raises `SettingsError`
    where it names one that is not there."""
    parts, left = [], sorted(names)
    for word in failure.part:
        if word == "*":
            parts += left
        elif word.endswith("%"):
            try:
                share = v.share()(word)
            except ValueError as error:
                raise SettingsError(failure.place, str(error)) from None
            rng = random.Random(f"{failure.seed} {failure.name}")
            parts += rng.sample(left, min(len(left), round(share * len(left))))
        elif word in left:
            parts.append(word)
        else:
            raise SettingsError(failure.place, f"no {failure.on} {word}")
    return sorted(set(parts))


def steps(failures: tuple[Failure, ...], world: dict[str, list[str]]) -> list[Step]:
    """All beginnings and ends, in order of time; at one time ends come first. `world` names what there is of
    each sort of part. Raises `SettingsError` where two failures of a kind hold one part at once."""
    out: list[tuple[int, bool, int, Step]] = []
    held: dict[tuple[str, str], list[Failure]] = {}
    number = 0
    for failure in failures:
        for part in chosen(failure, world.get(failure.on, [])):
            for other in held.setdefault((failure.kind, part), []):
                if _overlap(failure, other):
                    raise SettingsError(
                        failure.place, f"{failure.name} and {other.name} both {failure.kind} {part} " "at one time"
                    )
            held[failure.kind, part].append(failure)
            number += 1
            heapq.heappush(out, (failure.at_us, True, number, Step(failure.at_us, failure, part, True)))
            if failure.end_us:
                number += 1
                end = Step(failure.end_us, failure, part, False)
                heapq.heappush(out, (end.at_us, False, number, end))
    return [heapq.heappop(out)[3] for _ in range(len(out))]


def _overlap(a: Failure, b: Failure) -> bool:
    first, second = sorted((a, b), key=lambda f: f.at_us)
    return not first.end_us or first.end_us > second.at_us


def write(failures: tuple[Failure, ...]) -> str:
    """The text that `parse` reads as these: what a run prints so that it can be repeated."""
    out = []
    for f in failures:
        out.append(f"[failure {f.name}]")
        rows = [
            ("kind", f.kind),
            ("part", " ".join(f.part)),
            ("at", f"{f.at_us}us"),
            ("for", f"{f.for_us}us"),
            ("seed", str(f.seed)),
        ]
        if f.share:
            rows.append(("share", f"{f.share * 100:g}%"))
        if f.by_us:
            rows.append(("by", f"{f.by_us}us"))
        if f.says:
            quoted = f.says.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
            rows.append(("says", f'"{quoted}"'))
        rows += [(name, "yes") for name in ("reset", "back") if getattr(f, name)]
        out += [f"    {name:8}{value}" for name, value in rows]
    return "\n".join(out) + "\n"
