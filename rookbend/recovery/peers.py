"""The state of the other directors: one row per configured peer.

A peer's state comes only from its own Hello messages (`receive`). What other peers relay about it shows only that it
is live, and does not affect the failure classification. A Hello is rejected for:

    - a boot number lower than the one known, or the same with another incarnation: an old disk was restored, or two
      directors claim the same number. The peer learns this from `Hello.known`, takes a higher boot number, and is
      accepted again;
    - a heartbeat number that is not above the last one of that incarnation: the Hello is late or duplicated;
    - an inconsistent age, which would move the peer's start by more than `DRIFT_US`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum, IntEnum

from rookbend.protocol.gossip import Hello, KnownIncarnation, PeerSummary

LIVE_US = 4_000_000
DRIFT_US = 5_000_000


class Phase(IntEnum):
    """How far a director has returned to service; SERVING begins at the stage BACKGROUND."""

    DARK = 0
    RECOVERING = 1
    SERVING = 2


class Rejection(Enum):
    """Why a Hello was rejected. The values appear in logs and JSON."""

    UNKNOWN_SENDER = "stranger"
    NUMBER_MISMATCH = "name of another"
    INCONSISTENT = "figures"
    OLD_BOOT_NUMBER = "old boot"
    LATE = "late"


@dataclass(slots=True)
class Peer:
    """`began_us`: the start of its incarnation on the local clock; `last_received_us`: the time of its last accepted
    Hello; `relayed_us`: when another peer last relayed a higher heartbeat number of it; `rejection`: why its last
    Hello was rejected."""

    number: int
    boot_number: int = 0
    incarnation: int = 0
    heartbeat: int = 0
    phase: Phase = Phase.DARK
    stage: int = 0
    began_us: int = 0
    last_received_us: int = 0
    purges_covered: bool = False
    revision: int = 0
    digests: tuple[int, ...] = ()
    relayed_heartbeat: int = 0
    relayed_us: int = 0
    rejection: Rejection | None = None


class Peers:
    """`boot_numbers` are the highest persisted ones, by peer number; `rejected` counts Hellos by reason."""

    def __init__(self, number: int, count: int, seed: int, boot_numbers: dict[int, int] | None = None):
        self.number = number
        self.count = count
        known = boot_numbers or {}
        self.rows = {other: Peer(other, known.get(other, 0)) for other in range(count) if other != number}
        self.random = random.Random(f"{seed} peers")
        self.rejected: dict[str, int] = {}

    def receive(self, now: int, sender: int, hello: Hello) -> bool:
        """Handles a Hello; returns False if it is rejected."""
        peer = self.rows.get(sender)
        if peer is None:
            self._count(Rejection.UNKNOWN_SENDER)
            return False
        rejection = self._check(now, peer, hello)
        if rejection is not None:
            self._count(rejection)
            if rejection is not Rejection.LATE:
                peer.rejection = rejection
            return False
        self._update(now, peer, hello)
        for summary in hello.others:
            self._relayed(now, summary)
        return True

    def _count(self, rejection: Rejection) -> None:
        self.rejected[rejection.value] = self.rejected.get(rejection.value, 0) + 1

    def _check(self, now: int, peer: Peer, hello: Hello) -> Rejection | None:
        if hello.number != peer.number:
            return Rejection.NUMBER_MISMATCH
        if hello.phase > Phase.SERVING:
            return Rejection.INCONSISTENT
        if hello.boot_number < peer.boot_number:
            return Rejection.OLD_BOOT_NUMBER
        if hello.boot_number > peer.boot_number:
            return None
        if hello.incarnation != peer.incarnation:
            return Rejection.OLD_BOOT_NUMBER if peer.incarnation else None
        if hello.heartbeat <= peer.heartbeat:
            return Rejection.LATE
        began_us = now - hello.age_ms * 1000
        if abs(began_us - peer.began_us) > DRIFT_US and not self._was_suspended(now, peer, began_us):
            return Rejection.INCONSISTENT
        return None

    @staticmethod
    def _was_suspended(now: int, peer: Peer, began_us: int) -> bool:
        """Whether an incarnation that seems to have started later was suspended, or its clock was stepped back: its
        age then lags by no more than the time in which it sent nothing."""
        return 0 <= began_us - peer.began_us <= now - peer.last_received_us + DRIFT_US

    @staticmethod
    def _update(now: int, peer: Peer, hello: Hello) -> None:
        peer.boot_number = hello.boot_number
        peer.incarnation = hello.incarnation
        peer.heartbeat = hello.heartbeat
        peer.phase = Phase(hello.phase)
        peer.stage = hello.stage
        peer.began_us = now - hello.age_ms * 1000
        peer.last_received_us = now
        peer.purges_covered = hello.purges_covered
        peer.revision = hello.revision
        peer.digests = hello.digests
        peer.rejection = None

    def _relayed(self, now: int, summary: PeerSummary) -> None:
        """Handles a relayed summary of a peer: a higher heartbeat number shows that the peer is live."""
        peer = self.rows.get(summary.number)
        if peer is None or summary.boot_number < peer.boot_number:
            return
        if summary.heartbeat > peer.relayed_heartbeat:
            peer.relayed_heartbeat = summary.heartbeat
            peer.relayed_us = now

    # Reading

    def active(self, now: int) -> list[Peer]:
        """Peers whose own Hello was accepted within `LIVE_US`."""
        return [peer for peer in self.rows.values() if peer.last_received_us and now - peer.last_received_us <= LIVE_US]

    def live_count(self, now: int) -> int:
        """How many directors are live, including this one."""
        return len(self.live_directors(now))

    def live_directors(self, now: int) -> frozenset[int]:
        """The numbers of the directors with a direct or relayed sign of life within `LIVE_US`, including this one."""
        signs = ((peer.number, max(peer.last_received_us, peer.relayed_us)) for peer in self.rows.values())
        live = (number for number, sign_us in signs if sign_us and now - sign_us <= LIVE_US)
        return frozenset((self.number, *live))

    def known_incarnation(self, number: int) -> KnownIncarnation:
        """The highest boot number known of a peer, and its incarnation."""
        peer = self.rows.get(number)
        return KnownIncarnation(peer.boot_number, peer.incarnation) if peer is not None else KnownIncarnation()

    def sample(self, count: int) -> list[int]:
        """Numbers of randomly chosen peers to gossip with."""
        numbers = list(self.rows)
        return self.random.sample(numbers, min(count, len(numbers)))

    def summaries(self, now: int) -> list[PeerSummary]:
        """Summaries of the active peers to relay, in random order."""
        peers = self.active(now)
        self.random.shuffle(peers)
        return [
            PeerSummary(
                peer.number,
                peer.boot_number,
                peer.heartbeat,
                int(peer.phase),
                max(0, now - peer.began_us) // 1_000_000,
            )
            for peer in peers
        ]
