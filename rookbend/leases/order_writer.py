"""The writer of the order log: numbers and adds orders while the leader holds the lease.

A new writer first reads from a majority all entries beyond those that it knows to be committed. Of two entries with
the same number, the one with the higher token may have been acknowledged to an operator, so the writer has it stored
again under its own token before any new entry.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from rookbend.leases.lease import Quorums, majority_granted_since
from rookbend.leases.order_log import NO_ORIGIN, OrderLog, supersedes
from rookbend.protocol.lease_messages import Entry, OrderOrigin

MAX_PENDING_ORDERS = 200
MAX_UNCOMMITTED_ENTRIES = 16


@dataclass(slots=True)
class PendingOrder:
    """An order that is not committed yet; `origin` gets its outcome, `stored_by` are voters that stored its entry."""

    target: str
    order: str
    operator: str
    origin: OrderOrigin
    stored_by: set[int] = field(default_factory=set)


def has_majority(quorums: Quorums, voters: set[int]) -> bool:
    """Returns whether `voters` include a majority of every voter set."""
    return majority_granted_since(quorums, dict.fromkeys(voters, 1)) > 0


def _last_plausible(committed: int, numbers: Iterable[int]) -> int:
    """Returns the highest number that is reached without a gap wider than a writer can leave.

    A majority holds every committed number, so there are no gaps among those. Numbers after a wider gap come from a
    faulty peer, and filling such a gap could take forever.
    """
    last = committed
    for number in sorted(numbers):
        if number - last > MAX_UNCOMMITTED_ENTRIES:
            break
        last = number
    return last


class OrderWriter:
    """Writes under one token: first reads from a majority, then numbers orders as they arrive."""

    def __init__(self, log: OrderLog, token: int, quorums: Quorums):
        self._log = log
        self.token = token
        self.quorums = quorums
        self._first_unread = log.committed
        self._read_up_to: dict[int, int] = {}  # by voter: number up to which its entries have been read
        self._last: dict[int, int] = {}  # by voter: the highest number that it holds
        self._committed: dict[int, int] = {}  # by voter: the number up to which it knows entries to be committed
        self._entries: dict[int, dict[int, Entry]] = {}  # by voter, by number
        self.reading = True
        self._next_number = 0
        self.uncommitted: dict[int, tuple[Entry, PendingOrder]] = {}  # by number
        self._queue: deque[PendingOrder] = deque()

    # Reading

    def read_after(self, voter: int) -> int:
        """Returns the number after which that voter's entries must be fetched."""
        return self._read_up_to.get(voter, self._first_unread)

    def entries_read(self, voter: int, after: int, last: int, committed: int, entries: Sequence[Entry]) -> bool:
        """Records a batch of a voter's entries; returns whether a majority is read. Ignores batches out of order."""
        if not self.reading or after != self.read_after(voter):
            return False
        self._entries.setdefault(voter, {}).update({entry.number: entry for entry in entries})
        self._read_up_to[voter] = entries[-1].number if entries else max(last, after)
        self._last[voter] = last
        self._committed[voter] = committed
        complete = {peer for peer, up_to in self._read_up_to.items() if up_to >= self._last[peer]}
        if not has_majority(self.quorums, complete):
            return False
        self._adopt(sorted(complete))
        return True

    def _adopt(self, voters: list[int]) -> None:
        """Adopts the entries that these voters hold.

        Entries that one of the voters knows to be committed are committed. Entries beyond those may be committed, so
        they are stored again under this writer's token, with an empty entry in each gap.
        """
        self.reading = False
        most_advanced = max(voters, key=lambda voter: self._committed[voter])
        committed = max(self._committed[most_advanced], self._first_unread)
        known = [entry for number, entry in sorted(self._entries[most_advanced].items()) if number <= committed]
        self._log.adopt_committed(known, committed)
        newest: dict[int, Entry] = {}
        for voter in voters:
            for number, entry in self._entries[voter].items():
                if number > committed and supersedes(newest, entry):
                    newest[number] = entry
        last = _last_plausible(committed, newest)
        for number in range(committed + 1, last + 1):
            entry = newest.get(number, Entry(number, 0, "", "", "", NO_ORIGIN))
            self._write(number, PendingOrder(entry.target, entry.order, entry.operator, entry.origin))
        self._next_number = last + 1

    def _write(self, number: int, pending: PendingOrder) -> None:
        entry = Entry(number, self.token, pending.target, pending.order, pending.operator, pending.origin)
        self.uncommitted[number] = entry, pending

    # Writing

    def submit(self, pending: PendingOrder) -> str:
        """Queues an order, unless it is queued or written already; returns an error, empty on success."""
        if len(self._queue) + len(self.uncommitted) >= MAX_PENDING_ORDERS:
            return "too many orders wait"
        if not self._has_queued(pending.origin) and not self._has_written(pending.origin):
            self._queue.append(pending)
        return ""

    def _has_queued(self, origin: OrderOrigin) -> bool:
        return any(queued.origin == origin for queued in self._queue)

    def _has_written(self, origin: OrderOrigin) -> bool:
        return any(written.origin == origin for _, written in self.uncommitted.values())

    def entries_to_store(self) -> list[Entry]:
        """Returns the entries that voters must store; each is returned until a majority has stored it."""
        if self.reading:
            return []
        while self._queue and len(self.uncommitted) < MAX_UNCOMMITTED_ENTRIES:
            pending = self._queue.popleft()
            if self._has_written(pending.origin) or self._log.has_committed(pending.origin):
                continue  # already written by an earlier writer; the origin is answered when it sends the order again
            self._write(self._next_number, pending)
            self._next_number += 1
        return [entry for entry, _ in self.uncommitted.values()]

    def acknowledged(self, voter: int, number: int) -> list[tuple[Entry, PendingOrder]]:
        """Records that a voter has stored an entry; returns the entries that this commits, in order."""
        if number in self.uncommitted:
            self.uncommitted[number][1].stored_by.add(voter)
        committed: list[tuple[Entry, PendingOrder]] = []
        while self.uncommitted:
            first = min(self.uncommitted)
            if not has_majority(self.quorums, self.uncommitted[first][1].stored_by):
                break
            committed.append(self.uncommitted.pop(first))
        return committed
