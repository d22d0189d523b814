"""Failures as a language: read, drawn by seed, ordered, and written so that a run can be repeated."""

import pytest

from rookbend.settings import SettingsError
from rookbend.testing.fault_timeline import KINDS, parse, steps, write

WORLD = {
    "member": [f"c{i}" for i in range(10)],
    "zone": ["north"],
    "coordinator": ["coordinator"],
    "director": ["n0", "n1"],
    "clients": ["clients"],
    "machine": ["c0", "n0"],
    "pair": ["n0>n1", "n1>n0"],
}
DAY = """
[failure dies]
    kind kill
    part c3 c4
    at   5s
    for  2s
[failure lies]
    kind lie
    part 30%
    at   7s
    says "up \\"100%\\" # all fine"
    seed 7
[failure hub]
    kind lose
    at   1s
    for  4s
    reset yes
"""


def test_a_day_is_steps_in_order_and_the_same_for_a_seed():
    day = parse(DAY, "x")
    found = steps(day, WORLD)
    assert [(s.at_us // 1_000_000, s.failure.name, s.part, s.begins) for s in found[:6]] == [
        (1, "hub", "north", True),
        (5, "hub", "north", False),
        (5, "dies", "c3", True),
        (5, "dies", "c4", True),
        (7, "dies", "c3", False),
        (7, "dies", "c4", False),
    ]
    lies = [s.part for s in found[6:]]
    assert len(lies) == 3 and lies == [s.part for s in steps(parse(DAY, "x"), WORLD)[6:]]
    assert lies != [s.part for s in steps(parse(DAY.replace("seed 7", "seed 9"), "x"), WORLD)[6:]]


def test_what_is_written_reads_as_the_same():
    day = parse(DAY, "x")
    again = parse(write(day), "x")
    assert [(s.at_us, s.part, s.begins, s.failure.says) for s in steps(again, WORLD)] == [
        (s.at_us, s.part, s.begins, s.failure.says) for s in steps(day, WORLD)
    ]


KILL = "[failure a]\nkind kill\nat 1s\n"


@pytest.mark.parametrize(
    "text, fault",
    [
        ("[log]", "1: [log] is no [failure NAME]"),
        ("[failure]", "1: [failure] is no [failure NAME]"),
        (KILL + KILL, "4: [failure a] stands twice, first in line 1"),
        ("[failure a]\nkind melt\nat 1s", "2: kind: 'melt' is none of"),
        ("[failure a]\nkind kill", "1: [failure a] needs at"),
        (KILL + "at 2s", "4: at stands twice"),
        (KILL + "when 2s", "4: a failure knows no when"),
        (KILL + "for 5", "4: for: a time needs its unit"),
        (KILL + "for 1s 2s", "4: for takes one value"),
        (KILL + "part", "4: part takes values"),
        (KILL + "share 5%", "4: share means nothing to kill"),
        (KILL + "reset yes", "4: reset means nothing to kill"),
        ("[failure a]\nkind slow\nat 1s", "1: slow needs share"),
        ("[failure a]\nkind late\nat 1s", "1: late needs by"),
        (KILL + "part c99", "1: no member c99"),
        (KILL + "part 130%", "1: 130% is outside 0% to 100%"),
        (KILL + KILL.replace("a]", "b]"), "4: b and a both kill c0 at one time"),
    ],
)
def test_each_fault_is_told_with_its_line(text, fault):
    with pytest.raises(SettingsError) as found:
        steps(parse(text, "FILE"), WORLD)
    assert str(found.value).startswith(f"FILE:{fault}")


def test_every_kind_can_be_said():
    more = {"share": "share 5%\n", "by": "by 1s\n", "says": "says up\n"}
    for kind, (on, needed) in KINDS.items():
        day = parse(f"[failure a]\nkind {kind}\nat 1s\nfor 1s\n" + "".join(more[n] for n in needed), "x")
        found = steps(day, WORLD)
        assert [s.begins for s in found] == [True] * len(WORLD[on]) + [False] * len(WORLD[on])
