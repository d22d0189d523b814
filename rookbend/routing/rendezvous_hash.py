"""Rendezvous hashing: an object's order of preference over weighted servers, the same at every router."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from rookbend.interface import Member

MASK = (1 << 64) - 1


def mix(value: int) -> int:
    """Mix 64 bits (SplitMix64): the same at every router and in every process."""
    value = (value + 0x9E3779B97F4A7C15) & MASK
    value = ((value ^ value >> 30) * 0xBF58476D1CE4E5B9) & MASK
    value = ((value ^ value >> 27) * 0x94D049BB133111EB) & MASK
    return value ^ value >> 31


def uniform_draw(seed: int, value: int) -> float:
    """A pseudo-random number from 0 to below 1: the same for each seed and value, different between seeds."""
    return mix(seed ^ value) % 1024 / 1024


@dataclass(frozen=True, slots=True)
class WeightedMember:
    """A member and the inputs of its score: the hash of its id, and its weight (above 0)."""

    server_hash: int
    weight: float
    member: Member


def preference_order(object_hash: int, candidates: Iterable[WeightedMember]) -> list[Member]:
    """Members for an object, best first. Each is first for a share of objects proportional to its weight."""

    def score(candidate: WeightedMember) -> float:
        uniform = ((mix(object_hash ^ candidate.server_hash) >> 11) + 0.5) / (1 << 53)
        return -math.log(uniform) / candidate.weight

    return [candidate.member for candidate in sorted(candidates, key=score)]
