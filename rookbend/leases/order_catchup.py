"""Catches up the order log of a voter whose storage was lost or stale, before a writer may read it."""

from __future__ import annotations

from collections.abc import Sequence

from rookbend.leases.lease import Quorums
from rookbend.leases.messenger import Messenger
from rookbend.leases.order_log import supersedes
from rookbend.leases.order_store import OrderStore
from rookbend.leases.voter_configuration import VoterConfiguration
from rookbend.protocol.lease_messages import EntriesFetched, Entry, FetchEntries

CATCH_UP_TOKEN = -1  # in place of a token: requests all entries, also uncommitted ones
NOTHING_COMMITTED = -1  # the sender is catching up itself and does not know what is committed
CATCH_UP_INTERVAL_US = 300_000
PREDECESSOR = -1  # in place of a voter's number: this director's predecessor process


class LogCatchUp:
    """Reads the entries of enough other voters that any majority that stored an entry includes one of them.

    If all other voters are catching up too, there is nothing to read.
    """

    def __init__(self, director: int):
        self._director = director
        self.committed = 0
        self._read_up_to: dict[int, int] = {}
        self._complete: set[int] = set()
        self._without_log: set[int] = set()
        self._entries: dict[int, Entry] = {}

    @property
    def finished_voters(self) -> set[int]:
        """Voters that have been read completely or have no log."""
        return self._complete | self._without_log

    def read_after(self, voter: int) -> int:
        """Returns the number after which that voter's entries must be fetched."""
        return self._read_up_to.get(voter, 0)

    def entries_read(self, voter: int, after: int, last: int, committed: int, entries: Sequence[Entry]) -> None:
        """Records a batch of a voter's entries; batches out of order are ignored."""
        if voter == self._director or after != self.read_after(voter):
            return
        if committed == NOTHING_COMMITTED:
            self._without_log.add(voter)
            return
        self._without_log.discard(voter)
        self.committed = max(self.committed, committed)
        for entry in entries:
            if supersedes(self._entries, entry):
                self._entries[entry.number] = entry
        self._read_up_to[voter] = entries[-1].number if entries else max(last, after)
        if self._read_up_to[voter] >= last:
            self._complete.add(voter)

    def is_done(self, quorums: Quorums) -> bool:
        """Returns whether enough was read of each voter set that includes this director.

        Enough is a majority of the set, or all its other voters that have a log.
        """
        return all(
            len(self._complete & voters) > len(voters) // 2 or voters - {self._director} <= self.finished_voters
            for voters in quorums
            if self._director in voters
        )

    def entries(self) -> list[Entry]:
        """Returns the newest entry of each number, in order."""
        return [entry for _, entry in sorted(self._entries.items())]


class OrderCatchUp:
    """Runs a catch-up into `store`; `needed` if durable storage never held a log."""

    def __init__(
        self, director: int, needed: bool, store: OrderStore, voters: VoterConfiguration, messenger: Messenger
    ):
        self._director = director
        self._store = store
        self._voters = voters
        self._messenger = messenger
        self._catch_up = LogCatchUp(director) if needed else None
        self._fetched_us = 0
        self.awaits_predecessor = False  # another process of this director, which passes its log on

    @property
    def in_progress(self) -> bool:
        """Whether the log may lack entries that this voter stored earlier."""
        return self._catch_up is not None

    def restart(self) -> None:
        """Reads the log again, because storage is stale."""
        self._catch_up = LogCatchUp(self._director)

    def await_predecessor(self) -> None:
        """Reads the log of this director's predecessor process, in place of the other voters' logs."""
        self.restart()
        self.awaits_predecessor = True

    def predecessor_entries_received(self, message: EntriesFetched) -> bool:
        """Records a batch of the predecessor's log; returns whether this was the last one."""
        catch_up = self._catch_up
        if catch_up is None:
            return False
        catch_up.entries_read(PREDECESSOR, message.after, message.last, message.committed, message.entries)
        if PREDECESSOR not in catch_up.finished_voters:
            return False
        self.awaits_predecessor = False
        self._finish(catch_up)
        return True

    def tick(self, now_us: int) -> None:
        """Fetches, at intervals, from the voters that have not been read completely."""
        catch_up = self._catch_up
        voters = self._voters.all_voters
        if catch_up is None or self.awaits_predecessor or self._director not in voters:
            return
        if now_us - self._fetched_us < CATCH_UP_INTERVAL_US:
            return
        self._fetched_us = now_us
        for voter in sorted(voters - {self._director} - catch_up.finished_voters):
            self._fetch(now_us, voter, catch_up)
        if catch_up.is_done(self._voters.quorums):  # this director is the only voter
            self._catch_up = None
            self._store.save_committed()

    def _fetch(self, now_us: int, voter: int, catch_up: LogCatchUp) -> None:
        after = catch_up.read_after(voter)
        self._messenger.send(now_us, voter, FetchEntries(*self._messenger.header, CATCH_UP_TOKEN, after))

    def entries_received(self, now_us: int, sender: int, message: EntriesFetched) -> None:
        """Records a batch of a voter's log; finishes the catch-up once enough has been read."""
        catch_up = self._catch_up
        if catch_up is None or self.awaits_predecessor or sender not in self._voters.all_voters:
            return
        catch_up.entries_read(sender, message.after, message.last, message.committed, message.entries)
        if catch_up.is_done(self._voters.quorums):
            self._finish(catch_up)
        elif message.entries:
            self._fetch(now_us, sender, catch_up)

    def _finish(self, catch_up: LogCatchUp) -> None:
        self._catch_up = None
        log = self._store.log
        for entry in catch_up.entries():
            if log.put(entry):
                self._store.save_entry(entry)
        log.committed = max(log.committed, catch_up.committed)
        self._store.save_committed()
        self._store.apply_committed()
