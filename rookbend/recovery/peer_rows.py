"""Stores rows received from peers, each kind by its own rule; counts malformed ones."""

from __future__ import annotations

from rookbend.recovery.director_orders import DirectorOrders, MalformedOrderKeyError
from rookbend.recovery.membership import MembershipFilter
from rookbend.recovery.missed_purges import MissedPurgeWindow
from rookbend.recovery.peers import Peers
from rookbend.recovery.purge_replication import MalformedPurgeKeyError, PurgeReplication
from rookbend.recovery.replicated_rows import DRAIN, ORDER, PURGE, QuorumVotes, ReplicatedState, decode_value


class PeerRowIntake:
    """`rows` are the rows that this director holds; `unreadable` counts malformed ones."""

    def __init__(
        self,
        rows: ReplicatedState,
        peers: Peers,
        membership: MembershipFilter,
        purges: PurgeReplication,
        orders: DirectorOrders,
        missed_purges: MissedPurgeWindow,
    ):
        self.rows = rows
        self.unreadable = 0
        self._peers = peers
        self._membership = membership
        self._purges = purges
        self._orders = orders
        self._missed_purges = missed_purges
        self._drain_votes = QuorumVotes()

    def wants(self, name: str) -> bool:
        """Whether rows of a kind are requested from peers: orders always, purges while some may be missing, drains
        while no membership list has been received."""
        if name == ORDER.name:
            return True
        if name == PURGE.name:
            return not self._missed_purges.covered
        return not self._membership.received

    def add(self, now: int, sender: int, name: str, key: str, data: bytes) -> None:
        """Handles a row of a peer whose messages are accepted."""
        if decode_value(self.rows.by_name[name].kind, data) is None:
            self.unreadable += 1
            return
        try:
            if name == PURGE.name:
                self._purges.add_peers_purge(now, key, data)
            elif name == ORDER.name:
                self._orders.add_peers_order(key, data)
            elif name == DRAIN.name and self._drain_votes.add(sender, key, data, len(self._peers.rows)):
                self._membership.add_peers_drain(now, key, data)
        except (MalformedPurgeKeyError, MalformedOrderKeyError):
            self.unreadable += 1
