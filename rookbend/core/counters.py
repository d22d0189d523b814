"""Counters of intake, sends and answers: printed on SIGUSR1 and at exit."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from rookbend.core.model import FinalOutcome


@dataclass(slots=True)
class Counters:
    """One figure a field, and answers by class and verdict."""

    requests: int = 0  # taken from clients, all fronts
    retries: int = 0  # of these, marked as a client's repeat
    malformed: int = 0  # requests answered without reaching the module
    cancelled: int = 0  # ended by their client
    clients_left: int = 0  # ended since their client had closed its side before an attempt began
    attempts: int = 0  # handed to the backend
    withheld: int = 0  # not written: drained, purged or over by then
    undone: int = 0  # given up after they were written
    served: int = 0
    refused: int = 0
    failed: int = 0
    late_guard: int = 0  # answered by the deadline guard, not by the module
    ok: int = 0
    miss: int = 0
    full: int = 0
    error: int = 0
    timeout: int = 0
    connect_failed: int = 0
    reset: int = 0
    moot: int = 0
    purges: int = 0
    roster_changes: int = 0
    restarts_seen: int = 0  # members found restarted by their connections, before the membership told
    events_unusable: int = 0  # events of the coordinator that can't be read or used
    judgements: int = 0  # members whose state or weight health has changed
    clients: int = 0  # connections accepted
    clients_dropped: int = 0  # of these, closed for bad input or for reading too slowly
    connects: int = 0  # connections opened to members
    garbage: int = 0  # connections to members closed for answers that can't be read
    peer_messages: int = 0
    written: int = 0  # attempts written whole to members
    reloads_ok: int = 0  # files taken at SIGHUP
    reloads_failed: int = 0  # and turned down
    # Answers by class and verdict; one row for each name that the settings have had.
    by_class: Counter[tuple[str, FinalOutcome]] = field(default_factory=Counter)

    def ended(self, class_name: str, verdict: FinalOutcome) -> None:
        """A request has its final answer, whoever gave it."""
        setattr(self, verdict.value, getattr(self, verdict.value) + 1)
        self.by_class[class_name, verdict] += 1

    def fields(self) -> dict[str, int]:
        """The figures by name, without those by class."""
        return {name: value for name in self.__slots__ if isinstance(value := getattr(self, name), int)}
