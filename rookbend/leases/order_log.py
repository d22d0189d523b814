"""The log of operators' orders at one director: numbered entries, committed and applied up to a number."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from rookbend.protocol.lease_messages import Entry, OrderOrigin

MAX_ENTRIES = 2_000  # committed ones, beyond the last of each target
NO_ORIGIN = OrderOrigin(-1, 0, 0)  # of an entry that fills a gap


def supersedes(entries: Mapping[int, Entry], entry: Entry) -> bool:
    """Whether there is no entry of that number yet, or one with an older token."""
    old = entries.get(entry.number)
    return old is None or entry.token > old.token


class OrderLog:
    """`entries` by number; all up to `committed` are committed, all up to `applied` took effect here."""

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
        """Stores an entry that may not be committed; whether it is new here."""
        if not supersedes(self.entries, entry):
            return False
        self._store(entry)
        return True

    def _store(self, entry: Entry) -> None:
        self.entries[entry.number] = entry
        self._number_by_origin[entry.origin] = entry.number

    def has_committed(self, origin: OrderOrigin) -> bool:
        """Whether the order of that origin is committed already."""
        number = self._number_by_origin.get(origin, 0)
        entry = self.entries.get(number)
        return 0 < number <= self.committed and entry is not None and entry.origin == origin

    def entries_between(self, after: int, last: int) -> list[Entry]:
        """The entries with numbers above `after`, up to `last`."""
        return [self.entries[number] for number in sorted(self.entries) if after < number <= last]

    def commit_contiguous(self, number: int, token: int) -> None:
        """The writer with that token says that all up to a number is committed.

        Of the entries held here only a run with its own token is known to be what is committed. What an earlier
        writer put here may be stored by no majority, and another committed in its place: that has to be fetched.
        """
        while self.committed < number:
            entry = self.entries.get(self.committed + 1)
            if entry is None or entry.token != token:
                return
            self.committed += 1

    def adopt_committed(self, entries: Iterable[Entry], up_to: int) -> None:
        """Takes committed entries of a director that knows them; they are unsaved."""
        for entry in entries:
            if self.committed < entry.number <= up_to and self.entries.get(entry.number) != entry:
                self._store(entry)
                self._unsaved.append(entry)
        self.committed = max(self.committed, up_to)

    def take_unsaved(self) -> list[Entry]:
        """Entries that were adopted since the last call."""
        unsaved = self._unsaved
        self._unsaved = []
        return unsaved

    def take_unapplied(self) -> list[Entry]:
        """Committed entries that have not taken effect here, in order; they count as applied from now on."""
        entries = self.entries_between(self.applied, self.committed)
        self.applied = max(self.applied, self.committed)
        return entries

    def compact(self) -> list[int]:
        """Drops old entries that a later one on the same target supersedes; their numbers."""
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
