"""The set of directors that vote, and changes of it by joint consensus."""

from __future__ import annotations

from collections.abc import Callable

from rookbend.coordination.action_queue import ActionQueue
from rookbend.leases.actions import Action
from rookbend.leases.events import VotersChanged
from rookbend.leases.lease import Quorums

DIGEST_MODULUS = 0xFFFB  # the digest has two bytes on the wire; two voter sets may have the same one


class VoterConfiguration:
    """The voter sets of which a majority each is needed.

    While a change is in progress, a majority of the old voters and one of the new voters are needed. The change is
    complete once every director has reported the new voters; another change can't begin before that.
    """

    def __init__(self, voters: frozenset[int], director_count: int, director: int):
        self.current = voters
        self.previous: frozenset[int] | None = None
        self.director_count = director_count
        self.director = director
        self.reported: dict[int, int] = {}  # by director: digest of the newest voter set that it reported

    @property
    def quorums(self) -> Quorums:
        """The voter sets of which a majority each is needed."""
        return (self.current,) if self.previous is None else (self.previous, self.current)

    @property
    def all_voters(self) -> frozenset[int]:
        """All directors that vote now; during a change, those of both sets."""
        return self.current | (self.previous or frozenset())

    @property
    def digest(self) -> int:
        """A digest of the newest voter set, for comparison."""
        return sum(1 << voter for voter in self.current) % DIGEST_MODULUS

    def change(self, voters: frozenset[int]) -> bool:
        """Begins a change; returns False if an earlier change is still in progress."""
        if voters == self.current:
            return True
        if self.previous is not None:
            return False
        self.previous = self.current
        self.current = voters
        self.reported = {}
        return True

    def record_report(self, director: int, digest: int) -> bool:
        """Records the digest of a peer's newest voter set; returns whether this completes the change."""
        self.reported[director] = digest
        if self.previous is None or len(self.reported) < self.director_count - 1:
            return False
        if any(reported != self.digest for peer, reported in self.reported.items() if peer != self.director):
            return False
        self.previous = None
        return True

    def unconfirmed(self) -> list[int]:
        """Returns the peers that have not reported the newest voter set."""
        peers = (peer for peer in range(self.director_count) if peer != self.director)
        return [peer for peer in peers if self.reported.get(peer) != self.digest]

    def disagreeing(self) -> list[int]:
        """Returns the peers that reported a voter set other than this director's."""
        return sorted(peer for peer, digest in self.reported.items() if digest != self.digest)


class Reconfiguration:
    """Runs changes of the voters; `on_change` gets the voter sets of which a majority each is needed from now on."""

    def __init__(self, voters: VoterConfiguration, actions: ActionQueue[Action], on_change: Callable[[Quorums], None]):
        self._voters = voters
        self._actions = actions
        self._on_change = on_change

    def begin(self, _now_us: int, event: VotersChanged) -> None:
        """Begins the change to the voters named in the settings."""
        if not self._voters.change(event.voters):
            self._actions.log("lease_voters_change_pending", "warning", why="the previous change is in progress")
            return
        if self._voters.previous is not None:
            old = sorted(self._voters.previous)
            new = sorted(self._voters.current)
            self._actions.log("lease_voters_changed", "warning", old=old, new=new)
        self._on_change(self._voters.quorums)

    def report(self, sender: int, digest: int) -> None:
        """Records the voter digest reported by a director; one of this director itself is ignored."""
        if sender != self._voters.director and self._voters.record_report(sender, digest):
            self._actions.log("lease_voters_agreed", voters=sorted(self._voters.current))
            self._on_change(self._voters.quorums)
