"""Every measurement starts: at its smallest size it runs through, and ends in its line of figures."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent.parent
MEASUREMENTS = sorted(p.stem for p in (HERE / "benchmarks").glob("*.py") if "__main__" in p.read_text(encoding="utf-8"))
# A checkout may hold no older revision.
MORE = {"fleet": ["--before", "HEAD"], "mixed_versions": ["."]}


@pytest.mark.parametrize("name", MEASUREMENTS)
def test_a_measurement_runs_at_its_smallest_size(name):
    words = [sys.executable, "-m", f"benchmarks.{name}", "--smallest", *MORE.get(name, [])]
    ended = subprocess.run(words, cwd=HERE, text=True, capture_output=True)
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert json.loads(ended.stdout.strip().splitlines()[-1])


def test_the_measurements_are_found():
    assert {"fleet", "health"} <= set(MEASUREMENTS)
