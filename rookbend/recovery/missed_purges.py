"""Purges that may have been missed during this director's outage.

A purge of that time voids copies that left the origin before it. Which ones is unknown until the coordinator, or
peers that were up, have delivered the purges; until then reads use only copies that left the origin after this
director started (`oldest_copy_us`): such a copy is younger than any missed purge. The start of the outage would not
do as the bound: a copy of the outage's first half is older than a purge of its second.

Covered by the coordinator's stream, once it is up and has delivered a complete list; or by two peers (all others,
where there is one) that were up throughout, are covered themselves, and have delivered all purges they hold.
"""

from __future__ import annotations

from rookbend.recovery.peers import Peers

MIN_PEERS = 2


class MissedPurgeWindow:
    """Whether purges of the outage may still be missing. `covered_by` names the source that closed the window."""

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
        """Copies that left the origin before this Unix microsecond are not used; 0: any."""
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
        """A peer has delivered the last of its purges."""
        peer = peers.rows.get(number)
        if peer is None or not peer.purges_covered or peer.began_us >= self.began_us or peer.rejection is not None:
            return
        self._complete_peers.add(number)
        if len(self._complete_peers) >= min(MIN_PEERS, len(peers.rows)) and not self.covered:
            self.covered_by = "peers " + " ".join(map(str, sorted(self._complete_peers)))
