"""Counters of requests, attempts and answers: logged on SIGUSR1 and at exit, and exported as metrics.

A field's name is the counter's name in the log and in the metrics.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from rookbend.core.model import FinalOutcome


@dataclass(slots=True)
class Counters:
    """One counter per field, and the answers by class and outcome."""

    requests: int = 0  # received from clients, all fronts
    retries: int = 0  # of these, marked as retries by the client
    repeated_ids: int = 0  # failed: their id had come before, and may have run
    malformed: int = 0  # requests answered without reaching the router
    cancelled: int = 0  # ended by their client
    clients_left: int = 0  # ended without a further attempt: the client had closed its sending side
    attempts: int = 0  # handed to the backend
    withheld: int = 0  # not written: the member drained, the object was purged or the time ran out first
    withheld_finished: int = 0  # of these, by reason: see `WithholdReason`
    withheld_member_out_of_service: int = 0
    withheld_source_out_of_service: int = 0
    withheld_member_left: int = 0
    withheld_time_over: int = 0
    withheld_purged: int = 0
    undone: int = 0  # aborted after they were written
    served: int = 0
    refused: int = 0
    failed: int = 0
    refused_too_many_open: int = 0  # by the front: more requests open on one connection than the protocol allows
    refused_overload: int = 0  # by the front: the event loop was late
    refused_client_left: int = 0  # by the front: the client had closed its side
    refused_unread_input: int = 0  # by the front: the client sends faster than it can be read
    refused_memory: int = 0  # by the front: what clients' requests hold had reached its limit
    refused_closing: int = 0  # by the front: the director was shutting down
    late_guard: int = 0  # answered by the deadline enforcer, not by the router
    ok: int = 0
    miss: int = 0
    full: int = 0
    error: int = 0
    timeout: int = 0
    connect_failed: int = 0
    reset: int = 0
    moot: int = 0
    purges: int = 0
    roster_changes: int = 0  # changes of the membership
    restarts_seen: int = 0  # members found restarted by their connections, before the membership reported it
    coordinator_streams: int = 0  # streams of the coordinator that have begun
    events_unusable: int = 0  # events of the coordinator that can't be parsed or applied
    judgements: int = 0  # members whose state or weight was changed by health evidence
    clients: int = 0  # connections accepted
    clients_dropped: int = 0  # of these, closed for bad input or for reading too slowly
    requests_dropped: int = 0  # open when the director ended their client's connection, so without an answer
    connects: int = 0  # connections opened to members
    garbage: int = 0  # connections to members closed for answers that can't be parsed
    ambiguous: int = 0  # attempts ended by an answer that may be a duplicate of an earlier attempt's
    peer_messages: int = 0
    written: int = 0  # attempts written in full to members
    reloads_ok: int = 0  # SIGHUP: configuration applied
    reloads_failed: int = 0  # SIGHUP: configuration rejected
    component_faults: int = 0  # unexpected exceptions that ended the task of one client, check, lookup or datagram
    # Bounded: one entry for each outcome of each class name that the settings have had.
    by_class: Counter[tuple[str, FinalOutcome]] = field(default_factory=Counter)

    def count_answer(self, class_name: str, outcome: FinalOutcome) -> None:
        """Counts a final answer, whichever component gave it."""
        self.increment(outcome.value)
        self.by_class[class_name, outcome] += 1

    def increment(self, counter_name: str) -> None:
        """Adds one to the counter of this name."""
        setattr(self, counter_name, getattr(self, counter_name) + 1)

    def fields(self) -> dict[str, int]:
        """The counters by name, without those by class."""
        return {name: value for name in self.__slots__ if isinstance(value := getattr(self, name), int)}
