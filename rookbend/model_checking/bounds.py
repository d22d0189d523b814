"""How far the model of the lease protocol goes: its terms in ticks, and how often each thing may happen."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from rookbend.leases.lease import LeaseTerms


@dataclass(frozen=True)
class TickTerms(LeaseTerms):
    """A lease of three ticks, of which a holder counts one."""

    lease_us: int = 3
    drift_ratio: float = 1 / 2  # (1 - 1/2) / (1 + 1/2) of 3
    handover_us: int = 1


class Budget(NamedTuple):
    """How often each thing may still happen."""

    rounds: int  # of requests, all candidates together
    ticks: int
    duplicates: int
    drifts: int  # a tick fast or slow, each process once
    with_disk: int  # restarts of voters, by what they find
    without_disk: int
    stale_disk: int
    candidate_restarts: int
    releases: int
    acts: int
    receiver_restarts: int


@dataclass(frozen=True)
class Bounds:
    """The size of the fleet, and how often each thing of `Budget` may happen in a run.

    `clock_tokens`: tokens follow a clock that is never stepped back, else they only count up from what is known.
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
    known_tokens: tuple[int, ...] = ()  # the highest that each candidate knows at first

    def budget(self) -> Budget:
        """The budget of a run."""
        return Budget(*(getattr(self, name) for name in Budget._fields))
