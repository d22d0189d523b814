"""KNOWN-RED.txt: failures that it excludes from the exit code, its printed outcomes, and malformed lists."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TESTS = """
def test_good():
    pass

def test_red():
    assert 1 == 2

def test_fixed():
    pass
"""
RED, FIXED = "test_here.py::test_red", "test_here.py::test_fixed"
RUN = "pytest -q, seed 7"
MALFORMED = "KNOWN-RED.txt:{}: not `test id | command and seed | what was seen | issue`"


def run(tmp_path, listed, *arguments):
    (tmp_path / "test_here.py").write_text(TESTS)
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    if listed is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(listed)
    env = {**os.environ, "PYTHONPATH": str(ROOT)}
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_red", *arguments],
        cwd=tmp_path,
        env=env,
        capture_output=True,
        text=True,
    )
    return completed.returncode, completed.stdout + completed.stderr


def test_without_a_list_a_failing_test_fails_the_run(tmp_path):
    code, out = run(tmp_path, None)
    assert code == 1 and "known red" not in out


def test_a_listed_test_runs_without_failing_the_run_and_is_printed_with_its_outcome(tmp_path):
    code, out = run(tmp_path, f"{RED} | {RUN} | a fault | 28\n{FIXED} | {RUN} | another | 29\n")
    assert code == 0
    assert f"known red: {RED}: failed: a fault (pytest -q, seed 7; issue 28)" in out
    assert f"known red: {FIXED}: passed: another (pytest -q, seed 7; issue 29)" in out
    assert "assert 1 == 2" in out, "the failure report is not printed"


def test_a_failing_test_that_is_not_listed_fails_the_run(tmp_path):
    code, _ = run(tmp_path, f"{FIXED} | {RUN} | another | 29\n")
    assert code == 1


@pytest.mark.parametrize(
    "listed, expected",
    [
        (f"{RED} | {RUN} | a fault\n", MALFORMED.format(1)),
        (f"{RED} | {RUN} | | 28\n", MALFORMED.format(1)),
        (f"{RED} | | a fault | 28\n", MALFORMED.format(1)),
        (f"{RED} | {RUN} | a fault | soon\n", MALFORMED.format(1)),
        (f"{RED} | {RUN} | a fault | 28 | more\n", MALFORMED.format(1)),
        (f"{RED} | {RUN} | a fault | 28\n\n", MALFORMED.format(2)),
        ("", "lists nothing"),
        (f"{RED} | {RUN} | a fault | 28\n" * 2, "listed twice"),
        (f"test_here.py::test_no_such | {RUN} | a fault | 28\n", "no test has this id: test_here.py::test_no_such"),
        (f"test_gone.py::test_red | {RUN} | a fault | 28\n", "no test has this id: test_gone.py::test_red"),
    ],
)
def test_a_malformed_list_fails_the_run(tmp_path, listed, expected):
    code, out = run(tmp_path, listed)
    assert code not in (0, 1) and expected in out


def test_any_number_of_tests_may_be_listed(tmp_path):
    others = [f"test_other.py::test_{i}" for i in range(6)]
    (tmp_path / "test_other.py").write_text("".join(f"def test_{i}():\n    assert False\n" for i in range(6)))
    code, out = run(tmp_path, "".join(f"{t} | {RUN} | a fault | 28\n" for t in [RED, *others]))
    assert code == 0 and out.count("failed: a fault") == 7


def test_a_run_of_one_test_accepts_a_list_that_names_others(tmp_path):
    (tmp_path / "test_other.py").write_text("def test_other():\n    assert False\n")
    code, out = run(tmp_path, f"test_other.py::test_other | {RUN} | a fault | 28\n", "test_here.py::test_good")
    assert code == 0 and "known red: test_other.py::test_other: not run" in out
