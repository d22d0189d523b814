"""Operators' orders that were requested at this director, until they are committed or time out."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.coordination.action_queue import ActionQueue
from rookbend.leases.actions import Action, CompleteOrder
from rookbend.leases.events import OrderRequested
from rookbend.leases.leader_tasks import ORDERS_SCOPE
from rookbend.leases.lease_table import LeaseTable
from rookbend.leases.messenger import Messenger
from rookbend.leases.order_leader import OrderLeader
from rookbend.leases.order_writer import PendingOrder
from rookbend.leases.voter import NO_DIRECTOR, Voter
from rookbend.leases.voter_configuration import VoterConfiguration
from rookbend.protocol.lease_messages import LeaseRow, OrderOrigin, OrderOutcome, SubmitOrder

RETRY_INTERVAL_US = 400_000
TIMEOUT_US = 4_000_000


@dataclass(slots=True)
class SubmittedOrder:
    """An order without an outcome.

    With `queried_voters`, the last attempt sent no order, but asked the voters for the leader.
    """

    event: OrderRequested
    began_us: int
    sent_us: int = 0
    queried_voters: bool = False


class OrderRequests:
    """Sends orders to the leader, or submits them to the local `leader` if this director holds the lease."""

    def __init__(
        self,
        director: int,
        leases: LeaseTable,
        voter: Voter,
        voters: VoterConfiguration,
        messenger: Messenger,
        actions: ActionQueue[Action],
    ):
        self._director = director
        self._leases = leases
        self._voter = voter
        self._voters = voters
        self._messenger = messenger
        self._actions = actions
        self._open: dict[int, SubmittedOrder] = {}

    def request(self, now_us: int, event: OrderRequested, leader: OrderLeader) -> None:
        """Takes a new order of an operator."""
        request = SubmittedOrder(event, now_us)
        self._open[event.id] = request
        self._send(now_us, request, leader)

    def _send(self, now_us: int, request: SubmittedOrder, leader: OrderLeader) -> None:
        request.sent_us = now_us
        request.queried_voters = False
        event = request.event
        if self._leases.held_token(now_us, ORDERS_SCOPE):
            origin = OrderOrigin(self._director, self._messenger.header[2], event.id)
            leader.submit(now_us, PendingOrder(event.target, event.order, event.operator, origin))
            return
        candidacy = self._leases.candidacies.get(ORDERS_SCOPE)
        if candidacy is None:
            return
        if candidacy.known_holder not in (NO_DIRECTOR, self._director):
            message = SubmitOrder(*self._messenger.header, event.id, event.target, event.order, event.operator)
            self._messenger.send(now_us, candidacy.known_holder, message)
        else:
            request.queried_voters = True
            self._find_leader(now_us)

    def _find_leader(self, now_us: int) -> None:
        """Asks the other voters, whose refusals name the holder, and reads the grant of this director's own voter."""
        for voter in self._voters.all_voters - {self._director}:
            self._messenger.send(now_us, voter, self._messenger.lease_request(LeaseRow(ORDERS_SCOPE, 0, 0)))
        grant = self._voter.grants.get(ORDERS_SCOPE)
        if self._director in self._voters.all_voters and grant is not None and now_us < grant.expires_us:
            self._leases.candidacies[ORDERS_SCOPE].known_holder = grant.holder.director

    def complete(self, order_id: int, error: str) -> None:
        """Reports the outcome of an order; later outcomes of the same order are ignored."""
        if self._open.pop(order_id, None) is not None:
            self._actions.append(CompleteOrder(order_id, error))

    def outcome_received(self, message: OrderOutcome) -> None:
        """Takes the leader's answer to an order."""
        if message.to_incarnation == self._messenger.header[2]:
            self.complete(message.id, message.error)

    def tick(self, now_us: int, leader: OrderLeader) -> None:
        """Resends orders that have no outcome, and reports a time-out for those older than `TIMEOUT_US`."""
        candidacy = self._leases.candidacies[ORDERS_SCOPE]
        for order_id, request in list(self._open.items()):
            if now_us - request.began_us >= TIMEOUT_US:
                self.complete(order_id, self._timeout_error(candidacy.known_holder))
            elif request.queried_voters and candidacy.known_holder not in (NO_DIRECTOR, self._director):
                self._send(now_us, request, leader)  # the voters have answered
            elif now_us - request.sent_us >= RETRY_INTERVAL_US:
                if not request.queried_voters and candidacy.known_holder != self._director:
                    candidacy.known_holder = NO_DIRECTOR  # it does not answer and may not be the leader: ask the voters
                self._send(now_us, request, leader)

    @staticmethod
    def _timeout_error(known_holder: int) -> str:
        if known_holder >= 0:
            return "the leader did not answer in time: whether the order is committed can't be told"
        return "no director owns the orders scope"
