"""What a failed scene leaves behind, so that a failure that does not come again can still be traced.

A folder a failure, in what the environment variable `ROOKBEND_FAILURES` names or else in `rookbend-failures` of the
system's temporary folder: `error.txt`, `report.txt` (the seed, the faults, starts and ends, the last log lines), and
of each director its log and its configuration.
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
KEPT_FILES = "log", "config.json", "rookbend.conf"


class Reporter(Protocol):
    """A scene, as far as it is kept."""

    folder: Path
    names: list[str]

    def report(self) -> str:
        """What repeats the run, and what happened in it."""


def failures_folder() -> Path:
    """Where failures are kept."""
    named = os.environ.get(ENVIRONMENT_VARIABLE)
    return Path(named) if named else Path(tempfile.gettempdir()) / DEFAULT_FOLDER


def keep(error: Exception, cluster: Reporter) -> Path:
    """Copies a scene's error, report, logs and configurations; returns the folder. Raises OSError."""
    kept = failures_folder() / f"{time.time_ns()}-{os.getpid()}"
    kept.mkdir(parents=True)
    (kept / "error.txt").write_text("".join(traceback.format_exception(error)))
    (kept / "report.txt").write_text(cluster.report())
    for name in cluster.names:
        for file in KEPT_FILES:
            source = cluster.folder / name / file
            if source.exists():
                shutil.copyfile(source, kept / f"{name}.{file}")
    return kept


def annotate(error: Exception, cluster: Reporter) -> None:
    """Keeps the scene and notes in the error where it is, and what its report says."""
    try:
        place = f"record, logs and settings: {keep(error, cluster)}"
    except OSError as fault:
        place = f"record, logs and settings not kept: {fault}"
    error.add_note(f"{place}\n{cluster.report()}")
