"""The demonstration: a fleet loses power and recovers, the report shows the recovery, and no rule is violated."""

import json
import os
import subprocess
import sys


def test_demo_reports_the_recovery_from_a_power_loss(tmp_path):
    command = [sys.executable, "-m", "rookbend", "demo", "--json", "--calm", "2", "--after", "4", "--keep", tmp_path]
    completed = subprocess.run(command, text=True, capture_output=True, env={**os.environ})
    assert completed.returncode == 0, completed.stdout + completed.stderr
    report = json.loads(completed.stdout)
    assert sorted(name for name, _ in report["return"]) == ["n0", "n1", "n2"]
    assert report["breaches"] == [] and report["seen"] > 100
    assert (tmp_path / "n0" / "log").stat().st_size


def test_demo_rejects_an_unsupported_number_of_directors():
    completed = subprocess.run(
        [sys.executable, "-m", "rookbend", "demo", "--directors", "0"], text=True, capture_output=True
    )
    assert completed.returncode == 2 and completed.stderr == "rookbend: --directors must be from 1 to 40\n"
