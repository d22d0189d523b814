"""A pytest plugin for tests that fail because of a known fault, listed in KNOWN-RED.txt at the root, one entry per line:

    test id | command and seed | what was seen | issue

A listed test runs, does not affect the exit code, and is printed at the end with its outcome. The run fails if a line is
malformed, a test is listed twice, or no test has a listed id. Entries are short. The file does not exist while no test is
listed.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
FORM = "test id | command and seed | what was seen | issue"


class KnownRedError(Exception):
    """KNOWN-RED.txt is malformed."""


@dataclass(frozen=True)
class KnownRed:
    """A failing test: its id, the command that reproduces it, the failure that was seen, and the number of the open issue."""

    test: str
    command: str
    seen: str
    issue: str


def parse_line(line: str, number: int) -> KnownRed:
    """Parses one entry; raises KnownRedError with the line number if it does not match FORM."""
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != 4 or not all(fields) or not fields[3].isdigit():
        raise KnownRedError(f"{FILE}:{number}: not `{FORM}`: {line!r}")
    return KnownRed(*fields)


def read(path: Path) -> list[KnownRed]:
    """The listed tests; empty if the file does not exist."""
    if not path.exists():
        return []
    rows = [parse_line(line, number) for number, line in enumerate(path.read_text().splitlines(), 1)]
    if not rows:
        raise KnownRedError(f"{FILE}: lists nothing: remove the file when no test is listed")
    if len({row.test for row in rows}) != len(rows):
        raise KnownRedError(f"{FILE}: a test is listed twice")
    return rows


def unknown_tests(rows: list[KnownRed], collected: set[str], root: Path) -> list[str]:
    """The listed ids that no test has. An id in an existing file that this run did not collect is accepted."""
    files = {test.partition("::")[0] for test in collected}

    def unknown(test: str) -> bool:
        file = test.partition("::")[0]
        return test not in collected and (file in files or not (root / file).is_file())

    return [row.test for row in rows if unknown(row.test)]


class KnownRedPlugin:
    """Excludes listed tests from the exit code, and prints their outcomes."""

    def __init__(self, rows: list[KnownRed]):
        self.rows = {row.test: row for row in rows}
        self.outcomes: dict[str, str] = {}
        self.failures: dict[str, str] = {}  # by test id, the failure report

    def pytest_collection_modifyitems(self, session, items):
        unknown = unknown_tests(list(self.rows.values()), {i.nodeid for i in items}, session.config.rootpath)
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
