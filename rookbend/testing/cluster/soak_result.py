"""What one seed of the soak has shown."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class SoakResult:
    """The result of one seed; `failures` is empty if all checks passed."""

    seed: int
    events: list[str] = field(default_factory=list)
    requests: int = 0
    served: int = 0
    lost: int = 0
    slowest_start_s: float = 0.0
    crowd: str = ""  # its kind
    peak_memory_mb: float = 0.0
    failures: list[str] = field(default_factory=list)
