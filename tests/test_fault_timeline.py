"""Fault timelines: parsing, selection of targets by seed, order of steps, errors, and formatting for a repeated run."""

import pytest

from rookbend.settings import SettingsError
from rookbend.testing.fault_timeline import KINDS, plan_steps
from rookbend.testing.fault_timeline_format import format_faults, parse_faults

NAMES_BY_TYPE = {
    "member": [f"c{i}" for i in range(10)],
    "zone": ["north"],
    "coordinator": ["coordinator"],
    "director": ["n0", "n1"],
    "clients": ["clients"],
    "machine": ["c0", "n0"],
    "pair": ["n0>n1", "n1>n0"],
}
TIMELINE = """
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


def test_steps_are_in_order_of_time_and_targets_depend_on_the_seed_only():
    faults = parse_faults(TIMELINE, "x")
    steps = plan_steps(faults, NAMES_BY_TYPE)
    assert [(s.at_us // 1_000_000, s.fault.name, s.target, s.begins) for s in steps[:6]] == [
        (1, "hub", "north", True),
        (5, "hub", "north", False),
        (5, "dies", "c3", True),
        (5, "dies", "c4", True),
        (7, "dies", "c3", False),
        (7, "dies", "c4", False),
    ]
    selected = [s.target for s in steps[6:]]
    assert len(selected) == 3 and selected == [
        s.target for s in plan_steps(parse_faults(TIMELINE, "x"), NAMES_BY_TYPE)[6:]
    ]
    assert selected != [
        s.target for s in plan_steps(parse_faults(TIMELINE.replace("seed 7", "seed 9"), "x"), NAMES_BY_TYPE)[6:]
    ]


def test_formatted_faults_parse_to_the_same_steps():
    faults = parse_faults(TIMELINE, "x")
    reparsed = parse_faults(format_faults(faults), "x")
    assert [(s.at_us, s.target, s.begins, s.fault.says) for s in plan_steps(reparsed, NAMES_BY_TYPE)] == [
        (s.at_us, s.target, s.begins, s.fault.says) for s in plan_steps(faults, NAMES_BY_TYPE)
    ]


KILL_SECTION = "[failure a]\nkind kill\nat 1s\n"


@pytest.mark.parametrize(
    "text, message",
    [
        ("[log]", "1: [log] is no [failure NAME]"),
        ("[failure]", "1: [failure] is no [failure NAME]"),
        (KILL_SECTION + KILL_SECTION, "4: [failure a] stands twice, first in line 1"),
        ("[failure a]\nkind melt\nat 1s", "2: kind: 'melt' is none of"),
        ("[failure a]\nkind kill", "1: [failure a] needs at"),
        (KILL_SECTION + "at 2s", "4: at stands twice"),
        (KILL_SECTION + "when 2s", "4: a failure knows no when"),
        (KILL_SECTION + "for 5", "4: for: a time needs its unit"),
        (KILL_SECTION + "for 1s 2s", "4: for takes one value"),
        (KILL_SECTION + "part", "4: part takes values"),
        (KILL_SECTION + "share 5%", "4: share means nothing to kill"),
        (KILL_SECTION + "reset yes", "4: reset means nothing to kill"),
        ("[failure a]\nkind slow\nat 1s", "1: slow needs share"),
        ("[failure a]\nkind late\nat 1s", "1: late needs by"),
        (KILL_SECTION + "part c99", "1: no member c99"),
        (KILL_SECTION + "part 130%", "1: 130% is outside 0% to 100%"),
        (KILL_SECTION + KILL_SECTION.replace("a]", "b]"), "4: b and a both kill c0 at one time"),
    ],
)
def test_each_error_is_reported_with_its_line(text, message):
    with pytest.raises(SettingsError) as error:
        plan_steps(parse_faults(text, "FILE"), NAMES_BY_TYPE)
    assert str(error.value).startswith(f"FILE:{message}")


def test_every_kind_of_fault_can_be_written():
    required_directives = {"share": "share 5%\n", "by": "by 1s\n", "says": "says up\n"}
    for kind, fault_kind in KINDS.items():
        faults = parse_faults(
            f"[failure a]\nkind {kind}\nat 1s\nfor 1s\n"
            + (required_directives[fault_kind.required] if fault_kind.required else ""),
            "x",
        )
        steps = plan_steps(faults, NAMES_BY_TYPE)
        names = NAMES_BY_TYPE[fault_kind.target_type]
        assert [s.begins for s in steps] == [True] * len(names) + [False] * len(names)
