"""A director as a process of its own: started, killed, stopped, continued; what it says on standard error.

It is started as `run` in deploy/balancer.toml starts it, `python -m rookbend`, with its own configuration,
settings and folders. Nothing of the stage is in the process but a module that Python loads at its start
(`shim/`), which puts the Unix clock that the program reads under the stage's control.

A process never outlives its stage: the kernel is asked to kill it when the thread that started it dies
(prctl(2), PR_SET_PDEATHSIG). So it is started by the main thread: trio starts processes in threads that end
after ten idle seconds, and took every director with them.
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
BEFORE_SEND, AFTER_SEND, IN_SYNC = 1, 2, 3
HANG_TIMEOUT_S = 60.0  # no wait of the stage ends by it but one that would never end
LIBC = ctypes.CDLL(None)


class HungProcessError(AssertionError):
    """What was waited for never came."""


def die_with_parent() -> None:
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def parse_log_line(line: str) -> dict:
    """A JSON log line; one that is none (a traceback) is the event `raw`."""
    try:
        found = json.loads(line)
        return found if isinstance(found, dict) else {"event": "raw", "text": line}
    except ValueError:
        return {"event": "raw", "text": line}


class Node:
    """`lives` counts its starts. Log lines are kept by life."""

    def __init__(
        self, name: str, folder: Path, record: Record, checkout: Path = CHECKOUT, temporary: Path | None = None
    ):
        self.name, self.folder, self.record, self.checkout = name, folder, record, checkout
        self.temporary = temporary or folder / "tmp"  # its $TMPDIR, as it was left
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
        (folder / "stops").write_bytes(b"\0")
        with open(folder / "stops", "r+b") as f:
            self._stop_point = mmap.mmap(f.fileno(), 1)

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def set_clock(self, ahead_s: float = 0.0, rate: float = 1.0) -> None:
        """From now on its Unix clock shows the true time and so much more, and runs at that rate."""
        self._clock[:] = CLOCK.pack(ahead_s, rate - 1.0)
        self.record.note("fault", self.name, f"clock {ahead_s:+g}s rate {rate:g}")

    def stop_at(self, where: int = 0) -> None:
        """From now on the process stops itself (SIGSTOP) right before or after the bytes of a line to the
        ledger go out, or in the sync of its disk: `BEFORE_SEND`, `AFTER_SEND`, `IN_SYNC`; 0: nowhere."""
        self._stop_point[0] = where

    async def wait_until_stopped(self) -> None:
        """Waits until it stands still."""
        with trio.move_on_after(HANG_TIMEOUT_S):
            while self.running:
                with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as f:
                    if f.read().rpartition(")")[2].split()[0] == "T":
                        return
                await trio.sleep(0.01)
        raise HungProcessError(f"{self.name} did not stop")

    @property
    def state(self) -> Path:
        """The folder that `{state}` names in the operators' settings of a scene."""
        return self.folder / "state"

    def set_disk(self, fault: str = "") -> None:
        """From now on its disk is `full` or `read-only`, or well again."""
        (self.folder / "disk").write_text(fault)
        self.record.note("fault", self.name, f"disk {fault or 'well'}")

    def start(self, nursery: trio.Nursery, config: dict, operators: str) -> None:
        assert not self.running, f"{self.name} runs already"
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
                    *whole, data = (data + more).split(b"\n")
                    lines += [parse_log_line(line.decode("utf-8", "replace")) for line in whole]
                    self._notify()
        await self._wait_for_process(process)
        self.record.note("end", self.name, f"exit {process.returncode}")
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def find_logs(self, event: str, **fields) -> list[dict]:
        """Lines of this life with that event and those fields."""
        return [
            line
            for line in (self.lines[-1] if self.lines else ())
            if line.get("event") == event and all(line.get(k) == v for k, v in fields.items())
        ]

    async def wait_for_log(self, event: str, **fields) -> dict:
        """Waits for a log line of this life. Raises `HungProcessError` where the process ends without it."""
        with trio.move_on_after(HANG_TIMEOUT_S):
            while not (found := self.find_logs(event, **fields)):
                if not self.running:
                    break
                await self.changed.wait()
            else:
                return found[0]
        last = "\n".join(map(str, self.lines[-1][-20:])) if self.lines else ""
        raise HungProcessError(f"{self.name} did not say {event} {fields or ''}; its last lines:\n{last}")

    async def wait_for_exit(self) -> int:
        """Waits for its end; the exit code, negative for a signal."""
        with trio.move_on_after(HANG_TIMEOUT_S):
            await self._wait_for_process(self.process)
            return self.process.returncode
        raise HungProcessError(f"{self.name} does not end")

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
