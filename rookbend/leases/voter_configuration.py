"""Which directors vote, and a change of them by joint consensus."""

from __future__ import annotations

from collections.abc import Callable

from rookbend.coordination.action_queue import ActionQueue
from rookbend.leases.actions import Action
from rookbend.leases.events import VotersChanged
from rookbend.leases.lease import Quorums

DIGEST_MODULUS = 0xFFFB  # the digest has two bytes on the wire; two sets of voters may share one


class VoterConfiguration:
    """The voters whose majorities are needed.

    A change needs both majorities, of the old and of the new voters, until every director has reported the new
    ones; another change waits for that.
    """

    def __init__(self, voters: frozenset[int], director_count: int, director: int):
        self.current = voters
        self.previous: frozenset[int] | None = None
        self.director_count = director_count
        self.director = director
        self.reported: dict[int, int] = {}  # by director: the digest of the newest voters it names

    @property
    def quorums(self) -> Quorums:
        """The sets of which a majority each is needed."""
        return (self.current,) if self.previous is None else (self.previous, self.current)

    @property
    def all_voters(self) -> frozenset[int]:
        """All that vote now, of both sets during a change."""
        return self.current | (self.previous or frozenset())

    @property
    def digest(self) -> int:
        """The newest voters as one number, for comparison."""
        return sum(1 << voter for voter in self.current) % DIGEST_MODULUS

    def change(self, voters: frozenset[int]) -> bool:
        """Begins a change; False where an earlier one is not over."""
        if voters == self.current:
            return True
        if self.previous is not None:
            return False
        self.previous = self.current
        self.current = voters
        self.reported = {}
        return True

    def record_report(self, director: int, digest: int) -> bool:
        """A peer's newest voters; whether the change is complete with this."""
        self.reported[director] = digest
        if self.previous is None or len(self.reported) < self.director_count - 1:
            return False
        if any(reported != self.digest for peer, reported in self.reported.items() if peer != self.director):
            return False
        self.previous = None
        return True

    def unconfirmed(self) -> list[int]:
        """Peers that have not reported the newest voters."""
        peers = (peer for peer in range(self.director_count) if peer != self.director)
        return [peer for peer in peers if self.reported.get(peer) != self.digest]

    def disagreeing(self) -> list[int]:
        """Peers that reported other voters than ours."""
        return sorted(peer for peer, digest in self.reported.items() if digest != self.digest)


class Reconfiguration:
    """Runs a change of the voters; `on_change` gets the sets whose majorities are needed from now on."""

    def __init__(self, voters: VoterConfiguration, actions: ActionQueue[Action], on_change: Callable[[Quorums], None]):
        self._voters = voters
        self._actions = actions
        self._on_change = on_change

    def begin(self, _now_us: int, event: VotersChanged) -> None:
        """The settings name other voters."""
        if not self._voters.change(event.voters):
            self._actions.log("lease_voters_change_pending", "warning", why="the change before is not over")
            return
        if self._voters.previous is not None:
            old = sorted(self._voters.previous)
            new = sorted(self._voters.current)
            self._actions.log("lease_voters_changed", "warning", old=old, new=new)
        self._on_change(self._voters.quorums)

    def report(self, sender: int, digest: int) -> None:
        """A director, perhaps this one, has named its voters."""
        if sender != self._voters.director and self._voters.record_report(sender, digest):
            self._actions.log("lease_voters_agreed", voters=sorted(self._voters.current))
            self._on_change(self._voters.quorums)
