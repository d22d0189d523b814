"""Operators' orders for the whole fleet, replicated in a log.

The leader numbers the orders, a majority of the voters stores each order before the operator's request completes, and
every director applies them in order. Every director stores the log, serves it and fetches it (`order_follower`). The
leader adds entries (`order_leader`). A voter without a log catches up first (`order_catchup`).
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from rookbend.coordination.action_queue import ActionQueue
from rookbend.leases.actions import Action
from rookbend.leases.events import OrderRequested
from rookbend.leases.fenced_requests import FencedRequests
from rookbend.leases.leader_tasks import ORDERS_SCOPE
from rookbend.leases.lease_table import LeaseTable
from rookbend.leases.messenger import Messenger
from rookbend.leases.order_catchup import CATCH_UP_TOKEN, OrderCatchUp
from rookbend.leases.order_follower import OrderFollower
from rookbend.leases.order_leader import OrderLeader
from rookbend.leases.order_log import OrderLog
from rookbend.leases.order_requests import OrderRequests
from rookbend.leases.order_store import OrderStore
from rookbend.leases.order_writer import PendingOrder
from rookbend.leases.rebalancing import ScopePlacement
from rookbend.leases.voter import Voter
from rookbend.leases.voter_configuration import VoterConfiguration
from rookbend.protocol.lease_messages import EntriesFetched, OrderOrigin, SubmitOrder


@dataclass(frozen=True, slots=True)
class ReplicationInputs:
    """Inputs shared by the parts of the replication; `log_is_lost` if durable storage never held a log."""

    director: int
    log: OrderLog
    log_is_lost: bool
    leases: LeaseTable
    placement: ScopePlacement
    voter: Voter
    voters: VoterConfiguration
    fenced: FencedRequests
    messenger: Messenger
    actions: ActionQueue[Action]
    generator: random.Random


class FleetOrderLog:
    """The parts that replicate orders, with a common timer."""

    def __init__(self, inputs: ReplicationInputs):
        director, messenger, voters = inputs.director, inputs.messenger, inputs.voters
        self._leases = inputs.leases
        self.store = OrderStore(inputs.log, inputs.placement, inputs.actions)
        self.catch_up = OrderCatchUp(director, inputs.log_is_lost, self.store, voters, messenger)
        self.follower = OrderFollower(
            director, self.store, self.catch_up, inputs.voter, voters, inputs.fenced, messenger, inputs.generator
        )
        self.requests = OrderRequests(director, inputs.leases, inputs.voter, voters, messenger, inputs.actions)
        self.leader = OrderLeader(self.store, inputs.leases, voters, messenger, self.requests.complete)

    @property
    def log(self) -> OrderLog:
        """This director's copy of the log."""
        return self.store.log

    def tick(self, now_us: int) -> None:
        """Runs the catch-up, the leader or the follower, and resends open requests."""
        candidacy = self._leases.candidacies.get(ORDERS_SCOPE)
        if candidacy is None:
            return
        self.catch_up.tick(now_us)
        if self._leases.held_token(now_us, ORDERS_SCOPE):
            self.leader.tick(now_us)
        else:
            self.follower.tick(now_us, candidacy.known_holder)
        self.requests.tick(now_us, self.leader)

    def request(self, now_us: int, event: OrderRequested) -> None:
        """Takes an order that an operator requests at this director."""
        self.requests.request(now_us, event, self.leader)

    def submit_received(self, now_us: int, sender: int, message: SubmitOrder) -> None:
        """Takes an order from another director; ignored if the lease is not held here."""
        if self._leases.held_token(now_us, ORDERS_SCOPE):
            origin = OrderOrigin(sender, message.incarnation, message.id)
            pending = PendingOrder(message.target, message.order, message.operator, origin)
            self.leader.submit(now_us, pending)

    def entries_received(self, now_us: int, sender: int, message: EntriesFetched) -> None:
        """Passes entries to the part that fetched them."""
        if message.token == CATCH_UP_TOKEN:
            self.catch_up.entries_received(now_us, sender, message)
        elif message.token:
            self.leader.entries_received(now_us, sender, message)
        else:
            self.follower.entries_received(message)
