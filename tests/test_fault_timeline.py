"""Failures as a language: read, drawn by seed, ordered, and written so that a run can be repeated."""

import pytest

from rookbend.settings import SettingsError
from rookbend.testing.fault_timeline import KINDS, plan_steps
from rookbend.testing.fault_timeline_format import format_faults, parse_faults

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
    day = parse_faults(DAY, "x")
    found = plan_steps(day, WORLD)
    assert [(s.at_us // 1_000_000, s.fault.name, s.target, s.begins) for s in found[:6]] == [
        (1, "hub", "north", True),
        (5, "hub", "north", False),
        (5, "dies", "c3", True),
        (5, "dies", "c4", True),
        (7, "dies", "c3", False),
        (7, "dies", "c4", False),
    ]
    lies = [s.target for s in found[6:]]
    assert len(lies) == 3 and lies == [s.target for s in plan_steps(parse_faults(DAY, "x"), WORLD)[6:]]
    assert lies != [s.target for s in plan_steps(parse_faults(DAY.replace("seed 7", "seed 9"), "x"), WORLD)[6:]]


def test_what_is_written_reads_as_the_same():
    day = parse_faults(DAY, "x")
    again = parse_faults(format_faults(day), "x")
    assert [(s.at_us, s.target, s.begins, s.fault.says) for s in plan_steps(again, WORLD)] == [
        (s.at_us, s.target, s.begins, s.fault.says) for s in plan_steps(day, WORLD)
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
        plan_steps(parse_faults(text, "FILE"), WORLD)
    assert str(found.value).startswith(f"FILE:{fault}")


def test_every_kind_can_be_said():
    more = {"share": "share 5%\n", "by": "by 1s\n", "says": "says up\n"}
    for kind, form in KINDS.items():
        day = parse_faults(
            f"[failure a]\nkind {kind}\nat 1s\nfor 1s\n" + (more[form.required] if form.required else ""), "x"
        )
        found = plan_steps(day, WORLD)
        names = WORLD[form.target_type]
        assert [s.begins for s in found] == [True] * len(names) + [False] * len(names)
