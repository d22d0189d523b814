"""The configuration of a lease state machine."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.leases.leader_tasks import LEASED_TASK_NAMES
from rookbend.leases.lease import LeaseTerms


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """`director` is the index of this director among `director_count`; `tasks` are the leader tasks that run."""

    director: int
    director_count: int
    fleet: str
    seed: int
    voters: frozenset[int]
    terms: LeaseTerms = LeaseTerms()
    tasks: frozenset[str] = LEASED_TASK_NAMES
    shards: int = 8
    report_period_us: int = 60_000_000
