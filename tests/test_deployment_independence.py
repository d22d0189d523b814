"""The program, the deploy files and the benchmarks hold no names or figures of a deployment, only the settings do.

The sites under deploy/sites are two deployments. The names that customers use are listed only in this file.
"""

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SITES = sorted((ROOT / "deploy" / "sites").glob("*.toml"))
CUSTOMER_NAMES = {
    "halvorsen",
    "tour-video",
    "page-image",
    "submit-app",
    "branch-cache",
    "board-cdn",
    "video-seg",
    "board-asset",
    "entry-submit",
    "edge-fleet",
}
# Latency objective and deadline of the customers' classes, in milliseconds.
CUSTOMER_CLASSES = {(600, 5000), (300, 2500), (600, 3000), (500, 5000), (250, 3000), (800, 3000)}


def names_of(site):
    return {site["name"], *(c["name"] for c in site["class"]), *(t["name"] for t in site["tier"])}


def classes_of(site):
    return {(c["aim_ms"], c["deadline_ms"]) for c in site["class"]}


def read_sites():
    return [tomllib.loads(path.read_text()) for path in SITES]


NAMES = CUSTOMER_NAMES.union(*map(names_of, read_sites()))
CLASSES = CUSTOMER_CLASSES.union(*map(classes_of, read_sites()))


def figures(node):
    """The numbers directly in the expression, without those in nested expressions."""
    children = [child.value if isinstance(child, ast.keyword) else child for child in ast.iter_child_nodes(node)]
    return {n.value for n in children if isinstance(n, ast.Constant) and isinstance(n.value, (int, float))}


def findings(source, python=True):
    """Names in the text; in Python, also expressions with the latency objective and the deadline of a class, in
    milliseconds or microseconds."""
    found = [name for name in sorted(NAMES) if f'"{name}' in source or f" {name}" in source or f"'{name}" in source]
    if not python:
        return found
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, (ast.Call, ast.Dict, ast.Tuple)) and (numbers := figures(node)):
            found += [
                f"line {node.lineno}: {objective} and {deadline} ms"
                for objective, deadline in sorted(CLASSES)
                for unit in (1, 1000)
                if {objective * unit, deadline * unit} <= numbers
            ]
    return found


def program_files():
    return [p for folder in ("rookbend", "benchmarks") for p in sorted((ROOT / folder).rglob("*.py"))]


def deploy_files():
    return [p for p in sorted((ROOT / "deploy").iterdir()) if p.is_file()]


@pytest.mark.parametrize("path", [*program_files(), *deploy_files()], ids=lambda p: str(p.relative_to(ROOT)))
def test_file_has_no_names_or_figures_of_a_deployment(path):
    assert findings(path.read_text(), path.suffix == ".py") == []


@pytest.mark.parametrize(
    "planted",
    [
        'CLASSES = ("tour-video", "other")',
        "# as harbour-tickets has it",
        'if request.class_name == "seat-hold": pass',
        'LANE = {"aimUs": 600_000, "hardLimitUs": 5_000_000}',
        "row = Lane('x', aim_ms=400, deadline_ms=1500)",
        "AIM_US, DEADLINE_US = (250_000, 3_000_000)",
    ],
)
def test_check_finds_planted_names_and_figures(planted):
    assert findings(planted)


def test_sites_differ_in_names_classes_and_their_non_idempotent_class():
    sites = read_sites()
    assert len(sites) == 2
    first, second = sites
    assert not names_of(first) & names_of(second) and not (names_of(first) | names_of(second)) & CUSTOMER_NAMES
    unsafe = [[c["effect"] for c in site["class"]].index("unsafe") for site in sites]
    assert unsafe[0] != unsafe[1] and len(first["class"]) != len(second["class"])
    assert {e for site in sites for c in site["class"] for e in [c["effect"]]} == {"safe", "keyed", "unsafe"}
