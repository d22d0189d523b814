"""Directors as processes of their own, started as an operator starts them."""

from __future__ import annotations

import json
import os
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

_READY_POLL_S = 0.005


class DirectorProcess:
    """A process that runs the program of a checkout; its configuration and log are in `folder`."""

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
        (folder / "config.json").write_text(json.dumps(config))
        (folder / "rookbend.conf").write_text(operators)

    def start(self) -> float:
        """Starts it and waits until it is ready; the seconds that took. Raises RuntimeError where it ends before."""
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
        while b"ready" not in self.log.read_bytes():
            if process.poll() is not None:
                raise RuntimeError(self.log.read_text())
            time.sleep(_READY_POLL_S)
        return time.monotonic() - started_s

    def resident_kb(self) -> int:
        """Its resident memory."""
        for line in Path(f"/proc/{self._running.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1])
        raise RuntimeError("no figure of resident memory")

    def cpu_s(self) -> float:
        """The CPU time that it has used, in user and system mode (proc(5): fields 14 and 15 of stat)."""
        fields = Path(f"/proc/{self._running.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def stop(self) -> int:
        """Ends it by SIGTERM; its exit code."""
        self._running.send_signal(signal.SIGTERM)
        return self._running.wait()

    @property
    def _running(self) -> subprocess.Popen[bytes]:
        if self.process is None:
            raise RuntimeError("the director was not started")
        return self.process


@asynccontextmanager
async def running_directors(*directors: DirectorProcess) -> AsyncIterator[None]:
    """Starts them, and stops them however the block ends: a measurement that failed leaves none behind."""
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
    """A port that is free on the host now."""
    with socket.socket(socket.AF_INET, kind) as free_socket:
        free_socket.bind((host, 0))
        port: int = free_socket.getsockname()[1]
        return port
