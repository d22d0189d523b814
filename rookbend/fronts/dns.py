"""The DNS front: lookups become requests to the core, its answers become replies that name a member.

Two guarantees are made here. A member is named only while the membership has it in service, checked again as the
reply is written: a resolver may go on handing out the name of a member that has drained. And a write's id is
known for as long as its lookup may be retried: the repeat gets the first one's outcome.
"""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING

import dns.message
import dns.name
import dns.rcode

from rookbend.core.engine import Engine
from rookbend.core.model import Answer, FinalOutcome, Request
from rookbend.fronts.dns_lookups import (
    MAX_LOOKUPS,
    ClientAddress,
    LookupKey,
    LookupTable,
    ReadKey,
    Resolver,
    Respond,
    RoutedLookup,
    Waiter,
    WaiterKey,
)
from rookbend.fronts.dns_outcomes import issued_name, refused, restored_lookup, unnamed
from rookbend.interface import Idempotency
from rookbend.protocol.coordinator_stream import object_number
from rookbend.protocol.dns import (
    ADDRESS_TYPES,
    Lookup,
    LookupOutcome,
    NoReplyError,
    address_type,
    build_reply,
    parse_query,
)

if TYPE_CHECKING:
    from rookbend.recovery.issued_names import IssuedNames

RETRY_SPAN_DEADLINES = 4  # a lookup may be retried for this many deadlines of its class
PERSIST_WITHIN_US = 200_000  # a disk that hangs delays a write no longer


