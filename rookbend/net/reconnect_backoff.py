"""The pauses between a director's calls of the coordinator.

If the coordinator ends all streams at once, all directors would reconnect at the same moment. The reconnect backoff
therefore has jitter: each director reconnects in a slot of its own within a span that grows with the fleet, up to
`MAX_SPREAD_S`. The slot depends on the director's number and a seeded random draw. A director keeps its slot while its
calls return no event; after each stream that delivered events the slots shift, so that no director is always the last.
"""

from __future__ import annotations

import random

MIN_PAUSE_S = 0.1  # minimum before a call, after a stream that delivered events
MAX_SPREAD_S = 0.8  # added to it, spread over the fleet: less than a fifth of the fleet calls in any 0.1 s
SPREAD_PER_DIRECTOR_S = 0.08  # the spread of a fleet too small for MAX_SPREAD_S
REPEAT_MARGIN_S = 0.1  # keeps the pause between calls without events above the span, so that rounds don't overlap
SLOT_SHIFT_RATIO = 0.382  # of the span, by which the slots shift
SLOT_JITTER_RATIO = 0.25  # of a slot; with more, three directors may call at the same time


class ReconnectBackoff:
    """Pauses between calls: first until this director's slot in the span, then a fixed pause."""

    def __init__(self, number: int, count: int, seed: int) -> None:
        """`number` is this director's number, of `count`; `seed` is specific to this director."""
        self.number = number
        self.count = max(1, count)
        self.span_s = min(MAX_SPREAD_S, SPREAD_PER_DIRECTOR_S * self.count)
        self.repeat_pause_s = MIN_PAUSE_S + self.span_s + REPEAT_MARGIN_S
        self._random = random.Random(f"{seed} calls")
        self._streams = 0
        self._in_slot = False

    def reset(self) -> None:
        """The last call delivered events, so the coordinator works."""
        self._in_slot = False

    def next(self) -> float:
        """The pause before the next call, in seconds."""
        if self._in_slot:
            return self.repeat_pause_s
        slot = (self.number + SLOT_JITTER_RATIO * self._random.random()) / self.count
        slot += self._streams * SLOT_SHIFT_RATIO
        self._in_slot = True
        self._streams += 1
        return MIN_PAUSE_S + self.span_s * (slot % 1.0)
