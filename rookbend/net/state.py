"""The driver of durable state: passes batches to the writer thread, and their outcome back to the event loop."""

from __future__ import annotations

import contextlib
from pathlib import Path

import trio

from rookbend.config import ConfigError
from rookbend.net.component import Component, ComponentContext
from rookbend.state.disk import Disk
from rookbend.state.ledger import Done, Ledger
from rookbend.state.model import Identity, StateError
from rookbend.state.writer import Writer


class StateComponent(Component):
    """`ledger` holds the rows; `boot_number` is the number of this start. Raises ConfigError if the folder can't be
    used."""

    descriptors = 8

    def __init__(self, context: ComponentContext):
        state_settings = context.operators.state
        assert state_settings is not None, "durable state is built only if the settings enable it"
        self.clock = context.clock
        self.log = context.log
        try:
            self._disk = Disk(Path(state_settings.folder), Identity(context.config.name, state_settings.fleet))
        except StateError as fault:
            raise ConfigError(str(fault)) from None
        self.ledger = Ledger(state_settings.most, self._disk.rows)
        self._disk.rows = {}
        self.boot_number = self._disk.boot_number
        self._changed = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._writer: Writer | None = None
        self._was_degraded = False
        context.gauges.append(self.gauges)
        if self._disk.moved_aside:
            self.log("state_damaged", "error", moved=self._disk.moved_aside)
        row_count = sum(map(len, self.ledger.rows.values()))
        self.log("state_open", folder=state_settings.folder, boot=self.boot_number, rows=row_count)

    def gauges(self) -> dict[str, float]:
        """Gauges for the metrics."""
        ledger = self.ledger
        return {
            "state_bytes": ledger.bytes,
            "state_degraded": ledger.degraded,
            "state_batches": ledger.batches,
            "state_batches_failed": ledger.failed,
            "state_refused": ledger.refused,
            "state_evicted": ledger.evicted,
            "boot_number": self.boot_number,
        }

    # Changes

    def put(self, kind: str, key: str, value: bytes, done: Done | None = None) -> None:
        """See `Ledger.put`; does not block."""
        self.ledger.put(self.clock.now(), kind, key, value, done)
        self._changed.set()

    def put_by(self, kind: str, key: str, value: bytes, by_us: int, done: Done) -> None:
        """As `put`, but `done` is called by `by_us` at the latest, even if the disk hangs."""
        assert self._nursery is not None, "called before start"
        self._nursery.start_soon(self._put_by, kind, key, value, by_us, done)

    async def _put_by(self, kind: str, key: str, value: bytes, by_us: int, done: Done) -> None:
        ended = trio.Event()
        outcomes: list[bool] = []

        def on_outcome(durable: bool) -> None:
            outcomes.append(durable)
            ended.set()

        self.put(kind, key, value, on_outcome)
        with trio.move_on_at(self.clock.monotonic_at(by_us)):
            await ended.wait()
        done(outcomes == [True])

    def drop(self, kind: str, key: str, done: Done | None = None) -> None:
        """See `Ledger.drop`; does not block."""
        self.ledger.drop(kind, key, done)
        self._changed.set()

    def raise_boot_number(self, boot_number: int) -> None:
        """Raises the number of this start, since a peer knows one that is as high."""
        self.boot_number = boot_number
        assert self._writer is not None, "called before start"
        self._writer.raise_boot_number(boot_number)

    # The writer

    def start(self, nursery: trio.Nursery) -> None:
        """Starts the writer thread and the task that feeds it."""
        token = trio.lowlevel.current_trio_token()
        self._nursery = nursery

        def ended(number: int, fault: str) -> None:
            # Once the event loop has ended, nothing waits for the outcome.
            with contextlib.suppress(trio.RunFinishedError):
                token.run_sync_soon(self._batch_ended, number, fault)

        self._writer = Writer(self._disk, ended)
        nursery.start_soon(self._run, self._writer)

    def _batch_ended(self, number: int, fault: str) -> None:
        self.ledger.ended(self.clock.now(), number, fault)
        if fault and not self._was_degraded:
            self.log("state_degraded", "error", reason=fault)
        elif self._was_degraded and not fault:
            self.log("state_well")
        self._was_degraded = bool(fault)
        self._changed.set()

    async def _run(self, writer: Writer) -> None:
        try:
            while True:
                self._changed = trio.Event()
                batch = self.ledger.take(self.clock.now())
                if batch is not None:
                    writer.write(batch)
                with trio.CancelScope() as scope:
                    if due_us := self.ledger.due_us():
                        scope.deadline = self.clock.monotonic_at(due_us)
                    await self._changed.wait()
        finally:
            # Before the process ends, the writer completes the batches that it was given, and one with the remaining
            # changes.
            last = self.ledger.take(self.clock.now())
            if last is not None:
                writer.write(last)
            with trio.CancelScope(shield=True):
                await trio.to_thread.run_sync(writer.stop)
            self._disk.close()
