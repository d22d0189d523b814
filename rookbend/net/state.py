"""The driver of durable state: hands batches to the writer thread, and their ends back to the loop."""

from __future__ import annotations

import contextlib
from pathlib import Path

import trio

from rookbend.config import ConfigError
from rookbend.net.component import Component, ComponentContext
from rookbend.state.disk import Disk, Writer
from rookbend.state.ledger import Done, Ledger
from rookbend.state.model import Identity, StateError


class StatePart(Component):
    """`boot` is the number of this life. Raises ConfigError where the folder can't be used."""

    descriptors = 8

    def __init__(self, site: ComponentContext):
        wanted, self.clock, self.log = site.operators.state, site.clock, site.log
        try:
            self.disk = Disk(Path(wanted.folder), Identity(site.config.name, wanted.fleet))
        except StateError as fault:
            raise ConfigError(str(fault)) from None
        self.ledger = Ledger(wanted.most, self.disk.rows)
        self.disk.rows = {}
        self.boot = self.disk.boot
        self._changed = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._was_degraded = False
        site.gauges.append(self.gauges)
        if self.disk.moved:
            self.log("state_damaged", "error", moved=self.disk.moved)
        self.log("state_open", folder=wanted.folder, boot=self.boot, rows=sum(map(len, self.ledger.rows.values())))

    def gauges(self) -> dict[str, float]:
        ledger = self.ledger
        return {
            "state_bytes": ledger.bytes,
            "state_degraded": ledger.degraded,
            "state_batches": ledger.batches,
            "state_batches_failed": ledger.failed,
            "state_refused": ledger.refused,
            "state_evicted": ledger.evicted,
            "boot_number": self.boot,
        }

    def put(self, kind: str, key: str, value: bytes, done: Done | None = None) -> None:
        """See `Ledger.put`; the loop does not wait."""
        self.ledger.put(self.clock.now(), kind, key, value, done)
        self._changed.set()

    def put_by(self, kind: str, key: str, value: bytes, by_us: int, done: Done) -> None:
        """The same, but `done` hears by then: a disk that hangs keeps nobody waiting for longer."""
        self._nursery.start_soon(self._put_by, kind, key, value, by_us, done)

    async def _put_by(self, kind: str, key: str, value: bytes, by_us: int, done: Done) -> None:
        ended, found = trio.Event(), []

        def heard(safe: bool) -> None:
            found.append(safe)
            ended.set()

        self.put(kind, key, value, heard)
        with trio.move_on_at(self.clock.monotonic_at(by_us)):
            await ended.wait()
        done(found == [True])

    def drop(self, kind: str, key: str, done: Done | None = None) -> None:
        self.ledger.drop(kind, key, done)
        self._changed.set()

    def raise_boot(self, boot: int) -> None:
        """Others knew of a life of ours with a number as high: this life takes a higher one."""
        self.boot = boot
        self.writer.raise_boot(boot)

    def start(self, nursery: trio.Nursery) -> None:
        token = trio.lowlevel.current_trio_token()
        self._nursery = nursery

        def ended(number: int, fault: str) -> None:
            # the loop has ended: nobody waits any more
            with contextlib.suppress(trio.RunFinishedError):
                token.run_sync_soon(self._ended, number, fault)

        self.writer = Writer(self.disk, ended)
        nursery.start_soon(self._run)

    def _ended(self, number: int, fault: str) -> None:
        self.ledger.ended(self.clock.now(), number, fault)
        if fault and not self._was_degraded:
            self.log("state_degraded", "error", reason=fault)
        elif self._was_degraded and not fault:
            self.log("state_well")
        self._was_degraded = bool(fault)
        self._changed.set()

    async def _run(self) -> None:
        try:
            while True:
                self._changed = trio.Event()
                batch = self.ledger.take(self.clock.now())
                if batch is not None:
                    self.writer.write(batch)
                with trio.CancelScope() as scope:
                    if due := self.ledger.due_us():
                        scope.deadline = self.clock.monotonic_at(due)
                    await self._changed.wait()
        finally:
            # What was handed over is written before the process ends; what was not goes in one last batch.
            last = self.ledger.take(self.clock.now())
            if last is not None:
                self.writer.write(last)
            with trio.CancelScope(shield=True):
                await trio.to_thread.run_sync(self.writer.stop)
            self.disk.close()
