"""Runs directors as separate processes, started as an operator starts them."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import trio

from rookbend.testing.process_memory import read_memory

_READY_POLL_S = 0.005
_LOGGED_EVENT = re.compile(rb'event(?:=|": ?")(\w+)')  # in either format of the log
_CATCH_UP_BEGAN = b"known_events_applied"  # earlier versions don't catch up
_CATCH_UP_ENDED = {b"caught_up", b"catch_up_incomplete"}


class DirectorProcess:
    """A director process that runs the code of `checkout`; its configuration and log are in `folder`."""

    def __init__(
        self,
        checkout: Path | str,
        folder: Path,
        config: dict[str, Any],
        operators: str = "",
        python: str = sys.executable,
    ) -> None:
        self.checkout = checkout
        self.folder = folder
        self.python = python
        self.log = folder / "log"
        self.process: subprocess.Popen[bytes] | None = None
        self._has_coordinator = bool(config.get("coordinator"))
        (folder / "config.json").write_text(json.dumps(config))
        (folder / "rookbend.conf").write_text(operators)

    def start(self) -> float:
        """Starts the process and waits until it is ready; returns the start-up time in seconds.

        Raises RuntimeError with the log's text if the process ends before.
        """
        started_s = time.monotonic()
        environ = {
            **os.environ,
            "NODE_CONFIG": str(self.folder / "config.json"),
            "NODE_SETTINGS": str(self.folder / "rookbend.conf"),
        }
        command = [self.python, "-m", "rookbend"]
        with open(self.log, "wb") as log:
            process = subprocess.Popen(command, cwd=self.checkout, env=environ, stderr=log)
        self.process = process
        while not self._is_ready():
            if process.poll() is not None:
                raise RuntimeError(self.log.read_text())
            time.sleep(_READY_POLL_S)
        return time.monotonic() - started_s

    def _is_ready(self) -> bool:
        """Whether the log tells that the director listens, and holds no requests that wait for the coordinator."""
        events = set(_LOGGED_EVENT.findall(self.log.read_bytes()))
        is_catching_up = self._has_coordinator and _CATCH_UP_BEGAN in events and not events & _CATCH_UP_ENDED
        return b"ready" in events and not is_catching_up

    def resident_kb(self) -> int:
        """Returns the resident memory in KiB. Raises RuntimeError if the process has ended."""
        memory = read_memory(self._started_process.pid)
        if memory is None:
            raise RuntimeError("the director process has ended")
        return memory.resident_kb

    def cpu_s(self) -> float:
        """Returns the CPU time used in user and system mode (proc(5): fields 14 and 15 of stat)."""
        fields = Path(f"/proc/{self._started_process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def stop(self) -> int:
        """Ends the process with SIGTERM; returns its exit code."""
        self._started_process.send_signal(signal.SIGTERM)
        return self._started_process.wait()

    @property
    def _started_process(self) -> subprocess.Popen[bytes]:
        if self.process is None:
            raise RuntimeError("the director process was not started")
        return self.process


@asynccontextmanager
async def running_directors(*directors: DirectorProcess) -> AsyncIterator[None]:
    """Runs directors while the block runs, and stops them even if it fails, so that no process is left behind."""
    try:
        for director in directors:
            await trio.to_thread.run_sync(director.start)
        yield
    finally:
        with trio.CancelScope(shield=True):
            for director in directors:
                if director.process is not None:
                    await trio.to_thread.run_sync(director.stop)


def find_free_port(host: str = "127.0.0.1", kind: int = socket.SOCK_STREAM) -> int:
    """Returns a port that is currently free on the host."""
    with socket.socket(socket.AF_INET, kind) as free_socket:
        free_socket.bind((host, 0))
        port: int = free_socket.getsockname()[1]
        return port
