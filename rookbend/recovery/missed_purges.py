"""Purges that this director may have missed during its outage.

A purge invalidates copies that left the origin before it. Until the coordinator, or peers that were up, have delivered
the purges of the outage, reads use only copies that left the origin after this director started (`oldest_copy_us`):
such a copy is younger than any missed purge. The start of the outage is no valid bound: a copy from the first half of
the outage is older than a purge from the second half.

The missed purges are covered once the coordinator's stream is up and has delivered a complete list, or once two peers
(or the only other director) have delivered all purges they hold. Such a peer must have been up throughout the outage
and have no missed purges of its own.
"""

from __future__ import annotations

from rookbend.recovery.peers import Peers

MIN_PEERS = 2


class MissedPurgeWindow:
    """Tracks whether purges of the outage may still be missing. `covered_by` names the source that delivered them."""

    def __init__(self, began_us: int):
        self.began_us = began_us
        self.covered_by = ""
        self._list_received = False
        self._stream_active = False
        self._complete_peers: set[int] = set()

    @property
    def covered(self) -> bool:
        """Whether every purge of the outage is known."""
        return bool(self.covered_by)

    @property
    def oldest_copy_us(self) -> int:
        """Copies that left the origin before this Unix microsecond are not used; 0 means no limit."""
        return 0 if self.covered else self.began_us

    def list_received(self) -> None:
        """The coordinator delivered a complete membership list."""
        self._list_received = True
        self._check_coordinator()

    def stream_active(self) -> None:
        """The coordinator's stream is up."""
        self._stream_active = True
        self._check_coordinator()

    def _check_coordinator(self) -> None:
        if self._list_received and self._stream_active and not self.covered:
            self.covered_by = "coordinator"

    def peer_complete(self, number: int, peers: Peers) -> None:
        """A peer has delivered all purges it holds."""
        peer = peers.rows.get(number)
        if peer is None or not peer.purges_covered or peer.began_us >= self.began_us or peer.rejection is not None:
            return
        self._complete_peers.add(number)
        if len(self._complete_peers) >= min(MIN_PEERS, len(peers.rows)) and not self.covered:
            self.covered_by = "peers " + " ".join(map(str, sorted(self._complete_peers)))
