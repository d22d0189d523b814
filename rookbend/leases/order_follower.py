"""The order log at a director that is not its writer: stores entries as a voter, serves and fetches entries."""

from __future__ import annotations

import random
from dataclasses import dataclass

import msgspec

from rookbend.leases.awaited_rows import AwaitedRows
from rookbend.leases.events import RowPersisted
from rookbend.leases.fenced_requests import FencedRequests
from rookbend.leases.leader_tasks import ORDERS_SCOPE
from rookbend.leases.messenger import Messenger
from rookbend.leases.order_catchup import CATCH_UP_TOKEN, NOTHING_COMMITTED, OrderCatchUp
from rookbend.leases.order_store import OrderStore
from rookbend.leases.state import entry_key
from rookbend.leases.voter import NO_DIRECTOR, Voter
from rookbend.leases.voter_configuration import VoterConfiguration
from rookbend.protocol.lease_messages import AppendAck, AppendEntry, EntriesFetched, FetchEntries
from rookbend.protocol.leases import LeaseProtocolError, encode

FETCH_INTERVAL_US = 1_000_000
FETCH_FROM_LEADER_RATIO = 0.5  # share of fetches sent to a known leader; the others go to a random voter


@dataclass(frozen=True, slots=True)
class PendingAck:
    """An acknowledgement that is sent once the entry is durable."""

    peer: int
    incarnation: int
    token: int
    number: int


class OrderFollower:
    """Checks requests of writers with `fenced`; while `catch_up` is in progress, no writer may read the log."""

    def __init__(
        self,
        director: int,
        store: OrderStore,
        catch_up: OrderCatchUp,
        voter: Voter,
        voters: VoterConfiguration,
        fenced: FencedRequests,
        messenger: Messenger,
        generator: random.Random,
    ):
        self._director = director
        self._store = store
        self._log = store.log
        self._catch_up = catch_up
        self._voter = voter
        self._voters = voters
        self._fenced = fenced
        self._messenger = messenger
        self._random = generator
        self._pending: AwaitedRows[PendingAck] = AwaitedRows()
        self._fetched_us = 0

    def _accepts(self, now_us: int, sender: int, token: int) -> bool:
        return sender == self._director or self._fenced.accept(now_us, sender, ORDERS_SCOPE, token)

    # Storing

    def append_received(self, now_us: int, sender: int, message: AppendEntry) -> None:
        """Stores an entry, acknowledges it once it is durable, and commits up to the writer's committed number."""
        if not self._accepts(now_us, sender, message.token):
            return
        if message.entry is not None:
            ack = PendingAck(sender, message.incarnation, message.token, message.entry.number)
            key = entry_key(message.entry.number)
            if self._log.put(message.entry):
                self._pending.add(key, ack)
                self._store.save_entry(message.entry, awaited=True)
            elif self._log.entries[message.entry.number] == message.entry and key not in self._pending:
                self._acknowledge(now_us, ack)
        if sender != self._director:
            self._log.commit_contiguous(message.committed, message.token)
            self._store.apply_committed()

    def entry_persisted(self, now_us: int, event: RowPersisted) -> None:
        """Acknowledges an entry whose row is durable; if the write failed, drops it, and the writer sends it again."""
        ack = self._pending.pop(event.key)
        if ack is None:
            return
        if event.durable:
            self._acknowledge(now_us, ack)
        else:
            self._log.entries.pop(ack.number, None)

    def _acknowledge(self, now_us: int, ack: PendingAck) -> None:
        message = AppendAck(*self._messenger.header, ack.incarnation, ack.token, ack.number)
        self._messenger.send(now_us, ack.peer, message)

    # Serving

    def fetch_received(self, now_us: int, sender: int, message: FetchEntries) -> None:
        """Answers a fetch with as many entries as fit into one datagram."""
        committed = self._log.committed
        last = self._log.last
        if message.token == CATCH_UP_TOKEN:
            if self._catch_up.in_progress:
                committed = NOTHING_COMMITTED
        elif message.token:
            if not self._accepts(now_us, sender, message.token):
                return
            if self._catch_up.in_progress or now_us < self._voter.quarantine_until_us:
                return  # the log may lack entries that this voter acknowledged, so it can't count towards a majority
        else:
            last = committed
        reply = EntriesFetched(
            *self._messenger.header, message.incarnation, message.token, message.after, committed, last, ()
        )
        self._messenger.send(now_us, sender, self.with_entries(reply))

    def with_entries(self, reply: EntriesFetched) -> EntriesFetched:
        """Adds to a reply as many entries between its `after` and its `last` as fit into one datagram."""
        for entry in self._log.entries_between(reply.after, reply.last):
            longer = msgspec.structs.replace(reply, entries=(*reply.entries, entry))
            try:
                encode(longer)
            except LeaseProtocolError:
                break
            reply = longer
        return reply

    # Fetching

    def tick(self, now_us: int, leader: int) -> None:
        """Fetches committed entries at intervals, from the leader if it is known or from a random voter."""
        if now_us - self._fetched_us < FETCH_INTERVAL_US:
            return
        self._fetched_us = now_us
        is_peer = leader not in (NO_DIRECTOR, self._director)
        if is_peer and self._random.random() < FETCH_FROM_LEADER_RATIO:
            sources = [leader]
        else:
            sources = sorted(self._voters.all_voters - {self._director})
        if sources:
            message = FetchEntries(*self._messenger.header, 0, self._log.committed)
            self._messenger.send(now_us, self._random.choice(sources), message)

    def entries_received(self, message: EntriesFetched) -> None:
        """Adopts fetched committed entries that follow the last one committed here."""
        if message.after != self._log.committed or not message.entries:
            return
        up_to = message.entries[-1].number
        self._log.adopt_committed(message.entries, up_to)
        self._store.apply_committed()
        if up_to < message.last:
            self._fetched_us = 0  # fetch the next batch at the next tick
