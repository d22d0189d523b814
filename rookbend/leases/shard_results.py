"""Publishes check results of the shards that are held here, and receives those of other shards."""

from __future__ import annotations

import msgspec

from rookbend.coordination.action_queue import ActionQueue
from rookbend.leases.actions import Action, ApplyShardResults
from rookbend.leases.events import CheckResultsCollected
from rookbend.leases.fenced_requests import FencedRequests
from rookbend.leases.leader_tasks import FIRST_CHECKS_SCOPE
from rookbend.leases.lease_table import LeaseTable
from rookbend.leases.messenger import Messenger
from rookbend.leases.sharded_checks import MAX_PARTS, ShardFollower
from rookbend.protocol.lease_messages import ShardResults
from rookbend.protocol.leases import decode, encode, encode_rows

PUBLISH_INTERVAL_US = 500_000


class ShardResultsExchange:
    """Publishes results under the leases in `leases`, and passes the results of other leaders to `follower`."""

    def __init__(
        self,
        leases: LeaseTable,
        follower: ShardFollower,
        fenced: FencedRequests,
        messenger: Messenger,
        actions: ActionQueue[Action],
    ):
        self._leases = leases
        self._follower = follower
        self._fenced = fenced
        self._messenger = messenger
        self._actions = actions
        self._collected: dict[int, CheckResultsCollected] = {}
        self._published_us: dict[int, int] = {}

    def results_collected(self, now_us: int, event: CheckResultsCollected) -> None:
        """Stores this director's results of a shard; changed findings are published at once."""
        before = self._collected.get(event.scope)
        self._collected[event.scope] = event
        if before is None or before.findings != event.findings:
            self._publish(now_us, event)

    def tick(self, now_us: int) -> None:
        """Publishes results that were not published within `PUBLISH_INTERVAL_US`."""
        for scope, event in self._collected.items():
            if not self._leases.held_token(now_us, scope):
                continue
            if now_us - self._published_us.get(scope, 0) >= PUBLISH_INTERVAL_US:
                self._publish(now_us, event)

    def _publish(self, now_us: int, event: CheckResultsCollected) -> None:
        scope = event.scope
        token = self._leases.held_token(now_us, scope)
        if not token:
            return
        self._published_us[scope] = now_us
        sequence = self._leases.next_sequence(scope)
        header = self._messenger.header
        empty = ShardResults(*header, scope, token, sequence, 0, MAX_PARTS, event.covered, ())
        datagrams = encode_rows(empty, list(event.findings))[:MAX_PARTS]
        parts = [
            encode(msgspec.structs.replace(decode(data), part=part, parts=len(datagrams)))
            for part, data in enumerate(datagrams)
        ]
        self._messenger.send_to_peers(now_us, parts)

    def results_received(self, now_us: int, sender: int, message: ShardResults) -> None:
        """Takes one part of a publication by a shard's leader."""
        scope = message.scope
        if scope < FIRST_CHECKS_SCOPE or scope not in self._leases.leases:
            return
        if not self._fenced.accept(now_us, sender, scope, message.token):
            return
        self._leases.set_holder(scope, sender)
        if self._follower.receive(now_us, message):
            self._actions.append(ApplyShardResults(scope))
