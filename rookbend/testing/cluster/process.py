"""A director as a process of its own: it can be started, killed, stopped and continued, and its log is collected.

The process is started with the command of `run` in deploy/balancer.toml, `python -m rookbend`, with its own
configuration, settings and folders. The only test code in it is the modules in `shim/`, which Python loads at its
start: they put the Unix clock that the program reads, and faults of its disk, under the test's control.

A process never outlives its cluster: the kernel kills it when the thread that started it ends (prctl(2),
PR_SET_PDEATHSIG). The main thread has to start it: trio starts processes in threads that end after ten idle seconds,
and every director ended with its thread.
"""

from __future__ import annotations

import ctypes
import json
import mmap
import os
import signal
import struct
import subprocess
import sys
from pathlib import Path

import trio

from rookbend.testing.cluster.record import Record

SHIM = Path(__file__).parent / "shim"
CHECKOUT = Path(__file__).parent.parent.parent.parent
PR_SET_PDEATHSIG = 1
CLOCK = struct.Struct("=dd")  # seconds ahead, rate less one
SHARE = struct.Struct("=d")  # of calls that fail
BEFORE_SEND, AFTER_SEND, IN_SYNC = 1, 2, 3
HANG_TIMEOUT_S = 60.0  # long enough that only waits that would never end reach it
LIBC = ctypes.CDLL(None)


class HungProcessError(AssertionError):
    """An expected event did not happen within `HANG_TIMEOUT_S`, or can no longer happen."""


def die_with_parent() -> None:
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def parse_log_line(line: str) -> dict:
    """Parses a JSON log line. Any other line, such as one of a traceback, becomes the event `raw`."""
    try:
        found = json.loads(line)
        return found if isinstance(found, dict) else {"event": "raw", "text": line}
    except ValueError:
        return {"event": "raw", "text": line}


