"""Decodes the datagrams of peers and dispatches their messages to the parts that handle them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from rookbend.leases.election import Election
from rookbend.leases.fleet_order_log import FleetOrderLog
from rookbend.leases.fleet_report import ReportTask
from rookbend.leases.handover import LeaseHandover
from rookbend.leases.messenger import Messenger
from rookbend.leases.order_catchup import CATCH_UP_TOKEN
from rookbend.leases.process_replacement import ProcessReplacement
from rookbend.leases.ramp_allocation import RampAllocator
from rookbend.leases.shard_results import ShardResultsExchange
from rookbend.leases.tokens import TokenCounter
from rookbend.leases.voter_configuration import Reconfiguration
from rookbend.leases.voting import Voting
from rookbend.protocol import lease_messages as messages
from rookbend.protocol.leases import LeaseProtocolError, decode


class MessageDispatcher:
    """Dispatches messages by type.

    `undecodable` counts datagrams that are malformed, from another fleet, or that name another director than their
    sender. Of those of another process of this director, only its order log is used.
    """

    def __init__(
        self,
        director_count: int,
        messenger: Messenger,
        reconfiguration: Reconfiguration,
        voting: Voting,
        election: Election,
        handover: LeaseHandover,
        tokens: TokenCounter,
        orders: FleetOrderLog,
        report: ReportTask,
        ramp_allocator: RampAllocator,
        shard_results: ShardResultsExchange,
        replacement: ProcessReplacement,
    ):
        self._director_count = director_count
        self._fleet, self._director, self._incarnation = messenger.header
        self._reconfiguration = reconfiguration
        self._voting = voting
        self._election = election
        self._tokens = tokens
        self._orders = orders
        self._replacement = replacement
        self.undecodable = 0
        self._handlers: dict[type, Callable[[int, int, Any], None]] = {
            messages.LeaseRequest: self._lease_request_received,
            messages.LeaseVote: self._lease_vote_received,
            messages.LeaseRelease: voting.release_received,
            messages.LeaseOffer: handover.offer_received,
            messages.TokenRejected: self._token_rejected,
            messages.ShardResults: shard_results.results_received,
            messages.SubmitOrder: orders.submit_received,
            messages.OrderOutcome: lambda _now_us, _sender, message: orders.requests.outcome_received(message),
            messages.AppendEntry: orders.follower.append_received,
            messages.AppendAck: orders.leader.ack_received,
            messages.FetchEntries: orders.follower.fetch_received,
            messages.EntriesFetched: self._entries_fetched,
            messages.RampShare: ramp_allocator.share_received,
            messages.CountersRequest: report.counters_requested,
            messages.CountersReply: lambda _now_us, sender, message: report.counters_received(sender, message),
        }

    def datagram_received(self, now_us: int, sender: int, data: bytes) -> None:
        """Decodes a datagram from another director and delivers its message."""
        try:
            message = decode(data)
        except LeaseProtocolError:
            self.undecodable += 1
            return
        is_known = 0 <= sender < self._director_count
        if not is_known or message.sender != sender or message.fleet != self._fleet:
            self.undecodable += 1
        elif sender != self._director:
            self.deliver(now_us, sender, message)
        elif message.incarnation == self._incarnation:
            self.undecodable += 1  # no message of this process comes from outside
        elif isinstance(message, messages.EntriesFetched) and message.token == CATCH_UP_TOKEN:
            self._replacement.entries_received(now_us, message)

    def deliver(self, now_us: int, sender: int, message: messages.Message) -> None:
        """Passes a message from a peer or from this director to its handler."""
        self._handlers[type(message)](now_us, sender, message)

    def _lease_request_received(self, now_us: int, sender: int, message: messages.LeaseRequest) -> None:
        self._reconfiguration.report(sender, message.voters)
        self._voting.request_received(now_us, sender, message)

    def _lease_vote_received(self, now_us: int, sender: int, message: messages.LeaseVote) -> None:
        self._reconfiguration.report(sender, message.voters)
        self._tokens.observe(now_us, message.highest_token)
        if message.to_incarnation == self._incarnation:
            self._voting.record_highest_token(now_us, sender, message.highest_token)
            self._election.vote_received(now_us, sender, message)

    def _token_rejected(self, now_us: int, sender: int, message: messages.TokenRejected) -> None:
        self._election.step_down(now_us, message.scope, message.highest_token, reporter=sender)

    def _entries_fetched(self, now_us: int, sender: int, message: messages.EntriesFetched) -> None:
        if message.to_incarnation == self._incarnation:
            self._orders.entries_received(now_us, sender, message)
