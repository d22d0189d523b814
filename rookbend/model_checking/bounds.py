"""Bounds of the model of the lease protocol: its terms in ticks, and the maximum number of each kind of step."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from rookbend.leases.lease import LeaseTerms


@dataclass(frozen=True)
class TickTerms(LeaseTerms):
    """Terms in ticks: a lease lasts three ticks for a voter, and one tick for its holder."""

    lease_us: int = 3
    drift_ratio: float = 1 / 2  # the holder's lease is 3 * (1 - 1/2) / (1 + 1/2) ticks
    handover_us: int = 1


class Budget(NamedTuple):
    """The remaining number of steps of each kind."""

    rounds: int  # rounds of requests by all candidates together
    ticks: int
    duplicates: int
    drifts: int  # clocks that gain or lose a tick, at most once in each process
    with_disk: int  # restarts of voters that find their disk
    without_disk: int  # restarts of voters that have lost their disk
    stale_disk: int  # restarts of voters that find the disk as it was before the newest grant
    candidate_restarts: int
    releases: int
    acts: int
    receiver_restarts: int


@dataclass(frozen=True)
class Bounds:
    """The size of the fleet, and the `Budget` of a run.

    With `clock_tokens`, tokens follow a clock that is never stepped back; otherwise a new token is one above the
    highest that the candidate knows.
    """

    voters: int = 3
    candidates: int = 2
    scopes: int = 1
    rounds: int = 4
    ticks: int = 7
    duplicates: int = 0
    drifts: int = 0
    with_disk: int = 0
    without_disk: int = 0
    stale_disk: int = 0
    candidate_restarts: int = 0
    releases: int = 0
    acts: int = 0
    receiver_restarts: int = 0
    clock_tokens: bool = False
    known_tokens: tuple[int, ...] = ()  # the highest token that each candidate knows at first

    def budget(self) -> Budget:
        """Returns the budget of a run."""
        return Budget(*(getattr(self, name) for name in Budget._fields))
