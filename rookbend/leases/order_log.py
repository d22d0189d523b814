"""One director's copy of the log of operators' orders: numbered entries, committed and applied up to a number."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from rookbend.protocol.lease_messages import Entry, OrderOrigin

MAX_ENTRIES = 2_000  # above it, entries that a later one on the same target supersedes are dropped
NO_ORIGIN = OrderOrigin(-1, 0, 0)  # origin of an empty entry that fills a gap


def supersedes(entries: Mapping[int, Entry], entry: Entry) -> bool:
    """Returns whether `entries` has no entry of that number, or one with a lower token."""
    old = entries.get(entry.number)
    return old is None or entry.token > old.token


class OrderLog:
    """Entries by number; those up to `committed` are committed, those up to `applied` have taken effect here."""

    def __init__(self, entries: Mapping[int, Entry], committed: int):
        self.entries: dict[int, Entry] = dict(sorted(entries.items()))
        self.committed = committed
        self.applied = 0
        self._unsaved: list[Entry] = []
        self._number_by_origin = {entry.origin: number for number, entry in self.entries.items()}

    @property
    def last(self) -> int:
        """The highest number of an entry, or 0."""
        return max(self.entries, default=0)

    def put(self, entry: Entry) -> bool:
        """Stores an entry that need not be committed; returns False if it does not supersede the one stored here."""
        if not supersedes(self.entries, entry):
            return False
        self._store(entry)
        return True

    def _store(self, entry: Entry) -> None:
        self.entries[entry.number] = entry
        self._number_by_origin[entry.origin] = entry.number

    def has_committed(self, origin: OrderOrigin) -> bool:
        """Returns whether the order of that origin is already committed."""
        number = self._number_by_origin.get(origin, 0)
        entry = self.entries.get(number)
        return 0 < number <= self.committed and entry is not None and entry.origin == origin

    def entries_between(self, after: int, last: int) -> list[Entry]:
        """Returns the entries with numbers above `after` and up to `last`, in order."""
        return [self.entries[number] for number in sorted(self.entries) if after < number <= last]

    def commit_contiguous(self, number: int, token: int) -> None:
        """Commits entries up to `number`, which the writer with `token` reports as committed.

        Stops at the first entry that is missing or has another token. An entry of an earlier writer may not be the
        committed one: another entry may have been committed in its place, so the number has to be fetched.
        """
        while self.committed < number:
            entry = self.entries.get(self.committed + 1)
            if entry is None or entry.token != token:
                return
            self.committed += 1

    def adopt_committed(self, entries: Iterable[Entry], up_to: int) -> None:
        """Stores committed entries from another director's log or the writer; new ones count as unsaved."""
        for entry in entries:
            if self.committed < entry.number <= up_to and self.entries.get(entry.number) != entry:
                self._store(entry)
                self._unsaved.append(entry)
        self.committed = max(self.committed, up_to)

    def take_unsaved(self) -> list[Entry]:
        """Removes and returns the entries that were adopted since the last call."""
        unsaved = self._unsaved
        self._unsaved = []
        return unsaved

    def take_unapplied(self) -> list[Entry]:
        """Returns the committed entries that are not applied yet, in order, and marks them as applied."""
        entries = self.entries_between(self.applied, self.committed)
        self.applied = max(self.applied, self.committed)
        return entries

    def compact(self) -> list[int]:
        """Drops the oldest applied entries that a later one on the same target supersedes; returns their numbers.

        Does nothing while there are at most `MAX_ENTRIES`.
        """
        if len(self.entries) <= MAX_ENTRIES:
            return []
        in_order = sorted(self.entries.items())
        newest = {entry.target: number for number, entry in in_order if number <= self.committed}
        oldest_needed = min(self.committed, self.applied)
        dropped = [
            number for number, entry in in_order if number <= oldest_needed and newest.get(entry.target) != number
        ]
        dropped = dropped[: len(self.entries) - MAX_ENTRIES]
        for number in dropped:
            self._number_by_origin.pop(self.entries.pop(number).origin, None)
        return dropped
