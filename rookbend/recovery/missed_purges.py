"""Purges that may have been missed while this director was dark. Pure.

A purge that came while it was dark voids copies that left the origin before it. Which ones is not known until
the coordinator, or peers that were up, have told; until then reads take only copies that left the origin
after this life began (`oldest_us`): such a copy is younger than any purge of the gap. (Younger than the gap's
*beginning* would not do: a copy of the gap's first half is older than a purge of its second;
tests/test_recovery.py has it.)

Covered by: the coordinator's stream, once it is up and a whole list has been told, for it tells all events
that came since; or two peers (all others, where there is one) that were up all the while, are covered
themselves, and have given all purges they hold."""

from __future__ import annotations

from rookbend.recovery.peers import Peers

ENOUGH = 2


class Gap:
    def __init__(self, began_us: int):
        self.began_us, self.covered_by = began_us, ""
        self._list = self._stream = False
        self._gave: set[int] = set()

    @property
    def covered(self) -> bool:
        return bool(self.covered_by)

    @property
    def oldest_us(self) -> int:
        """Copies that left the origin before this are not asked for; 0: any will do."""
        return 0 if self.covered else self.began_us

    def whole_list(self) -> None:
        self._list = True
        self._look()

    def stream_heard(self) -> None:
        self._stream = True
        self._look()

    def _look(self) -> None:
        if self._list and self._stream and not self.covered:
            self.covered_by = "coordinator"

    def peer_gave_all(self, number: int, peers: Peers) -> None:
        """A peer has given the last of its purges."""
        peer = peers.rows.get(number)
        if peer is None or not peer.covered or peer.began_us >= self.began_us or peer.doubted:
            return
        self._gave.add(number)
        if len(self._gave) >= min(ENOUGH, len(peers.rows)) and not self.covered:
            self.covered_by = "peers " + " ".join(map(str, sorted(self._gave)))
