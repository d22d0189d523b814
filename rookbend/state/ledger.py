"""The rows in memory, the changes that wait to be written, and their outcome; does no I/O.

    put, drop       a change: in memory at once, on disk later
    take            the next batch for the writer, or None while one is in flight or nothing waits
    ended           the outcome of the batch; whoever asked for durability is notified

One batch is in flight at a time and takes all changes that gathered meanwhile: group commit. Where the disk refuses a
batch (full, read-only, broken), the ledger is `degraded`: awaited changes are undone in memory and their callers told
that they are not durable; all others stay dirty and go out with the next try. The first batch that succeeds ends this.

Bounds: rows by kind, bytes of all together; the oldest are evicted, kinds marked `evict_first` first.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from rookbend.state.model import KINDS, Row

Key = tuple[str, str]  # kind, key
Done = Callable[[bool], None]  # whether the change is durable
RETRY_US = 1_000_000


@dataclass(slots=True)
class AwaitedChange:
    """A change whose durability is awaited: the row before it and after it, None where there is none."""

    key: Key
    before: Row | None
    after: Row | None
    done: Done


@dataclass(slots=True)
class Batch:
    """What the writer puts into one transaction: a row, or None where it is to be deleted."""

    number: int
    changes: dict[Key, Row | None]
    awaited: list[AwaitedChange] = field(default_factory=list)


class Ledger:
    """`rows` by kind and key, oldest first; `bytes` of all; `fault` is why the last batch was refused, "" if it was
    not. `batches`, `failed`, `refused` (awaited changes) and `evicted` (rows) count."""

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
        """Whether the disk refused the last batch."""
        return bool(self.fault)

    # Reading

    def get(self, kind: str, key: str) -> Row | None:
        """One row."""
        return self.rows[kind].get(key)

    def all(self, kind: str) -> dict[str, Row]:
        """The rows of a kind, oldest first; not to be changed."""
        return self.rows[kind]

    # Changes

    def put(self, now_us: int, kind: str, key: str, value: bytes, done: Done | None = None) -> None:
        """Stores a row. `done(True)` is called once it is durable, `done(False)` where it can't be made so, and then
        it is not kept in memory either."""
        before = self.rows[kind].get(key)
        unchanged = before is not None and before.value == value and (kind, key) not in self._dirty
        if unchanged and done is None:
            return
        self._set(kind, key, Row(value, now_us))
        self._changed(kind, key, before, done)
        self._enforce_bounds(kind)

    def drop(self, kind: str, key: str, done: Done | None = None) -> None:
        """Deletes a row; `done` as for `put`."""
        before = self.rows[kind].get(key)
        in_flight = self._in_flight is not None and (kind, key) in self._in_flight.changes
        if before is None and not in_flight and (kind, key) not in self._dirty:
            if done is not None:
                done(True)
            return
        # Gone from memory, it may still be on the disk: its deletion is awaited.
        self._unset(kind, key)
        self._changed(kind, key, before, done)

    def _changed(self, kind: str, key: str, before: Row | None, done: Done | None) -> None:
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
        # The kind that has grown comes last, and the row that was just put is never evicted.
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
        """When `take` is to be called again though nothing changes, or 0."""
        return self._retry_us if self.fault and self._dirty and self._in_flight is None else 0

    def take(self, now_us: int) -> Batch | None:
        """The next batch for the writer, or None."""
        if self._in_flight is not None or not self._dirty:
            return None
        if self.fault and now_us < self._retry_us and not self._awaited:
            return None  # nobody waits: the disk is not tried more often than each RETRY_US
        self.batches += 1
        changes = {(kind, key): self.rows[kind].get(key) for kind, key in self._dirty}
        self._in_flight = Batch(self.batches, changes, self._awaited)
        self._dirty = {}
        self._awaited = []
        return self._in_flight

    def ended(self, now_us: int, number: int, fault: str = "") -> None:
        """The batch is durable, or `fault` says why it is not."""
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
        # The newest change first: the row before the oldest refused one is what is restored.
        for change in reversed(batch.awaited):
            self._undo(change)

    def _undo(self, refused: AwaitedChange) -> None:
        kind, key = refused.key
        later = next((change for change in self._awaited if change.key == refused.key), None)
        if later is not None and later.before is refused.after:
            later.before = refused.before  # or undoing the later one would restore what is refused here
        elif self.rows[kind].get(key) is not refused.after:
            return  # changed again since: that is kept
        elif refused.before is None:
            self._unset(kind, key)
        else:
            self._set(kind, key, refused.before)
