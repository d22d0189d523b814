"""Keeps the files of a failed cluster, so that a failure that cannot be reproduced can still be traced.

Each failure has its own folder, in the folder that the environment variable `ROOKBEND_FAILURES` names or else in
`rookbend-failures` of the system's temporary folder: `error.txt`, `report.txt` (the seed, the faults, starts and ends,
the last log lines), and the log and configuration of each director.
"""

from __future__ import annotations

import os
import shutil
import tempfile
import time
import traceback
from pathlib import Path
from typing import Protocol

ENVIRONMENT_VARIABLE = "ROOKBEND_FAILURES"
DEFAULT_FOLDER = "rookbend-failures"
SAVED_FILES = "log", "config.json", "rookbend.conf"


class Reporter(Protocol):
    """The attributes of a cluster that are kept."""

    folder: Path
    names: list[str]

    def report(self) -> str:
        """Returns what is needed to repeat the run, and its events."""


def failures_folder() -> Path:
    """Returns the folder in which failures are kept."""
    named = os.environ.get(ENVIRONMENT_VARIABLE)
    return Path(named) if named else Path(tempfile.gettempdir()) / DEFAULT_FOLDER


def save_failure(error: Exception, cluster: Reporter) -> Path:
    """Copies a cluster's error, report, logs and configurations. Returns the folder. Raises OSError."""
    destination = failures_folder() / f"{time.time_ns()}-{os.getpid()}"
    destination.mkdir(parents=True)
    (destination / "error.txt").write_text("".join(traceback.format_exception(error)))
    (destination / "report.txt").write_text(cluster.report())
    for name in cluster.names:
        for file in SAVED_FILES:
            source = cluster.folder / name / file
            if source.exists():
                shutil.copyfile(source, destination / f"{name}.{file}")
    return destination


def annotate(error: Exception, cluster: Reporter) -> None:
    """Keeps the cluster's files, and adds their folder and the report to the error as a note."""
    try:
        place = f"record, logs and settings: {save_failure(error, cluster)}"
    except OSError as fault:
        place = f"record, logs and settings not kept: {fault}"
    error.add_note(f"{place}\n{cluster.report()}")
