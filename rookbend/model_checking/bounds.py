"""How far the model of the lease protocol goes: its terms in ticks, and how often each thing may happen."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.leases.lease import LeaseTerms


@dataclass(frozen=True)
class Ticks(LeaseTerms):
    lease_us: int = 3
    drift_ratio: float = 1 / 2  # (1 - 1/2) / (1 + 1/2) of 3
    handover_us: int = 1


@dataclass(frozen=True)
class Bounds:
    """How often each thing may happen in a run. `clock`: whether tokens follow a clock that is never stepped
    back; else they only count up from what is known."""

    voters: int = 3
    candidates: int = 2
    scopes: int = 1
    rounds: int = 4  # of asking, all candidates together
    ticks: int = 7
    doubles: int = 0
    drifts: int = 0  # a tick fast or slow, each process once
    with_disk: int = 0  # restarts of voters, by what they find
    without_disk: int = 0
    old_disk: int = 0
    lives: int = 0  # restarts of candidates
    releases: int = 0
    acts: int = 0
    receiver_restarts: int = 0
    clock: bool = False
    tops: tuple[int, ...] = ()  # the highest token that each candidate knows at first


LEFT = (
    "rounds",
    "ticks",
    "doubles",
    "drifts",
    "with_disk",
    "without_disk",
    "old_disk",
    "lives",
    "releases",
    "acts",
    "receiver_restarts",
)
(ROUNDS, TICKS, DOUBLES, DRIFTS, WITH_DISK, WITHOUT_DISK, OLD_DISK, LIVES, RELEASES, ACTS, RECEIVER_RESTARTS) = range(
    len(LEFT)
)
