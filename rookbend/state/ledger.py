"""The rows in memory, the changes that wait to be written, and the outcome of each write; does no I/O.

    put, drop       make a change, in memory at once and on disk later
    take            returns the next batch for the writer, or None while one is in flight or nothing is dirty
    ended           handles the outcome of a batch, and calls the callbacks of its changes

Only one batch is in flight at a time; the next one takes all changes made meanwhile (group commit). If the disk refuses
a batch (full, read-only, broken), the ledger is `degraded`: changes with a callback are undone in memory and reported
as not durable; all others stay dirty and are retried with the next batch. The first batch that succeeds ends the
degraded state.

Each kind has a maximum number of rows: beyond it the oldest rows of the kind are evicted. All rows together have a
maximum size: beyond it the oldest rows of kinds marked `evict_first` are evicted, then the oldest of the kind of the
row just stored.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from rookbend.state.model import KINDS, Row

Key = tuple[str, str]  # kind, key
Done = Callable[[bool], None]  # called with whether the change is durable
RETRY_US = 1_000_000


@dataclass(slots=True)
class AwaitedChange:
    """A change with a callback: the row before and after it, or None."""

    key: Key
    before: Row | None
    after: Row | None
    done: Done


@dataclass(slots=True)
class Batch:
    """The changes of one transaction: by key the row to store, or None to delete it."""

    number: int
    changes: dict[Key, Row | None]
    awaited: list[AwaitedChange] = field(default_factory=list)


class Ledger:
    """`rows` are by kind and key, oldest first; `bytes` is their total size. `fault` is why the last batch failed, ""
    if it succeeded. Counters: all `batches`, `failed` batches, `refused` changes with a callback, `evicted` rows."""

    def __init__(self, max_bytes: int, rows: Mapping[Key, Row] | None = None):
        self.max_bytes = max_bytes
        self.bytes = 0
        self.rows: dict[str, dict[str, Row]] = {name: {} for name in KINDS}
        self.fault = ""
        self.batches = 0
        self.failed = 0
        self.refused = 0
        self.evicted = 0
        self._dirty: dict[Key, None] = {}
        self._awaited: list[AwaitedChange] = []
        self._in_flight: Batch | None = None
        self._retry_us = 0
        for (kind, key), row in sorted((rows or {}).items(), key=lambda item: item[1].stored_us):
            if kind in self.rows:
                self._set(kind, key, row)

    @property
    def degraded(self) -> bool:
        """Whether the last batch failed."""
        return bool(self.fault)

    # Reading

    def get(self, kind: str, key: str) -> Row | None:
        """A row, or None."""
        return self.rows[kind].get(key)

    def all(self, kind: str) -> dict[str, Row]:
        """The rows of a kind, oldest first. The caller must not change them."""
        return self.rows[kind]

    # Changes

    def put(self, now_us: int, kind: str, key: str, value: bytes, done: Done | None = None) -> None:
        """Stores a row. `done(True)` is called once it is durable, `done(False)` if it could not be written; the change
        is then undone in memory too."""
        before = self.rows[kind].get(key)
        unchanged = before is not None and before.value == value and (kind, key) not in self._dirty
        if unchanged and done is None:
            return
        self._set(kind, key, Row(value, now_us))
        self._record_change(kind, key, before, done)
        self._enforce_bounds(kind)

    def drop(self, kind: str, key: str, done: Done | None = None) -> None:
        """Deletes a row; `done` as for `put`."""
        before = self.rows[kind].get(key)
        in_flight = self._in_flight is not None and (kind, key) in self._in_flight.changes
        if before is None and not in_flight and (kind, key) not in self._dirty:
            if done is not None:
                done(True)
            return
        # A row that is not in memory may still be on disk, so its deletion is written too.
        self._unset(kind, key)
        self._record_change(kind, key, before, done)

    def _record_change(self, kind: str, key: str, before: Row | None, done: Done | None) -> None:
        self._dirty[kind, key] = None
        if done is not None:
            self._awaited.append(AwaitedChange((kind, key), before, self.rows[kind].get(key), done))

    def _set(self, kind: str, key: str, row: Row) -> None:
        self._unset(kind, key)
        self.rows[kind][key] = row
        self.bytes += row.size + len(key)

    def _unset(self, kind: str, key: str) -> None:
        old = self.rows[kind].pop(key, None)
        if old is not None:
            self.bytes -= old.size + len(key)

    def _enforce_bounds(self, kind: str) -> None:
        rows = self.rows[kind]
        while len(rows) > KINDS[kind].max_rows:
            self._evict(kind)
        if self.bytes <= self.max_bytes:
            return
        # Other rows of the kind of the row just stored are evicted last, and the row just stored is never evicted.
        evictable = [candidate.name for candidate in KINDS.values() if candidate.evict_first]
        for name in [*evictable, kind]:
            others = len(self.rows[name]) - (name == kind)
            while self.bytes > self.max_bytes and others > 0:
                self._evict(name)
                others -= 1

    def _evict(self, kind: str) -> None:
        oldest = next(iter(self.rows[kind]))
        self._unset(kind, oldest)
        self._dirty[kind, oldest] = None
        self.evicted += 1

    # The writer

    def due_us(self) -> int:
        """When `take` must be called again to retry a failed batch, or 0."""
        return self._retry_us if self.fault and self._dirty and self._in_flight is None else 0

    def take(self, now_us: int) -> Batch | None:
        """The next batch for the writer, or None."""
        if self._in_flight is not None or not self._dirty:
            return None
        if self.fault and now_us < self._retry_us and not self._awaited:
            return None  # no caller waits for a change, so retries are RETRY_US apart
        self.batches += 1
        changes = {(kind, key): self.rows[kind].get(key) for kind, key in self._dirty}
        self._in_flight = Batch(self.batches, changes, self._awaited)
        self._dirty = {}
        self._awaited = []
        return self._in_flight

    def ended(self, now_us: int, number: int, fault: str = "") -> None:
        """Handles the end of batch `number`: it is durable, or `fault` says why it is not."""
        batch = self._in_flight
        if batch is None or batch.number != number:
            return
        self._in_flight = None
        self.fault = fault
        if fault:
            self._batch_failed(now_us, batch)
        for change in batch.awaited:
            change.done(not fault)

    def _batch_failed(self, now_us: int, batch: Batch) -> None:
        self.failed += 1
        self.refused += len(batch.awaited)
        self._retry_us = now_us + RETRY_US
        for key in batch.changes:
            self._dirty.setdefault(key, None)
        # The newest change is undone first, so that the row from before the oldest refused change is restored.
        for change in reversed(batch.awaited):
            self._undo(change)

    def _undo(self, refused: AwaitedChange) -> None:
        kind, key = refused.key
        later = next((change for change in self._awaited if change.key == refused.key), None)
        if later is not None and later.before is refused.after:
            later.before = refused.before  # otherwise undoing the later change would restore the refused one
        elif self.rows[kind].get(key) is not refused.after:
            return  # the row was changed again since: the later change is kept
        elif refused.before is None:
            self._unset(kind, key)
        else:
            self._set(kind, key, refused.before)
