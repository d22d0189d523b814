"""The layers of docs/ARCHITECTURE.md: imports point down only, and no modules import one another in a circle."""

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent
LAYERS = {
    "cli": 6,
    "service": 5,
    "drain": 5,
    "reload": 5,
    "assembly": 5,
    "components": 5,
    "process_metrics": 5,
    "resource_budget": 5,
    "net": 4,
    "fronts": 3,
    "protocol": 2,
    "health": 2,
    "recovery": 2,
    "leases": 2,
    "operations": 2,
    "scheduling": 2,
    "coordination": 2,
    "core": 1,
    "interface": 0,
    "routing": 0,
}
NEVER_IMPORTED = "testing", "model_checking"  # by what a director runs


def modules():
    return {
        ".".join(p.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): p
        for p in (ROOT / "rookbend").rglob("*.py")
    }


def top_level_imports(body):
    """Imports of the module itself, those for type checkers among them, not those inside functions."""
    for node in body:
        if isinstance(node, ast.If | ast.Try):
            yield from top_level_imports(node.body)
        elif isinstance(node, ast.Import | ast.ImportFrom):
            yield node


def imports_of(name, known, every=False):
    tree = ast.parse(known[name].read_text())
    nodes = ast.walk(tree) if every else top_level_imports(tree.body)
    found = set()
    for node in nodes:
        if isinstance(node, ast.ImportFrom) and node.module:
            found |= {f if (f := f"{node.module}.{a.name}") in known else node.module for a in node.names}
        elif isinstance(node, ast.Import):
            found |= {a.name for a in node.names}
    return {f for f in found if f in known and f != name}


def part_of(name):
    return name.split(".")[1] if "." in name else ""


def test_imports_point_down():
    known = modules()
    up = [
        (name, other)
        for name in known
        if (layer := LAYERS.get(part_of(name))) is not None
        for other in imports_of(name, known)
        if LAYERS.get(part_of(other), -1) > layer
    ]
    assert up == []


def test_no_modules_import_one_another_in_a_circle():
    known = modules()
    graph = {name: imports_of(name, known) for name in known}
    while leaves := {name for name, others in graph.items() if not others & graph.keys()}:
        graph = {name: others for name, others in graph.items() if name not in leaves}
    # What is left imports something that is left: a circle, and what stands above one.
    assert graph == {}


def test_a_director_imports_no_stand_in():
    known = modules()
    outside = [*LAYERS, "config", "logs", "platform_settings", "settings", "state", "__main__"]
    lazily = {"rookbend.cli.demo"}  # a cluster on this machine, started as a command of its own
    found = [
        (name, other)
        for name in known
        if part_of(name) in outside and name not in lazily
        for other in imports_of(name, known, every=True)
        if part_of(other) in NEVER_IMPORTED
    ]
    assert found == []
