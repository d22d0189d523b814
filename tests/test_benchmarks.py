"""Every benchmark runs to its end at its smallest size, and prints its figures as JSON on the last line."""

import json
import subprocess
import sys
from pathlib import Path

import pytest
import trio
import trio.testing

from rookbend.testing.open_loop_client import SERVED, OpenLoopClient, RequestTiming

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


def test_a_turn_without_a_served_request_waits_for_the_first_one():
    # Guards against a division by zero in a short turn on a busy machine.
    client = OpenLoopClient(("127.0.0.1", 0), rate=1.0, objects=["0"], seed=1)
    client.timings = [RequestTiming(1.0, 0.5, SERVED), RequestTiming(3.0, 0.5, SERVED + 1)]

    async def serve_later():
        await trio.sleep(10)
        client.timings.append(RequestTiming(3.0, 0.25, SERVED))

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_later)
            return await client.served_since(2.0)

    assert trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0)) == [250.0]
