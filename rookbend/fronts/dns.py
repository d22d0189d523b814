"""The DNS front: lookups to requests of the core, answers to replies that name a box. No socket here.

Two guards stand on their own here. A box is named only while the membership has it serving, asked again as the
reply is written: a resolver may go on handing out the name of a box that has drained. And a write's id is
known for as long as a lookup may be retried for it: the repeat gets the first try's outcome.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import dns.message
import dns.name
import dns.rcode

from rookbend.core.engine import Engine
from rookbend.core.model import Answer, FinalOutcome, Request
from rookbend.interface import Idempotency
from rookbend.protocol.coordinator_stream import object_number
from rookbend.protocol.dns import ADDRESSES, Lookup, NoAnswerError, Outcome, read_query, reply_to

if TYPE_CHECKING:
    from rookbend.recovery.issued_names import IssuedName, IssuedNames

ASKERS = 32  # who may wait for one try
REMEMBERED = 4096  # tries known at once, those under way among them
RETRY_SPAN = 4  # deadlines for which a lookup may be retried
BEGIN_BY_US = 200_000  # a disk that hangs holds a write up no longer

Respond = Callable[[dns.message.Message], None]


class Resolver(Protocol):
    """Finds the addresses of members' names."""

    def resolve(self, box: str, kind: str, deadline_us: int, done: Callable[[list[str] | None], None]) -> None:
        """Calls `done` once with the addresses of a name, or with None on any failure, by the deadline."""


class Try:
    """One request to the core on behalf of a lookup and of its repeats. `write`: its id, empty for a read."""

    __slots__ = ("askers", "deadline", "forget_at", "name", "outcome", "write")

    def __init__(self, name: str, write: str, deadline: int, forget_at: int):
        self.name, self.write, self.deadline, self.forget_at = name, write, deadline, forget_at
        self.outcome: Outcome | None = None
        self.askers: dict[tuple, tuple[dns.message.Message, Respond]] = {}