class DnsFront:
    """Takes DNS messages and calls back with the replies. No socket here."""

    def __init__(
        self,
        engine: Engine,
        resolver: Resolver,
        zone: str,
        target_format: str,
        budget_us: int,
        seed: int,
        max_lookups: int = MAX_LOOKUPS,
        names: IssuedNames | None = None,
    ):
        """`target_format` is a member's DNS name with its id as `{id}`; `names` persists those of writes."""
        self.engine = engine
        self.table = LookupTable(max_lookups)
        self.closing = False
        self._resolver = resolver
        self._zone = dns.name.from_text(zone)
        self._target_format = target_format
        self._budget_us = budget_us
        self._random = random.Random(seed)
        self._names = names
        self._started_us = engine.clock.now()

    def query(self, wire: bytes, client: ClientAddress, respond: Respond) -> bool:
        """Takes a message; False where it gets no reply.

        `respond` is called once; where a client sends its query again before the reply, the later `respond`
        replaces the earlier.
        """
        try:
            lookup = parse_query(wire, self._zone)
        except NoReplyError:
            return False
        if isinstance(lookup, Lookup):
            self._take(lookup, client, respond)
        else:
            respond(lookup)
        return True

    def _take(self, lookup: Lookup, client: ClientAddress, respond: Respond) -> None:
        class_index = self._class_index(lookup.class_name)
        if class_index is None:
            respond(build_reply(lookup.query, LookupOutcome(dns.rcode.NXDOMAIN, note="unknown class")))
            return
        traffic_class = self.engine.settings.classes[class_index]
        is_write = traffic_class.is_write or traffic_class.idempotency is not Idempotency.IDEMPOTENT
        if is_write != bool(lookup.request_id):
            note = "a write needs its request id" if is_write else "only a write carries a request id"
            respond(build_reply(lookup.query, LookupOutcome(dns.rcode.FORMERR, note=note)))
        elif lookup.query.question[0].rdtype not in ADDRESS_TYPES:
            respond(build_reply(lookup.query, LookupOutcome(dns.rcode.NOERROR)))
        else:
            self._route(lookup, class_index, is_write, WaiterKey(client, lookup.query.id), respond)

    def _class_index(self, lower_name: str) -> int | None:
        """The class by its name in lower case: names in DNS are case-insensitive."""
        classes = self.engine.traffic_classes.by_name.items()
        return next((index for name, index in classes if name.lower() == lower_name), None)

    def _route(self, lookup: Lookup, class_index: int, is_write: bool, waiter_key: WaiterKey, respond: Respond) -> None:
        key = lookup.request_id if is_write else ReadKey(waiter_key, lookup.name)
        now_us = self.engine.clock.now()
        self._expire(now_us)
        known = self.table.by_key.get(key)
        if known is None and is_write:
            known = self._restored(lookup.request_id)
        if known is not None:
            self._join(known, lookup, waiter_key, respond)
            return
        rejection = self._rejection(class_index, is_write, now_us)
        if rejection is not None:
            respond(build_reply(lookup.query, rejection))
            return
        routed = self._add(key, lookup, class_index, is_write, now_us)
        routed.waiters[waiter_key] = Waiter(lookup.query, respond)
        self._submit(routed, lookup, class_index, now_us)

    def _add(self, key: LookupKey, lookup: Lookup, class_index: int, is_write: bool, now_us: int) -> RoutedLookup:
        class_deadline_us = self.engine.settings.classes[class_index].deadline_us
        routed = RoutedLookup(
            lookup.name,
            lookup.request_id if is_write else "",
            now_us + min(self._budget_us, class_deadline_us),
            now_us + RETRY_SPAN_DEADLINES * class_deadline_us,
        )
        self.table.by_key[key] = routed
        return routed

    def _submit(self, routed: RoutedLookup, lookup: Lookup, class_index: int, now_us: int) -> None:
        request = Request(
            lookup.request_id or f"{self._random.getrandbits(64):016x}",
            class_index,
            self.engine.settings.classes[class_index].name,
            lookup.key,
            object_number(lookup.key),
            routed.deadline_us,
            lookup.part,
            lookup.group,
        )

        def submit() -> None:
            self.engine.submit(request, partial(self._answered, routed))

        if routed.write_id and self._names is not None:
            # Persisted before it can run: a later incarnation must not take its repeat for a new write.
            self._names.persist_in_doubt(routed.write_id, routed.name, now_us + PERSIST_WITHIN_US, submit)
        else:
            submit()

    def _join(self, routed: RoutedLookup, lookup: Lookup, waiter_key: WaiterKey, respond: Respond) -> None:
        if routed.name != lookup.name:
            # One id under two names: whether this one ran can't be told, so it never runs.
            respond(build_reply(lookup.query, LookupOutcome(dns.rcode.SERVFAIL, note="request id in use")))
        elif routed.outcome is not None:
            self._reply(routed, routed.outcome, Waiter(lookup.query, respond))
        elif routed.can_wait(waiter_key):
            routed.waiters[waiter_key] = Waiter(lookup.query, respond)  # a repeated datagram gets one reply
        else:
            respond(build_reply(lookup.query, LookupOutcome(dns.rcode.SERVFAIL, note="asked too often")))

    def _rejection(self, class_index: int, is_write: bool, now_us: int) -> LookupOutcome | None:
        """Why a lookup that is not known can't be taken, if it can't."""
        retry_span_us = RETRY_SPAN_DEADLINES * self.engine.settings.classes[class_index].deadline_us
        if is_write and now_us - self._started_us < retry_span_us:
            # An earlier incarnation may have run it: in doubt a write fails.
            return LookupOutcome(dns.rcode.SERVFAIL, note="just started: whether this ran before can't be told")
        if self.closing or self.table.is_full:
            return refused(self.engine.settings.max_retry_after_us)
        return None

    def _expire(self, now_us: int) -> None:
        for routed in self.table.expire(now_us):
            if self._names is not None and routed.write_id:
                self._names.drop(routed.write_id)

    def _restored(self, write_id: str) -> RoutedLookup | None:
        """A write's lookup that an earlier incarnation replied to."""
        issued = self._names.find(write_id) if self._names is not None else None
        return restored_lookup(issued, write_id) if issued is not None else None

    def _answered(self, routed: RoutedLookup, answer: Answer) -> None:
        if answer.outcome is FinalOutcome.REJECTED:
            self._settle(routed, refused(answer.retry_after_us))
            return
        if answer.outcome is FinalOutcome.FAILED:
            self._settle(routed, LookupOutcome(dns.rcode.SERVFAIL, note="failed"))
            return
        member = self.engine.endpoints.get(answer.server)
        if member is None:
            self._settle(routed, unnamed(routed, "its box has left"))
            return
        target = self._target_format.format(id=member.name)
        self._resolver.resolve(
            target,
            address_type(member.address[0]),
            routed.deadline_us,
            partial(self._resolved, routed, answer.server, target),
        )

    def _resolved(self, routed: RoutedLookup, server: int, target: str, addresses: list[str] | None) -> None:
        member = self.engine.endpoints.get(server)
        if addresses is None:
            outcome = unnamed(routed, f"{target} can't be resolved")
        elif member is None or member.address[0] not in addresses:
            # The resolver is no authority: the address must be the member's in the membership.
            outcome = unnamed(routed, f"{target} has no address in service")
        else:
            outcome = LookupOutcome(dns.rcode.NOERROR, server, target, member.address[0])
        self._settle(routed, outcome)

    def _settle(self, routed: RoutedLookup, outcome: LookupOutcome) -> None:
        reply = partial(self._reply_to_all, routed, outcome)
        if routed.write_id and self._names is not None:
            # Persisted before it is sent: only an outcome that nobody has received may be lost.
            self._names.persist(routed.write_id, issued_name(routed, outcome), routed.deadline_us, reply)
        else:
            reply()

    def _reply_to_all(self, routed: RoutedLookup, outcome: LookupOutcome) -> None:
        routed.outcome = outcome
        waiters = routed.waiters
        routed.waiters = {}
        for waiter in waiters.values():
            self._reply(routed, outcome, waiter)

    def _reply(self, routed: RoutedLookup, outcome: LookupOutcome, waiter: Waiter) -> None:
        """Checks the membership once more, with the reply right behind it."""
        if outcome.server and not self.engine.is_in_service(outcome.server):
            # The member left between its answer and this reply, or since the first reply.
            if routed.write_id:
                outcome = unnamed(routed, "its box has left")
            else:
                outcome = refused(self.engine.settings.max_retry_after_us)
        waiter.respond(build_reply(waiter.query, outcome))
