"""Classifies a director's outage from its peers' messages: this director alone, a part of the fleet, or all of it.

    unsure      messages from too few peers have arrived
    alone       the peers were up during this director's outage: the fleet is healthy, return quickly
    part        some peers were up, some started when this director did: return slowly
    whole       the peers started when this director did, so the fleet lost power: return slowly. Also used by a
                director without peers
    cut-off     no peer sends messages: reported as isolation, not as a power loss; return slowly

A single faulty peer can't cause a quick return: `alone`, the only class that permits one, needs two thirds of the
active peers, of which there must be at least three (all others in a smaller fleet). With two directors the other
one decides.
"""

from __future__ import annotations

from enum import Enum

from rookbend.recovery.peers import Peers

MIN_ACTIVE_PEERS = 3  # all other directors in a smaller fleet
ISOLATION_AFTER_US = 2_000_000
UP_DURING_OUTAGE_US = 4_000_000  # a peer that started this long before this director was up during its outage
HOLD_US = 1_000_000


class FailureClass(Enum):
    """What failed. The values appear in logs and JSON."""

    UNDETERMINED = "unsure"
    THIS_DIRECTOR = "alone"
    PART_OF_FLEET = "part"
    WHOLE_FLEET = "whole"
    ISOLATED = "cut-off"


def classify(now: int, began_us: int, peers: Peers) -> FailureClass:
    """The class that the peers' present state indicates; `began_us` is the start of this director."""
    others = len(peers.rows)
    if not others:
        return FailureClass.WHOLE_FLEET
    active = peers.active(now)
    waited = now - began_us >= ISOLATION_AFTER_US
    if not active:
        return FailureClass.ISOLATED if waited else FailureClass.UNDETERMINED
    if len(active) < min(others, MIN_ACTIVE_PEERS):
        return FailureClass.PART_OF_FLEET if waited else FailureClass.UNDETERMINED
    older = sum(began_us - peer.began_us >= UP_DURING_OUTAGE_US for peer in active)
    if 3 * older >= 2 * len(active):
        return FailureClass.THIS_DIRECTOR
    return FailureClass.WHOLE_FLEET if 3 * older <= len(active) else FailureClass.PART_OF_FLEET


class FailureClassifier:
    """Holds the class in force. The first class that is determined applies at once, a later one after `HOLD_US`."""

    def __init__(self, began_us: int):
        self.began_us = began_us
        self.current = FailureClass.UNDETERMINED
        self._candidate = FailureClass.UNDETERMINED
        self._candidate_since_us = 0

    def update(self, now: int, peers: Peers) -> bool:
        """Classifies again; returns whether the class in force has changed."""
        seen = classify(now, self.began_us, peers)
        if seen is self.current:
            self._candidate = seen
            return False
        if seen is not self._candidate:
            self._candidate = seen
            self._candidate_since_us = now
        if self.current is not FailureClass.UNDETERMINED and now - self._candidate_since_us < HOLD_US:
            return False
        self.current = seen
        return True
