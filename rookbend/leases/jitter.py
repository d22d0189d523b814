"""Seeded jitter of timers."""

from __future__ import annotations

import random


class Jitter:
    """Draws from a generator that the whole state machine shares: the order of draws is part of its behaviour."""

    def __init__(self, generator: random.Random):
        self._generator = generator

    def up_to(self, span_us: int) -> int:
        """An even draw of [0, `span_us`)."""
        return int(self._generator.random() * span_us)
