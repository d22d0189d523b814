"""Tests that fail for a known fault, listed in KNOWN-RED.txt at the root: one entry a line, kept short.

    test id | command and seed | what was seen | issue

A listed test runs, does not decide the result, and is printed at the end with its outcome. A malformed line, a test that
is listed twice, or an id that no test has fails the run. The file is absent while there is none.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
FORM = "test id | command and seed | what was seen | issue"


class KnownRedError(Exception):
    """The list can't be used."""


@dataclass(frozen=True)
class KnownRed:
    """A test that fails, how to see it, what was seen, and the number of the open issue that will fix it."""

    test: str
    command: str
    seen: str
    issue: str


def parse_line(line: str, number: int) -> KnownRed:
    """One entry; KnownRedError with the line's number where it has not the form."""
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != 4 or not all(fields) or not fields[3].isdigit():
        raise KnownRedError(f"{FILE}:{number}: not `{FORM}`: {line!r}")
    return KnownRed(*fields)


def read(path: Path) -> list[KnownRed]:
    """The listed tests; none where there is no file."""
    if not path.exists():
        return []
    rows = [parse_line(line, number) for number, line in enumerate(path.read_text().splitlines(), 1)]
    if not rows:
        raise KnownRedError(f"{FILE}: lists nothing: an empty list is no file")
    if len({row.test for row in rows}) != len(rows):
        raise KnownRedError(f"{FILE}: a test is listed twice")
    return rows


def without_test(rows: list[KnownRed], collected: set[str], root: Path) -> list[str]:
    """Listed ids that no test has. Of a file that this run did not collect, only its absence is known."""
    files = {test.partition("::")[0] for test in collected}

    def unknown(test: str) -> bool:
        file = test.partition("::")[0]
        return test not in collected and (file in files or not (root / file).is_file())

    return [row.test for row in rows if unknown(row.test)]


class KnownRedPlugin:
    """Keeps listed tests from deciding the result, and tells how they ended."""

    def __init__(self, rows: list[KnownRed]):
        self.rows = {row.test: row for row in rows}
        self.outcomes: dict[str, str] = {}
        self.failures: dict[str, str] = {}  # what a failed one printed

    def pytest_collection_modifyitems(self, session, items):
        unknown = without_test(list(self.rows.values()), {i.nodeid for i in items}, session.config.rootpath)
        if unknown:
            raise pytest.UsageError(f"{FILE}: no test has this id: {', '.join(unknown)}")

    @pytest.hookimpl(hookwrapper=True)
    def pytest_runtest_makereport(self, item, call):
        report = (yield).get_result()
        row = self.rows.get(item.nodeid)
        if row is None:
            return
        if report.failed:
            self.outcomes[item.nodeid] = "failed"
            self.failures[item.nodeid] = report.longreprtext
            report.outcome, report.wasxfail = "skipped", row.seen
        elif report.when == "call":
            self.outcomes.setdefault(item.nodeid, report.outcome)

    def pytest_terminal_summary(self, terminalreporter):
        for test, text in self.failures.items():
            terminalreporter.write_sep("_", f"known red: {test}")
            terminalreporter.write_line(text)
        for row in self.rows.values():
            outcome = self.outcomes.get(row.test, "not run")
            terminalreporter.write_line(
                f"known red: {row.test}: {outcome}: {row.seen} ({row.command}; issue {row.issue})"
            )


def pytest_configure(config):
    try:
        rows = read(config.rootpath / FILE)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None
    if rows:
        config.pluginmanager.register(KnownRedPlugin(rows))
