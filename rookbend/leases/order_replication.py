"""Operators' orders for the whole fleet: numbered by one writer, stored by a majority of the voters before
the operator hears "done", brought to every director in order. Pure.

`Log` is what each director holds: entries by number, the number up to which they stand, and up to which they
took effect here. `Writer` is what the owner of the scope adds to it. A new writer first reads what a majority
holds beyond what it knows to stand: of two entries with one number the one with the higher token is the one
that may have been answered, and it is stored again under the new token before anything else is."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from rookbend.leases.lease import agreed
from rookbend.protocol.leases import Entry

KEPT = 2_000  # entries that stand, beyond the last of each member
COPY, BLANK = -1, -1  # in place of a token: all there is; of what stands: nothing is known here
NOBODY = -1, 0, 0  # whose an entry is that fills a hole
WAITING = 200  # orders that wait for the writer


def outranks(entries: Mapping[int, Entry], entry: Entry) -> bool:
    """Whether of that number there is nothing, or something with an older token."""
    old = entries.get(entry[0])
    return old is None or entry[1] > old[1]


class Log:
    def __init__(self, entries: Mapping[int, Entry] | None = None, committed: int = 0):
        self.entries: dict[int, Entry] = dict(sorted((entries or {}).items()))
        self.committed, self.applied = committed, 0
        self.unsaved: list[Entry] = []  # taken, and not on disk yet
        self.by_whose = {entry[5]: number for number, entry in self.entries.items()}

    @property
    def last(self) -> int:
        return max(self.entries, default=0)

    def put(self, entry: Entry) -> bool:
        """Whether it is new here."""
        if not outranks(self.entries, entry):
            return False
        self._store(entry)
        return True

    def _store(self, entry: Entry) -> None:
        self.entries[entry[0]] = entry
        self.by_whose[entry[5]] = entry[0]

    def stands(self, whose: tuple[int, int, int]) -> bool:
        """Whether that order stands already."""
        number = self.by_whose.get(whose, 0)
        return 0 < number <= self.committed and self.entries.get(number, (0,) * 6)[5] == whose

    def after(self, number: int, last: int) -> list[Entry]:
        return [self.entries[n] for n in sorted(self.entries) if number < n <= last]

    def stands_to(self, number: int, token: int) -> None:
        """The entries up to it stand, as the writer with that token says: of those held here only a run with
        its own token is known to be what stands. What an earlier writer put here may have been stored by no
        majority, and another stand in its place: that is fetched from who knows."""
        while self.committed < number and self.entries.get(self.committed + 1, (0, -1))[1] == token:
            self.committed += 1

    def take(self, entries: tuple[Entry, ...], upto: int) -> None:
        """Entries that stand, as one who knows tells."""
        for entry in entries:
            old = self.entries.get(entry[0])
            if entry[0] > self.committed and entry[0] <= upto and old != entry:
                self._store(entry)
                self.unsaved.append(entry)
        self.committed = max(self.committed, upto)

    def due(self) -> list[Entry]:
        """What stands and has not taken effect here, in order."""
        out = self.after(self.applied, self.committed)
        self.applied = max(self.applied, self.committed)
        return out

    def compact(self) -> list[int]:
        """Numbers of entries that are dropped: overtaken by a later one on the same member, and old."""
        if len(self.entries) <= KEPT:
            return []
        newest = {entry[2]: number for number, entry in sorted(self.entries.items()) if number <= self.committed}
        gone = [
            n
            for n, e in sorted(self.entries.items())
            if n <= min(self.committed, self.applied) and newest.get(e[2]) != n
        ]
        gone = gone[: len(self.entries) - KEPT]
        for number in gone:
            self.by_whose.pop(self.entries.pop(number)[5], None)
        return gone


class Copying:
    """A voter whose disk is lost or old reads all that the other voters hold before a writer may read it: of
    any majority that stored an entry with it, one is among those it has read. Where all others have nothing
    either, there is nothing."""

    def __init__(self, me: int):
        self.me, self.stands = me, 0
        self.reads: dict[int, int] = {}
        self.full: set[int] = set()
        self.blank: set[int] = set()
        self.entries: dict[int, Entry] = {}

    @property
    def ended(self) -> set[int]:
        return self.full | self.blank

    def read_from(self, voter: int) -> int:
        return self.reads.get(voter, 0)

    def heard(self, voter: int, after: int, last: int, committed: int, entries: tuple[Entry, ...]) -> None:
        if voter == self.me or after != self.read_from(voter):
            return
        if committed == BLANK:
            self.blank.add(voter)
            return
        self.blank.discard(voter)
        self.stands = max(self.stands, committed)
        for entry in entries:
            if outranks(self.entries, entry):
                self.entries[entry[0]] = entry
        self.reads[voter] = entries[-1][0] if entries else max(last, after)
        if self.reads[voter] >= last:
            self.full.add(voter)

    def done(self, sets: tuple[frozenset[int], ...]) -> bool:
        return all(
            len(self.full & voters) > len(voters) // 2 or voters - {self.me} <= self.ended
            for voters in sets
            if self.me in voters
        )

    def newest(self) -> list[Entry]:
        return [entry for _, entry in sorted(self.entries.items())]


@dataclass(slots=True)
class Waiting:
    """An order on its way; `whose` gets the answer: (place, life, id)."""

    member: str
    order: str
    by: str
    whose: tuple[int, int, int]
    yes: dict[int, int] = field(default_factory=dict)
    entry: Entry | None = None


class Writer:
    """While the scope is owned, with that token. A majority is read first, then orders follow one another."""

    def __init__(self, log: Log, token: int, sets: tuple[frozenset[int], ...]):
        self.log, self.token, self.sets = log, token, sets
        self.from_number = log.committed
        self.reads: dict[int, int] = {}  # voter: the number up to which it has given all
        self.lasts: dict[int, int] = {}  # the highest it holds
        self.stands: dict[int, int] = {}  # and up to which it knows what stands
        self.found: dict[int, dict[int, Entry]] = {}  # by voter, by number
        self.reading = True
        self.next = 0
        self.out: dict[int, Waiting] = {}  # by number, not stored by a majority yet
        self.waiting: deque[Waiting] = deque()

    # Reading

    def read_from(self, voter: int) -> int:
        """Ask it for what comes after this."""
        return self.reads.get(voter, self.from_number)

    def heard(self, voter: int, after: int, last: int, committed: int, entries: tuple[Entry, ...]) -> bool:
        """What a voter holds; whether with it a majority is read. Pieces come in order, or don't count."""
        if not self.reading or after != self.read_from(voter):
            return False
        self.found.setdefault(voter, {}).update({entry[0]: entry for entry in entries})
        self.reads[voter] = entries[-1][0] if entries else max(last, after)
        self.lasts[voter], self.stands[voter] = last, committed
        done = {v: 1 for v, at in self.reads.items() if at >= self.lasts[v]}
        if not agreed(self.sets, done):
            return False
        self._adopt(sorted(done))
        return True

    def _adopt(self, voters: list[int]) -> None:
        """What one of these knows to stand stands. What they hold beyond that may stand: of two entries with
        one number, the one with the higher token. It is stored again under our token, and so is nothing in
        place of what none of them holds."""
        self.reading = False
        knows = max(voters, key=lambda v: self.stands[v])
        stands = max(self.stands[knows], self.from_number)
        self.log.take(tuple(e for n, e in sorted(self.found[knows].items()) if n <= stands), stands)
        newest: dict[int, Entry] = {}
        for voter in voters:
            for number, entry in self.found[voter].items():
                if number > stands and outranks(newest, entry):
                    newest[number] = entry
        last = max(newest, default=stands)
        for number in range(stands + 1, last + 1):
            _, _, member, order, by, whose = newest.get(number, (0, 0, "", "", "", NOBODY))
            self.out[number] = Waiting(member, order, by, whose, entry=(number, self.token, member, order, by, whose))
        self.next = last + 1

    # Writing

    def give(self, waiting: Waiting) -> str:
        """Takes an order; "" or why not."""
        if len(self.waiting) + len(self.out) >= WAITING:
            return "too many orders wait"
        if not any(w.whose == waiting.whose for w in (*self.waiting, *self.out.values())):
            self.waiting.append(waiting)  # else it was sent again
        return ""

    def entries(self) -> list[Entry]:
        """What is to be stored by the voters: again and again, until a majority has."""
        if self.reading:
            return []
        while self.waiting and len(self.out) < 16:
            w = self.waiting.popleft()
            if any(o.whose == w.whose for o in self.out.values()) or self.log.stands(w.whose):
                continue  # an earlier writer wrote it down; it is answered as it is sent again
            w.entry = (self.next, self.token, w.member, w.order, w.by, w.whose)
            self.out[self.next] = w
            self.next += 1
        return [w.entry for w in self.out.values()]

    def appended(self, voter: int, number: int) -> list[Waiting]:
        """A voter has stored it; what stands now, in order."""
        if (w := self.out.get(number)) is not None:
            w.yes[voter] = 1
        done = []
        while self.out:
            first = min(self.out)
            if not agreed(self.sets, self.out[first].yes):
                break
            done.append(self.out.pop(first))
        return done
