"""Passes a director's part in leases from one process of it to the next, in an upgrade.

To the fleet, the processes of one director are one voter, one candidate and one copy of the order log. The part passes
in this order:

- A process that starts beside a predecessor casts no votes.
- Once the successor serves, the predecessor gives up its leases and votes no more. Then it sends its order log to the
  successor, several times as datagrams may be lost: from its own address to the same address, where only the
  successor receives. It does not go on for ever, since a third process may follow, with a longer log to wait for.
- With the whole log, the successor starts a voter's quarantine, in which all grants of its predecessor expire, and then
  takes part as usual. If the predecessor ends before, it recovers as a voter does whose storage was lost.
"""

from __future__ import annotations

from rookbend.coordination.action_queue import ActionQueue
from rookbend.leases.actions import Action, CompleteOrder
from rookbend.leases.events import OrderRequested, PredecessorChanged, ShutdownRequested, SuccessorChanged
from rookbend.leases.fleet_order_log import FleetOrderLog
from rookbend.leases.handover import LeaseHandover
from rookbend.leases.lease_table import LeaseTable
from rookbend.leases.messenger import Messenger
from rookbend.leases.order_catchup import CATCH_UP_TOKEN
from rookbend.leases.voting import Voting
from rookbend.protocol.lease_messages import EntriesFetched

ANY_INCARNATION = 0
MAX_BATCHES_PER_TICK = 8
MIN_ROUNDS = 3  # in which the whole log is sent
MIN_SENDING_US = 2_000_000
SUPERSEDED_ERROR = "another process of this director has taken over: repeat the order"


class ProcessReplacement:
    """`is_superseded` tells whether a successor process has taken over this director's part."""

    def __init__(
        self,
        director: int,
        voting: Voting,
        handover: LeaseHandover,
        leases: LeaseTable,
        orders: FleetOrderLog,
        messenger: Messenger,
        actions: ActionQueue[Action],
    ) -> None:
        self.is_superseded = False
        self._director = director
        self._voting = voting
        self._handover = handover
        self._leases = leases
        self._orders = orders
        self._messenger = messenger
        self._actions = actions
        self._superseded_us = 0
        self._sent_up_to = 0
        self._rounds = 0

    # The predecessor

    def successor_changed(self, now_us: int, event: SuccessorChanged) -> None:
        """Gives this director's part up to a successor that serves, or takes it back after the successor has ended."""
        if event.serves and not self.is_superseded:
            self._handover.shut_down(now_us, ShutdownRequested())
            self.is_superseded = True
            self._superseded_us = now_us
            self._sent_up_to = self._rounds = 0
            self._voting.suspended = True
            self._messenger.delivers_to_self = False
            self._actions.log("leases_passed_on", entries=len(self._orders.log.entries))
        elif not event.serves and self.is_superseded:
            self.is_superseded = False
            self._messenger.delivers_to_self = True
            self._leases.shutting_down = False
            self._resume_voting(now_us)

    def refuse_order(self, event: OrderRequested) -> None:
        """Answers an order of an operator: its outcome would reach the successor."""
        self._actions.append(CompleteOrder(event.id, SUPERSEDED_ERROR))

    def tick(self, now_us: int) -> None:
        """Sends some batches of the order log to the successor; after the last one begins anew."""
        has_sent_enough = self._rounds >= MIN_ROUNDS and now_us - self._superseded_us >= MIN_SENDING_US
        if has_sent_enough or self._orders.catch_up.awaits_predecessor:
            return
        log = self._orders.log
        for _ in range(MAX_BATCHES_PER_TICK):
            reply = EntriesFetched(
                *self._messenger.header,
                ANY_INCARNATION,
                CATCH_UP_TOKEN,
                self._sent_up_to,
                log.committed,
                log.last,
                (),
            )
            batch = self._orders.follower.with_entries(reply)
            self._messenger.send(now_us, self._director, batch)
            self._sent_up_to = batch.entries[-1].number if batch.entries else log.last
            if self._sent_up_to >= log.last:
                self._sent_up_to = 0
                self._rounds += 1
                return

    # The successor

    def predecessor_changed(self, now_us: int, event: PredecessorChanged) -> None:
        """Waits for the log of a predecessor that still takes part, or recovers without the rest of it."""
        catch_up = self._orders.catch_up
        if event.is_present:
            self._voting.suspended = True
            catch_up.await_predecessor()
        elif catch_up.awaits_predecessor:
            catch_up.awaits_predecessor = False
            catch_up.restart()
            self._resume_voting(now_us)

    def entries_received(self, now_us: int, message: EntriesFetched) -> None:
        """Takes a batch of the predecessor's log. Since the predecessor sends it, it votes no more."""
        catch_up = self._orders.catch_up
        if catch_up.awaits_predecessor and catch_up.predecessor_entries_received(message):
            self._resume_voting(now_us)
            self._actions.log("leases_taken_over", entries=len(self._orders.log.entries))

    def _resume_voting(self, now_us: int) -> None:
        self._voting.suspended = False
        self._voting.restart_quarantine(now_us)
