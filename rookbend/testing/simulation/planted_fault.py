"""The module as it was before it spared the origin: a side to compare with, a fault that tests must find."""

from __future__ import annotations

from rookbend.interface import AttemptStatus
from rookbend.routing import Router


class Careless(Router):
    """Goes on asking an origin that turns calls away, and takes its refusals for a full link."""

    def spares_origin(self, r) -> bool:
        return False

    def watch_fills(self, f, event) -> None:
        super().watch_fills(f, event)
        if f.fills and event.status is AttemptStatus.FULL and self.origin_failed(f, event):
            self.limit.observe(True)