class DnsFront:
    """Lookups under the zone to requests of the core, and answers back."""

    def __init__(
        self,
        engine: Engine,
        resolver: Resolver,
        zone: str,
        box_name: str,
        budget_us: int,
        seed: int,
        remembered: int = REMEMBERED,
        names: IssuedNames | None = None,
    ):
        self.engine, self.resolver = engine, resolver
        self.zone, self.box_name, self.budget_us = dns.name.from_text(zone), box_name, budget_us
        self.remembered, self.random, self.names = remembered, random.Random(seed), names
        self.tries: dict[tuple, Try] = {}
        self.born_us = engine.clock.now()
        self.closing = False
        self._forget_at = 0

    def query(self, wire: bytes, source: tuple, respond: Respond) -> bool:
        """Takes a message; False where it gets no reply. `respond` is called once, but a repeat that is
        sent again by its asker before the reply takes the place of the one before."""
        try:
            lookup = read_query(wire, self.zone)
        except NoAnswerError:
            return False
        if isinstance(lookup, Lookup):
            self._take(lookup, source, respond)
        else:
            respond(lookup)
        return True

    def _take(self, lookup: Lookup, source: tuple, respond: Respond) -> None:
        # Names in DNS know no case: the lookup's is in small letters.
        classes = self.engine.traffic_classes.by_name.items()
        index = next((i for name, i in classes if name.lower() == lookup.class_name), None)
        if index is None:
            return respond(reply_to(lookup.query, Outcome(dns.rcode.NXDOMAIN, note="unknown class")))
        cls = self.engine.settings.classes[index]
        write = cls.is_write or cls.idempotency is not Idempotency.IDEMPOTENT
        if write != bool(lookup.rid):
            note = "a write needs its request id" if write else "only a write carries a request id"
            return respond(reply_to(lookup.query, Outcome(dns.rcode.FORMERR, note=note)))
        if lookup.query.question[0].rdtype not in ADDRESSES:
            return respond(reply_to(lookup.query, Outcome(dns.rcode.NOERROR)))
        self._route(lookup, index, write, source, respond)

    def _route(self, lookup: Lookup, index: int, write: bool, source: tuple, respond: Respond) -> None:
        asker = (*source, lookup.query.id)
        key = (lookup.rid,) if write else (*asker, lookup.name)
        now = self.engine.clock.now()
        self._forget(now)
        known = self.tries.get(key)
        if known is not None:
            return self._join(known, lookup, asker, respond)
        if write and self.names is not None and (given := self.names.find(lookup.rid)) is not None:
            return self._join(self._given_before(given), lookup, asker, respond)
        outcome = self._barred(index, write, now)
        if outcome is not None:
            return respond(reply_to(lookup.query, outcome))
        cls = self.engine.settings.classes[index]
        deadline = now + min(self.budget_us, cls.deadline_us)
        t = self.tries[key] = Try(
            lookup.name, lookup.rid if write else "", deadline, now + RETRY_SPAN * cls.deadline_us
        )
        t.askers[asker] = (lookup.query, respond)
        rid = lookup.rid or f"{self.random.getrandbits(64):016x}"
        request = Request(
            rid, index, cls.name, lookup.key, object_number(lookup.key), deadline, lookup.part, lookup.group
        )

        def submit() -> None:
            self.engine.submit(request, lambda answer: self._answered(t, answer))

        if t.write and self.names is not None:
            # Kept before it can run: a life after this one must not take its repeat for a new one.
            self.names.begin(rid, t.name, now + BEGIN_BY_US, submit)
        else:
            submit()

    def _join(self, t: Try, lookup: Lookup, asker: tuple, respond: Respond) -> None:
        if t.name != lookup.name:
            # One id under two names: whether this one ran can't be told, so it never runs.
            respond(reply_to(lookup.query, Outcome(dns.rcode.SERVFAIL, note="request id in use")))
        elif t.outcome is not None:
            self._write(t, lookup.query, respond)
        elif asker in t.askers or len(t.askers) < ASKERS:
            t.askers[asker] = (lookup.query, respond)  # a datagram sent again gets one reply, not two
        else:
            respond(reply_to(lookup.query, Outcome(dns.rcode.SERVFAIL, note="asked too often")))

    def _barred(self, index: int, write: bool, now: int) -> Outcome | None:
        """Why a lookup that is not known can't be taken, if it can't."""
        span = RETRY_SPAN * self.engine.settings.classes[index].deadline_us
        if write and now - self.born_us < span:
            # A life before this one may have run it: in doubt a write fails.
            return Outcome(dns.rcode.SERVFAIL, note="just started: whether this ran before can't be told")
        if self.closing or len(self.tries) >= self.remembered:
            # Nothing is forgotten early to make room: a forgotten write could run twice.
            return self._refused(self.engine.settings.max_retry_after_us)
        return None

    @staticmethod
    def _refused(retry_after_us: int) -> Outcome:
        return Outcome(dns.rcode.REFUSED, note=f"retry-after-ms={retry_after_us // 1000}")

    def _forget(self, now: int) -> None:
        """Drops what is past its retry span; looked for once a second at the most."""
        if now < self._forget_at:
            return
        self._forget_at = now + 1_000_000
        for key in [k for k, t in self.tries.items() if t.forget_at <= now and t.outcome is not None]:
            del self.tries[key]
            if self.names is not None and len(key) == 1:  # a write's
                self.names.drop(key[0])

    @staticmethod
    def _given_before(given: IssuedName) -> Try:
        """A try of a life before: whoever repeats it gets what it got."""
        t = Try(given.lookup, "before", 0, 0)
        t.outcome = Outcome(
            dns.rcode.Rcode(given.rcode), given.member_number, given.issued_name, given.address, given.note
        )
        return t

    def _answered(self, t: Try, answer: Answer) -> None:
        if answer.outcome is FinalOutcome.REJECTED:
            return self._settle(t, self._refused(answer.retry_after_us))
        if answer.outcome is FinalOutcome.FAILED:
            return self._settle(t, Outcome(dns.rcode.SERVFAIL, note="failed"))
        entry = self.engine.endpoints.get(answer.server)
        if entry is None:
            return self._settle(t, self._unnamed(t, "its box has left"))
        box = self.box_name.format(id=entry.name)
        kind = "AAAA" if ":" in entry.address[0] else "A"
        self.resolver.resolve(box, kind, t.deadline, lambda found: self._resolved(t, answer.server, box, found))

    def _resolved(self, t: Try, server: int, box: str, found: list[str] | None) -> None:
        entry = self.engine.endpoints.get(server)
        if found is None:
            return self._settle(t, self._unnamed(t, f"{box} can't be resolved"))
        if entry is None or entry.address[0] not in found:
            # The resolver is no authority: an address that is not the member's in the membership is nobody's.
            return self._settle(t, self._unnamed(t, f"{box} has no address in service"))
        self._settle(t, Outcome(dns.rcode.NOERROR, server, box, entry.address[0]))

    @staticmethod
    def _unnamed(t: Try, why: str) -> Outcome:
        """Served, but no box can be named: a write has run all the same, and a read may be asked again."""
        return Outcome(dns.rcode.NOERROR if t.write else dns.rcode.SERVFAIL, note=why)

    def _settle(self, t: Try, outcome: Outcome) -> None:
        if not t.write or self.names is None:
            return self._reply(t, outcome)
        from rookbend.recovery.issued_names import IssuedName

        # Kept before it is given out: what nobody has heard may be forgotten, what somebody has may not.
        self.names.persist(
            t.write,
            IssuedName(t.name, int(outcome.rcode), outcome.server, outcome.box, outcome.address, outcome.note),
            t.deadline,
            lambda: self._reply(t, outcome),
        )

    def _reply(self, t: Try, outcome: Outcome) -> None:
        t.outcome = outcome
        askers, t.askers = t.askers, {}
        for query, respond in askers.values():
            self._write(t, query, respond)

    def _write(self, t: Try, query: dns.message.Message, respond: Respond) -> None:
        """The last look at the membership, with the reply right behind it."""
        outcome = t.outcome
        if outcome.server and not self.engine.is_in_service(outcome.server):
            # Guards the drain: the box left between its answer and this reply, or since the first reply.
            outcome = (
                self._unnamed(t, "its box has left")
                if t.write
                else self._refused(self.engine.settings.max_retry_after_us)
            )
        respond(reply_to(query, outcome))
