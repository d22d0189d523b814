"""What is known of the other directors. Pure; one row a configured peer, no others.

A peer is believed by what it says itself (`heard`); what others pass on of it counts only as a sign of life,
and moves no verdict. Not believed:

    - a boot number lower than one known of it, or the same with another life: an old disk was put back, or
      two claim one name. It is told (`yours`), takes a higher number, and is believed again;
    - a Hello whose beat is not above the last of that life: late, or doubled;
    - figures that can't be: an age that would have it start in the future of its own earlier word.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import IntEnum

from rookbend.protocol.gossip import Hello, Seen

UP_US = 4_000_000  # a sign of life counts for so long
DRIFT_US = 5_000_000  # by so much a life's beginning may move between two of its words


class Phase(IntEnum):
    DARK = 0
    RECOVERING = 1
    SERVING = 2


@dataclass(slots=True)
class Peer:
    """`began_us` is its life's beginning on our clock, `heard_us` when it last spoke itself and was
    believed."""

    number: int
    boot: int = 0
    life: int = 0
    beat: int = 0
    phase: Phase = Phase.DARK
    stage: int = 0
    began_us: int = 0
    heard_us: int = 0
    covered: bool = False
    revision: int = 0
    digests: tuple[int, ...] = ()
    passed_beat: int = 0
    passed_us: int = 0
    doubted: str = ""  # why its last word was not believed


class Peers:
    """`boots` are the numbers known from before, by place."""

    def __init__(self, me: int, count: int, seed: int, boots: dict[int, int] | None = None):
        self.me, self.count = me, count
        self.rows = {i: Peer(i, (boots or {}).get(i, 0)) for i in range(count) if i != me}
        self.random = random.Random(f"{seed} peers")
        self.refused: dict[str, int] = {}

    def _refuse(self, peer: Peer | None, why: str) -> bool:
        self.refused[why] = self.refused.get(why, 0) + 1
        if peer is not None:
            peer.doubted = why
        return False

    def hear(self, now: int, sender: int, hello: Hello) -> bool:
        """Takes a Hello; False where it is not believed."""
        peer = self.rows.get(sender)
        if peer is None:
            return self._refuse(None, "stranger")
        if hello.number != sender:
            return self._refuse(peer, "name of another")
        if hello.phase > Phase.SERVING:
            return self._refuse(peer, "figures")
        if hello.boot < peer.boot or (hello.boot == peer.boot and peer.life and hello.life != peer.life):
            return self._refuse(peer, "old boot")
        began = now - hello.age_ms * 1000
        if hello.life == peer.life and hello.boot == peer.boot:
            if hello.beat <= peer.beat:
                self.refused["late"] = self.refused.get("late", 0) + 1
                return False  # late or doubled: nothing against the peer
            if abs(began - peer.began_us) > DRIFT_US and not self._stood_still(now, peer, began):
                return self._refuse(peer, "figures")
        peer.boot, peer.life, peer.beat = hello.boot, hello.life, hello.beat
        peer.phase, peer.stage, peer.began_us, peer.heard_us = Phase(hello.phase), hello.stage, began, now
        peer.covered, peer.revision, peer.digests = hello.covered, hello.revision, hello.digests
        peer.doubted = ""
        for seen in hello.others:
            self._passed(now, seen)
        return True

    @staticmethod
    def _stood_still(now: int, peer: Peer, began: int) -> bool:
        """Whether a life that seems to have begun later was stopped for as long, or its clock stepped back:
        it only looks younger, by no more than it was silent."""
        return 0 <= began - peer.began_us <= now - peer.heard_us + DRIFT_US

    def _passed(self, now: int, seen: Seen) -> None:
        """A sign of life by hearsay: that a beat grows."""
        peer = self.rows.get(seen.number)
        if peer is not None and seen.boot >= peer.boot and seen.beat > peer.passed_beat:
            peer.passed_beat, peer.passed_us = seen.beat, now

    # What follows

    def heard(self, now: int) -> list[Peer]:
        """Those who spoke themselves of late."""
        return [p for p in self.rows.values() if p.heard_us and now - p.heard_us <= UP_US]

    def up(self, now: int) -> int:
        """How many directors there is a sign of life of, ourselves among them."""
        return len(self.living(now))

    def living(self, now: int) -> frozenset[int]:
        """Their places."""
        return frozenset(
            (
                self.me,
                *(
                    p.number
                    for p in self.rows.values()
                    if (p.heard_us or p.passed_us) and now - max(p.heard_us, p.passed_us) <= UP_US
                ),
            )
        )

    def known_of(self, number: int) -> tuple[int, int]:
        """What goes into `yours`: the highest boot number and its life."""
        peer = self.rows.get(number)
        return (peer.boot, peer.life) if peer is not None else (0, 0)

    def some(self, count: int) -> list[int]:
        """Places to speak to, drawn anew each time."""
        places = list(self.rows)
        return self.random.sample(places, min(count, len(places)))

    def gossip(self, now: int) -> list[Seen]:
        """Rows to pass on, of those who spoke to us, in drawn order."""
        rows = self.heard(now)
        self.random.shuffle(rows)
        return [Seen(p.number, p.boot, p.beat, int(p.phase), max(0, now - p.began_us) // 1_000_000) for p in rows]
