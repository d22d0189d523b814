"""The DNS front: translates lookups to requests of the engine, and its answers to replies that name a member.

It gives two guarantees. A reply names a member only while the membership has that member in service; this is checked
again when the reply is written, since a resolver may still return the address of a member that has drained. The
request id of a write is known for as long as its lookup may be retried: a repeat gets the outcome of the first.
"""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING

import dns.message
import dns.name
import dns.rcode

from rookbend.core.engine import Engine
from rookbend.core.model import Request
from rookbend.fronts.dns_completion import LookupCompletion
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
from rookbend.fronts.dns_outcomes import refused_outcome, restored_lookup
from rookbend.interface import Idempotency
from rookbend.protocol.coordinator_stream import object_number
from rookbend.protocol.dns import (
    ADDRESS_TYPES,
    Lookup,
    LookupOutcome,
    NoReplyError,
    build_reply,
    parse_query,
)

if TYPE_CHECKING:
    from rookbend.recovery.issued_names import IssuedNames

RETRY_WINDOW_DEADLINES = 4  # a lookup may be retried for this many deadlines of its class
PERSIST_WITHIN_US = 200_000  # a hanging disk delays a write for no longer than this


class DnsFront:
    """Handles DNS messages and passes the replies to callbacks. It uses no sockets."""

    def __init__(
        self,
        engine: Engine,
        resolver: Resolver,
        zone: str,
        target_format: str,
        budget_us: int,
        seed: int,
        max_lookups: int = MAX_LOOKUPS,
        issued_names: IssuedNames | None = None,
    ):
        """`target_format` is a member's DNS name with its id as `{id}`; `issued_names` persists those for writes."""
        self.engine = engine
        self.table = LookupTable(max_lookups)
        self.closing = False
        self.completion = LookupCompletion(engine, resolver, target_format, issued_names)
        self._zone = dns.name.from_text(zone)
        self._budget_us = budget_us
        self._random = random.Random(seed)
        self._issued_names = issued_names
        self._started_us = engine.clock.now()

    def query(self, wire: bytes, client: ClientAddress, respond: Respond) -> bool:
        """Handles a message; returns False if it gets no reply.

        `respond` is called once. If a client repeats its query before the reply, the later `respond` replaces the
        earlier one.
        """
        try:
            lookup = parse_query(wire, self._zone)
        except NoReplyError:
            return False
        if isinstance(lookup, Lookup):
            self._handle_lookup(lookup, client, respond)
        else:
            respond(lookup)
        return True

    def _handle_lookup(self, lookup: Lookup, client: ClientAddress, respond: Respond) -> None:
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
        """The index of the class with this name in lower case: DNS names are case-insensitive."""
        classes = self.engine.traffic_classes.by_name.items()
        return next((index for name, index in classes if name.lower() == lower_name), None)

    def _route(self, lookup: Lookup, class_index: int, is_write: bool, waiter_key: WaiterKey, respond: Respond) -> None:
        key = lookup.request_id if is_write else ReadKey(waiter_key, lookup.name)
        now_us = self.engine.clock.now()
        self._expire(now_us)
        existing = self.table.by_key.get(key)
        if existing is None and is_write:
            existing = self._find_restored(lookup.request_id)
        if existing is not None:
            self._join_existing(existing, lookup, waiter_key, respond)
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
            now_us + RETRY_WINDOW_DEADLINES * class_deadline_us,
        )
        self.table.by_key[key] = routed
        self.completion.in_progress[routed] = None
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
            self.engine.submit(request, partial(self.completion.answered, routed))

        if routed.write_id and self._issued_names is not None:
            # Persisted before the write can run: a later incarnation must not take a repeat for a new write.
            self._issued_names.persist_in_doubt(routed.write_id, routed.name, now_us + PERSIST_WITHIN_US, submit)
        else:
            submit()

    def _join_existing(self, routed: RoutedLookup, lookup: Lookup, waiter_key: WaiterKey, respond: Respond) -> None:
        if routed.name != lookup.name:
            # The request id is in use with another name: whether this write has run is unknown, so it is not run.
            respond(build_reply(lookup.query, LookupOutcome(dns.rcode.SERVFAIL, note="request id in use")))
        elif routed.outcome is not None:
            self.completion.reply(routed, routed.outcome, Waiter(lookup.query, respond))
        elif routed.can_wait(waiter_key):
            routed.waiters[waiter_key] = Waiter(lookup.query, respond)  # a retransmitted datagram gets one reply
        else:
            respond(build_reply(lookup.query, LookupOutcome(dns.rcode.SERVFAIL, note="asked too often")))

    def _rejection(self, class_index: int, is_write: bool, now_us: int) -> LookupOutcome | None:
        """The outcome of a new lookup that can't be accepted; None if it can."""
        retry_window_us = RETRY_WINDOW_DEADLINES * self.engine.settings.classes[class_index].deadline_us
        if is_write and now_us - self._started_us < retry_window_us:
            # An earlier incarnation may have run this write, so it fails: it must not run twice.
            return LookupOutcome(dns.rcode.SERVFAIL, note="just started: whether this ran before can't be told")
        if self.closing or self.table.is_full:
            return refused_outcome(self.engine.settings.max_retry_after_us)
        return None

    def _expire(self, now_us: int) -> None:
        for routed in self.table.expire(now_us):
            if self._issued_names is not None and routed.write_id:
                self._issued_names.drop(routed.write_id)

    def _find_restored(self, write_id: str) -> RoutedLookup | None:
        """The lookup of a write that an earlier incarnation has replied to; None if there is none."""
        issued = self._issued_names.find(write_id) if self._issued_names is not None else None
        return restored_lookup(issued, write_id) if issued is not None else None
