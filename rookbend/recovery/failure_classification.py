"""What happened, told apart with evidence and hold times. Pure.

    unsure      too few have spoken
    alone       those who spoke were up while this director was dark: the fleet is well, join quickly
    part        some were up, some began when we did: go slowly
    whole       those who spoke began when we did: the fleet lost its power, go slowly
    cut-off     nobody speaks: that is said so, and not taken for a power loss; go slowly

One liar moves nothing: `alone`, the only verdict that permits more, needs two thirds of those who spoke, and
these are three, or all others where there are fewer. With two directors there is one other, and its word is
all."""

from __future__ import annotations

from enum import Enum

from rookbend.recovery.peers import Peers

SAMPLE = 3  # who have to have spoken, or all others
SILENT_US = 2_000_000  # nobody spoke for so long: cut off
OLDER_US = 4_000_000  # a life begun so much earlier than ours was up while we were dark
HOLD_US = 1_000_000  # a later verdict has to hold so long; the first one counts at once


class Happened(Enum):
    UNSURE = "unsure"
    ALONE = "alone"
    PART = "part"
    WHOLE = "whole"
    CUT_OFF = "cut-off"


def look(now: int, began_us: int, peers: Peers) -> Happened:
    """What the evidence of this moment says."""
    others = len(peers.rows)
    if not others:
        return Happened.WHOLE  # nobody could know better
    heard = peers.heard(now)
    if not heard:
        return Happened.CUT_OFF if now - began_us >= SILENT_US else Happened.UNSURE
    if len(heard) < min(others, SAMPLE):
        return Happened.UNSURE if now - began_us < SILENT_US else Happened.PART
    older = sum(began_us - p.began_us >= OLDER_US for p in heard)
    if 3 * older >= 2 * len(heard):
        return Happened.ALONE
    return Happened.WHOLE if 3 * older <= len(heard) else Happened.PART


class Verdict:
    """The verdict that counts: the first at once, each other once it has held."""

    def __init__(self, began_us: int):
        self.began_us, self.now_is = began_us, Happened.UNSURE
        self._other, self._since = Happened.UNSURE, 0

    def tick(self, now: int, peers: Peers) -> bool:
        """Whether it has changed."""
        seen = look(now, self.began_us, peers)
        if seen is self.now_is:
            self._other = seen
            return False
        if seen is not self._other:
            self._other, self._since = seen, now
        if self.now_is is not Happened.UNSURE and now - self._since < HOLD_US:
            return False
        self.now_is = seen
        return True
