"""Builds the parts of a lease state machine and connects them."""

from __future__ import annotations

import random

from rookbend.coordination.action_queue import ActionQueue
from rookbend.leases.actions import Action
from rookbend.leases.config import LeaseConfig
from rookbend.leases.election import Election
from rookbend.leases.fenced_requests import FencedRequests
from rookbend.leases.fencing import FencingGuard
from rookbend.leases.fleet_order_log import FleetOrderLog, ReplicationInputs
from rookbend.leases.fleet_report import FleetReport, ReportTask
from rookbend.leases.handover import LeaseHandover
from rookbend.leases.jitter import Jitter
from rookbend.leases.leader_discovery import DISCOVERY_INTERVAL_US, LeaderDiscovery
from rookbend.leases.leader_tasks import ORDERS_SCOPE, REPORT_SCOPE, scopes_of
from rookbend.leases.lease import Holder, Quorums
from rookbend.leases.lease_table import new_lease_table
from rookbend.leases.message_dispatcher import MessageDispatcher
from rookbend.leases.messenger import Messenger
from rookbend.leases.order_log import OrderLog
from rookbend.leases.process_replacement import ProcessReplacement
from rookbend.leases.ramp_allocation import RampAllocator
from rookbend.leases.rebalancing import Rebalancer, ScopePlacement
from rookbend.leases.shard_results import ShardResultsExchange
from rookbend.leases.sharded_checks import ShardFollower
from rookbend.leases.state import RestoredState
from rookbend.leases.tokens import TokenCounter
from rookbend.leases.voter import Voter
from rookbend.leases.voter_configuration import Reconfiguration, VoterConfiguration
from rookbend.leases.voting import Voting
from rookbend.protocol.gossip import fleet_number
from rookbend.protocol.lease_messages import Message

DATAGRAMS_PER_S, DATAGRAM_BURST = 400.0, 800


class LeaseParts:
    """The parts for one incarnation of a director; `state` is restored from durable storage.

    All parts draw random numbers from one generator, so the order in which they are built and run matters.
    """

    def __init__(self, config: LeaseConfig, now_us: int, incarnation: int, state: RestoredState):
        self.config = config
        self.incarnation = incarnation
        self.began_us = now_us
        self.random = random.Random(f"{config.seed} ownership {config.director} {incarnation}")
        self.jitter = Jitter(self.random)
        self.actions: ActionQueue[Action] = ActionQueue(DATAGRAMS_PER_S, DATAGRAM_BURST)
        self._build_shared(state)
        self._build_lease_parts(now_us)
        self._build_task_parts(state)
        self.dispatcher = self._build_dispatcher()

    def _build_shared(self, state: RestoredState) -> None:
        """Builds the objects that the parts share: voters, messenger, tokens, placement and leases."""
        config = self.config
        self.voters = VoterConfiguration(config.voters, config.director_count, config.director)
        self.voter = Voter(config.terms, self.began_us, state.grants)
        self.tokens = TokenCounter(state.highest_token, self.voter)
        header = fleet_number(config.fleet), config.director, self.incarnation
        self.messenger = Messenger(header, self.voters, self.tokens, self.actions, self._deliver_to_self)
        # The fencing guard does not record this voter's grants: a candidate with only a few grants holds no lease.
        self.fenced = FencedRequests(FencingGuard(state.tokens), self.tokens, self.messenger, self.actions)
        self.placement = ScopePlacement(config.director)
        holder = Holder(config.director, self.incarnation)
        scopes = scopes_of(config.tasks, config.shards)
        self.leases = new_lease_table(scopes, holder, config.terms, self.voters.quorums, self.began_us, self.jitter)

    def _build_lease_parts(self, now_us: int) -> None:
        config, leases, messenger = self.config, self.leases, self.messenger
        director = config.director
        self.voting = Voting(director, now_us, self.voter, self.voters, leases, messenger, self.actions)
        self.reconfiguration = Reconfiguration(self.voters, self.actions, self._quorums_changed)
        self.election = Election(
            director,
            config.terms,
            leases,
            self.placement,
            self.voters,
            self.tokens,
            self.jitter,
            messenger,
            self.actions,
            self._lease_acquired,
            self._lease_lost,
        )
        self.handover = LeaseHandover(
            director, config.terms, leases, self.placement, self.election, self.tokens, messenger
        )
        self.rebalancer = Rebalancer(director, config.shards, leases, self.placement, self.handover.hand_over)
        discovery_began_us = now_us - self.jitter.up_to(DISCOVERY_INTERVAL_US)
        self.discovery = LeaderDiscovery(director, discovery_began_us, leases, self.voters, messenger, self.random)

    def _build_task_parts(self, state: RestoredState) -> None:
        config, leases, fenced, messenger = self.config, self.leases, self.fenced, self.messenger
        self.orders = FleetOrderLog(
            ReplicationInputs(
                config.director,
                OrderLog(state.entries, state.committed),
                not state.has_log,
                leases,
                self.placement,
                self.voter,
                self.voters,
                fenced,
                messenger,
                self.actions,
                self.random,
            )
        )
        self.replacement = ProcessReplacement(
            config.director, self.voting, self.handover, leases, self.orders, messenger, self.actions
        )
        report = FleetReport(config.report_period_us)
        self.report = ReportTask(config.director_count, report, leases, fenced, messenger, self.actions)
        self.ramp_allocator = RampAllocator(config.director_count, leases, fenced, messenger)
        self.shard_follower = ShardFollower()
        self.shard_results = ShardResultsExchange(leases, self.shard_follower, fenced, messenger, self.actions)

    def _build_dispatcher(self) -> MessageDispatcher:
        return MessageDispatcher(
            self.config.director_count,
            self.messenger,
            self.reconfiguration,
            self.voting,
            self.election,
            self.handover,
            self.tokens,
            self.orders,
            self.report,
            self.ramp_allocator,
            self.shard_results,
            self.replacement,
        )

    # Callbacks between parts

    def _lease_acquired(self, scope: int, token: int) -> None:
        self.fenced.record_own_token(scope, token)
        if scope == ORDERS_SCOPE:
            self.orders.leader.lease_acquired(token)

    def _lease_lost(self, scope: int) -> None:
        if scope == ORDERS_SCOPE:
            self.orders.leader.lease_lost()
        elif scope == REPORT_SCOPE:
            self.report.lease_lost()

    def _quorums_changed(self, quorums: Quorums) -> None:
        self.leases.change_quorums(quorums)
        self.orders.leader.change_quorums(quorums)

    def _deliver_to_self(self, now_us: int, sender: int, message: Message) -> None:
        self.dispatcher.deliver(now_us, sender, message)
