"""Seeded jitter for timers."""

from __future__ import annotations

import random


class Jitter:
    """Draws from the random generator that the whole state machine shares; the order of draws affects its behaviour."""

    def __init__(self, generator: random.Random):
        self._generator = generator

    def up_to(self, span_us: int) -> int:
        """Returns a uniformly distributed time in [0, `span_us`)."""
        return int(self._generator.random() * span_us)