class Node:
    """A director's process. `start_count` counts its starts; `lines` has the log lines of each."""

    def __init__(
        self, name: str, folder: Path, record: Record, checkout: Path = CHECKOUT, temporary: Path | None = None
    ):
        self.name, self.folder, self.record, self.checkout = name, folder, record, checkout
        self.temporary = temporary or folder / "tmp"  # $TMPDIR; after an upgrade that of the old process
        self.config_file, self.settings_file = folder / "config.json", folder / "rookbend.conf"
        self.process: subprocess.Popen | None = None
        self.start_count = 0
        self.lines: list[list[dict]] = []
        self.changed = trio.Event()
        folder.mkdir(parents=True, exist_ok=True)
        self.temporary.mkdir(exist_ok=True)
        self._clock_file = folder / "clock"
        self._clock_file.write_bytes(CLOCK.pack(0.0, 0.0))
        with open(self._clock_file, "r+b") as f:
            self._clock = mmap.mmap(f.fileno(), CLOCK.size)
        (folder / "calls").write_bytes(SHARE.pack(0.0))
        with open(folder / "calls", "r+b") as f:
            self._failing_calls = mmap.mmap(f.fileno(), SHARE.size)
        (folder / "stops").write_bytes(b"\0")
        with open(folder / "stops", "r+b") as f:
            self._stop_point = mmap.mmap(f.fileno(), 1)

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def set_clock(self, ahead_s: float = 0.0, rate: float = 1.0) -> None:
        """Sets the process's Unix clock ahead of the true time by `ahead_s` seconds, and its rate."""
        self._clock[:] = CLOCK.pack(ahead_s, rate - 1.0)
        self.record.note("fault", self.name, f"clock {ahead_s:+g}s rate {rate:g}")

    def set_failing_calls(self, share: float = 0.0) -> None:
        """Makes this share of the process's socket calls fail or come short; see shim/faultycalls.py."""
        self._failing_calls[:] = SHARE.pack(share)
        self.record.note("fault", self.name, f"calls fail: {share:g}")

    def stop_at(self, stop_point: int = 0) -> None:
        """Makes the process stop itself (SIGSTOP) just before or after it sends a line to the ledger, or while it
        syncs its disk: `BEFORE_SEND`, `AFTER_SEND`, `IN_SYNC`; 0: nowhere."""
        self._stop_point[0] = stop_point

    async def wait_until_stopped(self) -> None:
        """Waits until the process is stopped (state T)."""
        with trio.move_on_after(HANG_TIMEOUT_S):
            while self.running:
                with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as f:
                    if f.read().rpartition(")")[2].split()[0] == "T":
                        return
                await trio.sleep(0.01)
        raise HungProcessError(f"{self.name} did not stop")

    @property
    def state(self) -> Path:
        """The folder that `{state}` stands for in the operators' settings of a cluster."""
        return self.folder / "state"

    def set_disk(self, fault: str = "") -> None:
        """Makes the process's disk `full` or `read-only`; with an empty `fault`, writes succeed again."""
        (self.folder / "disk").write_text(fault)
        self.record.note("fault", self.name, f"disk {fault or 'well'}")

    def start(self, nursery: trio.Nursery, config: dict, operators: str) -> None:
        assert not self.running, f"{self.name} is already running"
        self.config_file.write_text(json.dumps(config))
        self.settings_file.write_text(operators)
        env = {
            **os.environ,
            "NODE_CONFIG": str(self.config_file),
            "NODE_SETTINGS": str(self.settings_file),
            "ROOKBEND_STAGE": str(self.folder),
            "TMPDIR": str(self.temporary),
            "ROOKBEND_STAGE_DISK": "yes" if "[state]" in operators else "",
            "PYTHONPATH": os.pathsep.join(filter(None, (str(SHIM), os.environ.get("PYTHONPATH")))),
        }
        self.process = subprocess.Popen(
            [sys.executable, "-m", "rookbend"],
            cwd=self.checkout,
            env=env,
            stdin=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            preexec_fn=die_with_parent,
        )
        self.start_count += 1
        self.lines.append([])
        self.record.note("start", self.name, f"life {self.start_count}")
        nursery.start_soon(self._read, self.process, self.lines[-1])

    async def _read(self, process: subprocess.Popen, lines: list[dict]) -> None:
        data = b""
        pipe = trio.lowlevel.FdStream(os.dup(process.stderr.fileno()))
        process.stderr.close()
        async with pipe:
            with open(self.folder / "log", "ab") as log:
                async for more in pipe:
                    log.write(more)
                    log.flush()
                    *complete_lines, data = (data + more).split(b"\n")
                    lines += [parse_log_line(line.decode("utf-8", "replace")) for line in complete_lines]
                    self._notify()
        await self._wait_for_process(process)
        self.record.note("end", self.name, f"exit {process.returncode}")
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def find_logs(self, event: str, **fields) -> list[dict]:
        """Returns the log lines since the last start that have this event and these fields."""
        return [
            line
            for line in (self.lines[-1] if self.lines else ())
            if line.get("event") == event and all(line.get(k) == v for k, v in fields.items())
        ]

    async def wait_for_log(self, event: str, **fields) -> dict:
        """Waits for a log line since the last start. Raises `HungProcessError` on a time-out or if the process ends."""
        with trio.move_on_after(HANG_TIMEOUT_S):
            while not (found := self.find_logs(event, **fields)):
                if not self.running:
                    break
                await self.changed.wait()
            else:
                return found[0]
        last = "\n".join(map(str, self.lines[-1][-20:])) if self.lines else ""
        raise HungProcessError(f"{self.name} did not log {event} {fields or ''}; its last lines:\n{last}")

    async def wait_for_exit(self) -> int:
        """Waits for the end of the process. Returns its exit code, negative for a signal."""
        with trio.move_on_after(HANG_TIMEOUT_S):
            await self._wait_for_process(self.process)
            return self.process.returncode
        raise HungProcessError(f"{self.name} did not end")

    @staticmethod
    async def _wait_for_process(process: subprocess.Popen) -> None:
        if process.poll() is None:
            watched = os.pidfd_open(process.pid)
            try:
                await trio.lowlevel.wait_readable(watched)
            finally:
                os.close(watched)
            process.wait()

    def signal(self, number: signal.Signals) -> None:
        if self.running:
            self.record.note("fault", self.name, number.name)
            self.process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
