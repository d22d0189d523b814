"""The layout of the code: no file over 250 lines, but for a list of exceptions that may only shrink."""

from pathlib import Path

ROOT = Path(__file__).parent.parent
MOST_LINES = 250
# Files that are longer still, and how long each may be: a file that shrinks takes its figure along.
EXCEPTIONS = {
    "tests/test_leases_processes.py": 260,
    "tests/test_recovery.py": 355,
    "benchmarks/health.py": 346,
    "benchmarks/recovery_sweep.py": 430,
}


def lines_of(path):
    return len(path.read_text().splitlines())


def files():
    return [p for folder in ("rookbend", "tests", "benchmarks") for p in sorted((ROOT / folder).rglob("*.py"))]


def test_no_file_is_over_its_length():
    over = {str(p.relative_to(ROOT)): n for p in files() if (n := lines_of(p)) > MOST_LINES}
    assert {name: n for name, n in over.items() if n > EXCEPTIONS.get(name, MOST_LINES)} == {}


def test_the_list_of_exceptions_holds_nothing_that_is_short_enough():
    short = [name for name in EXCEPTIONS if not (ROOT / name).exists() or lines_of(ROOT / name) <= MOST_LINES]
    assert short == []
