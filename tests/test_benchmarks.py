"""Every benchmark runs to its end at its smallest size, and prints its figures as JSON on the last line."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
BENCHMARKS = sorted(p.stem for p in (ROOT / "benchmarks").glob("*.py") if "__main__" in p.read_text(encoding="utf-8"))
# The only revision that every checkout has is its own HEAD.
EXTRA_ARGUMENTS = {"fleet": ["--before", "HEAD"], "mixed_versions": ["."]}


@pytest.mark.parametrize("name", BENCHMARKS)
def test_a_benchmark_runs_at_its_smallest_size(name):
    command = [sys.executable, "-m", f"benchmarks.{name}", "--smallest", *EXTRA_ARGUMENTS.get(name, [])]
    completed = subprocess.run(command, cwd=ROOT, text=True, capture_output=True)
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert json.loads(completed.stdout.strip().splitlines()[-1])


def test_the_benchmarks_are_found():
    assert {"fleet", "health"} <= set(BENCHMARKS)
