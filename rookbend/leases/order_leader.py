"""The leader of the order log: has voters store entries, commits them and answers the origins of the orders."""

from __future__ import annotations

from collections.abc import Callable

from rookbend.leases.leader_tasks import ORDERS_SCOPE
from rookbend.leases.lease import Quorums
from rookbend.leases.lease_table import LeaseTable
from rookbend.leases.messenger import Messenger
from rookbend.leases.order_store import OrderStore
from rookbend.leases.order_writer import OrderWriter, PendingOrder
from rookbend.leases.voter_configuration import VoterConfiguration
from rookbend.protocol.lease_messages import AppendAck, AppendEntry, EntriesFetched, Entry, FetchEntries, OrderOutcome

IDLE_INTERVAL_US = 1_000_000
RETRY_INTERVAL_US = 300_000


class OrderLeader:
    """Runs the writer while the lease is held; calls `complete(id, error)` for orders requested at this director."""

    def __init__(
        self,
        store: OrderStore,
        leases: LeaseTable,
        voters: VoterConfiguration,
        messenger: Messenger,
        complete: Callable[[int, str], None],
    ):
        self._store = store
        self._leases = leases
        self._voters = voters
        self._messenger = messenger
        self._complete = complete
        self._writer: OrderWriter | None = None
        self._sent_us = 0

    def lease_acquired(self, token: int) -> None:
        """Starts a writer under that token."""
        self._writer = OrderWriter(self._store.log, token, self._voters.quorums)

    def lease_lost(self) -> None:
        """Drops the writer; origins of uncommitted orders send them to the next leader."""
        self._writer = None

    def change_quorums(self, quorums: Quorums) -> None:
        """Passes changed voter sets on to the writer."""
        if self._writer is not None:
            self._writer.quorums = quorums

    # Orders

    def submit(self, now_us: int, pending: PendingOrder) -> None:
        """Takes an order, possibly a repeated one; its origin is answered once it is committed.

        The lease must be held.
        """
        if self._store.log.has_committed(pending.origin):
            self._answer(now_us, pending, "")  # the earlier answer was lost
            return
        assert self._writer is not None, "an order was submitted without the lease"
        if error := self._writer.submit(pending):
            self._answer(now_us, pending, error)
            return
        self.advance(now_us)

    def _answer(self, now_us: int, pending: PendingOrder, error: str) -> None:
        director, incarnation, order_id = pending.origin
        _, own_director, own_incarnation = self._messenger.header
        if (director, incarnation) == (own_director, own_incarnation):
            self._complete(order_id, error)
        elif director >= 0:
            self._messenger.send(now_us, director, OrderOutcome(*self._messenger.header, incarnation, order_id, error))

    # The log

    def tick(self, now_us: int) -> None:
        """Resends entries that no majority has stored yet; while idle, sends the committed number."""
        writer = self._writer
        is_idle = writer is not None and not writer.reading and not writer.uncommitted
        if now_us - self._sent_us >= (IDLE_INTERVAL_US if is_idle else RETRY_INTERVAL_US):
            self.advance(now_us)

    def advance(self, now_us: int) -> None:
        """Runs the writer's next step: reads from a majority, or has entries stored."""
        writer = self._writer
        token = self._leases.held_token(now_us, ORDERS_SCOPE)
        if writer is None or not token:
            return
        self._sent_us = now_us
        if writer.reading:
            for voter in sorted(self._voters.all_voters):
                self._fetch(now_us, voter, writer, token)
            return
        entries: list[Entry | None] = [*writer.entries_to_store()]
        for entry in entries or [None]:
            for voter in sorted(self._voters.all_voters):
                if entry is None or voter not in writer.uncommitted[entry.number][1].stored_by:
                    message = AppendEntry(*self._messenger.header, token, self._store.log.committed, entry)
                    self._messenger.send(now_us, voter, message)

    def _fetch(self, now_us: int, voter: int, writer: OrderWriter, token: int) -> None:
        self._messenger.send(now_us, voter, FetchEntries(*self._messenger.header, token, writer.read_after(voter)))

    def ack_received(self, now_us: int, sender: int, message: AppendAck) -> None:
        """Records that a voter has stored an entry, and commits entries that a majority has stored."""
        writer = self._writer
        if writer is None or message.to_incarnation != self._messenger.header[2] or message.token != writer.token:
            return
        if not self._leases.held_token(now_us, ORDERS_SCOPE) or sender not in self._voters.all_voters:
            return
        committed = writer.acknowledged(sender, message.number)
        for entry, pending in committed:
            self._store.log.adopt_committed((entry,), entry.number)
            self._answer(now_us, pending, "")
        if committed:
            self._store.apply_committed()
            self.advance(now_us)  # tells the voters at once that the entries are committed

    def entries_received(self, now_us: int, sender: int, message: EntriesFetched) -> None:
        """Passes a batch of a voter's entries to the writer, and fetches the next batch while it is still reading."""
        writer = self._writer
        if writer is None or message.token != writer.token:
            return
        if sender in self._voters.all_voters and writer.entries_read(
            sender, message.after, message.last, message.committed, message.entries
        ):
            self._store.apply_committed()
            self.advance(now_us)
        elif writer.reading and message.entries:
            self._fetch(now_us, sender, writer, writer.token)
