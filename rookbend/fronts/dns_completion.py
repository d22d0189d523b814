"""The end of a lookup: names the member that served it, persists the outcome of a write, and replies to the clients."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import dns.rcode

from rookbend.core.engine import Engine
from rookbend.core.model import Answer, FinalOutcome
from rookbend.fronts.dns_lookups import Resolver, RoutedLookup, Waiter
from rookbend.fronts.dns_outcomes import FAILED, issued_name, outcome_without_member, refused_outcome
from rookbend.protocol.dns import LookupOutcome, address_type, build_reply

if TYPE_CHECKING:
    from rookbend.recovery.issued_names import IssuedNames


class LookupCompletion:
    """`in_progress` has the lookups that were accepted and are not replied to yet, whoever works on them: the engine,
    the resolver or the disk."""

    def __init__(
        self, engine: Engine, resolver: Resolver, target_format: str, issued_names: IssuedNames | None
    ) -> None:
        self.in_progress: dict[RoutedLookup, None] = {}
        self._engine = engine
        self._resolver = resolver
        self._target_format = target_format
        self._issued_names = issued_names
        self._finished_all = False

    def answered(self, routed: RoutedLookup, answer: Answer) -> None:
        """Handles the engine's answer to the request of a lookup."""
        if answer.outcome is FinalOutcome.REJECTED:
            self._complete(routed, refused_outcome(answer.retry_after_us))
            return
        if answer.outcome is FinalOutcome.FAILED:
            self._complete(routed, FAILED)
            return
        routed.is_served = True
        member = self._engine.endpoints.get(answer.server)
        if member is None:
            self._complete(routed, outcome_without_member(routed, "its box has left"))
            return
        target = self._target_format.format(id=member.name)
        self._resolver.resolve(
            target,
            address_type(member.address[0]),
            routed.deadline_us,
            partial(self.resolved, routed, answer.server, target),
        )

    def resolved(self, routed: RoutedLookup, server: int, target: str, addresses: list[str] | None) -> None:
        """Handles the resolver's answer for the name of the member that served a lookup; None is a failure."""
        member = self._engine.endpoints.get(server)
        if addresses is None:
            outcome = outcome_without_member(routed, f"{target} can't be resolved")
        elif member is None or member.address[0] not in addresses:
            # The resolver is not authoritative: its addresses must include the member's address in the membership.
            outcome = outcome_without_member(routed, f"{target} has no address in service")
        else:
            outcome = LookupOutcome(dns.rcode.NOERROR, server, target, member.address[0])
        self._complete(routed, outcome)

    def finish_all(self) -> None:
        """Ends every lookup in progress, since the process is about to end. Later results are ignored."""
        now_us = self._engine.clock.now()
        for routed in list(self.in_progress):
            routed.deadline_us = min(routed.deadline_us, now_us)  # the disk gets no time either
            if routed.undurable_outcome is not None:
                self._reply_to_all(routed, routed.undurable_outcome)
            elif routed.is_served:
                self._complete(routed, outcome_without_member(routed, "the director is stopping"))
            else:
                self._complete(routed, FAILED)
        self._finished_all = True

    def _complete(self, routed: RoutedLookup, outcome: LookupOutcome) -> None:
        if self._finished_all:
            return
        if not (routed.write_id and self._issued_names is not None):
            self._reply_to_all(routed, outcome)
            return
        # Persisted before it is sent, so that only an outcome that no client has received can be lost.
        routed.undurable_outcome = outcome
        reply = partial(self._reply_to_all, routed, outcome)
        self._issued_names.persist(routed.write_id, issued_name(routed, outcome), routed.deadline_us, reply)

    def _reply_to_all(self, routed: RoutedLookup, outcome: LookupOutcome) -> None:
        self.in_progress.pop(routed, None)
        routed.outcome = outcome
        waiters = routed.waiters
        routed.waiters = {}
        for waiter in waiters.values():
            self.reply(routed, outcome, waiter)

    def reply(self, routed: RoutedLookup, outcome: LookupOutcome, waiter: Waiter) -> None:
        """Replies to one query. Checks the membership once more, immediately before the reply."""
        if outcome.server and not self._engine.is_in_service(outcome.server):
            # The member has left since its answer, or since the first reply.
            if routed.write_id:
                outcome = outcome_without_member(routed, "its box has left")
            else:
                outcome = refused_outcome(self._engine.settings.max_retry_after_us)
        waiter.respond(build_reply(waiter.query, outcome))
