"""The rules' checker: judges a run by what crossed the sockets or the simulated wire, never by the director's
word. Pure: fed with what stand-ins saw, in the order of their clock; answers with breaches.

    answer      exactly one final answer a request, whole, by the deadline and its grace
    attempts    at most `max_attempts` whole at members, and never two out at once
    repeat      what may have run only once goes out again only after proof that it never ran, nor is refused
    drain       nothing new to, nor from as a source, a member told as draining or gone, after the grace
    cold        within each window a cold member is sent no more than multiple x present capacity x window
    purge       no good answer from a copy older than a purge told to the director, after the grace
    bytes       what is served is what a member made for that object and part

State: a row a request until it is closed, a row a member, a purge until `purge_life_us` after it was told.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

RULES = "answer", "attempts", "repeat", "drain", "cold", "purge", "bytes"


class Told(Enum):
    """A member's state as the coordinator tells it."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Limits:
    """The figures of the rules. Microseconds; `slack_us` is added to each time limit, for real sockets."""

    max_attempts: int = 6
    answer_grace_us: int = 0
    drain_grace_us: int = 500_000
    purge_grace_us: int = 500_000
    purge_life_us: int = 12_000_000
    cold_window_us: int = 1_500_000
    slack_us: int = 50_000


@dataclass(frozen=True, slots=True)
class Warmth:
    """How a member's capacity grows after its start: from a share, evenly, to all of it; and the multiple of
    it that pushes the member over. Capacity is work a second: seconds of sending a second."""

    capacity: float
    cold_ratio: float
    warm_up_us: int
    multiple: float

    def at(self, age_us: int) -> float:
        if age_us >= self.warm_up_us:
            return self.capacity
        return self.capacity * (self.cold_ratio + (1 - self.cold_ratio) * max(age_us, 0) / self.warm_up_us)


@dataclass(slots=True)
class Asked:
    """A whole request of a client has arrived at a director's machine."""

    at: int
    rid: str
    director: str
    once: bool  # may never run twice
    deadline: int
    key: tuple = ()  # object, part
    group: int = 0


@dataclass(slots=True)
class Answered:
    """A client has read a whole answer; `whole` False where its bytes can't be read as one."""

    at: int
    rid: str
    verdict: str  # served, refused, failed
    digest: str = ""
    whole: bool = True


@dataclass(slots=True)
class Left:
    """The client has withdrawn the request, or closed: no answer is owed."""

    at: int
    rid: str


@dataclass(slots=True)
class Arrived:
    """An attempt is whole at a member; `sent` is when its first byte came."""

    at: int
    rid: str
    member: str
    sent: int
    source: str = ""
    work: float = 0.0  # seconds of sending that its class takes on average


@dataclass(slots=True)
class Done:
    """A member has written the end of an attempt, or learnt that it is given up. `ran`: it may have run.
    `t0` is when the copy left the origin, for a good answer."""

    at: int
    rid: str
    member: str
    ran: bool
    good: bool = False
    t0: int = 0
    digest: str = ""


@dataclass(slots=True)
class Fill:
    """A fill has come to a member as a source: work as an attempt is."""

    at: int
    member: str
    work: float


@dataclass(slots=True)
class MembershipTold:
    """What a director was told of a member, or counts as told."""

    at: int
    director: str
    member: str
    state: Told


@dataclass(slots=True)
class PurgeTold:
    """A purge of an object (`key` is its first part) or a group, made at `made`."""

    at: int
    director: str
    made: int
    object: str = ""
    group: int = -1


@dataclass(slots=True)
class Started:
    """A member's process has started, empty."""

    at: int
    member: str
    warmth: Warmth


Seen = Asked | Answered | Left | Arrived | Done | Fill | MembershipTold | PurgeTold | Started


@dataclass(frozen=True, slots=True)
class Breach:
    rule: str
    at: int
    subject: str  # a request's id or a member's name
    text: str


@dataclass(slots=True)
class Open:
    """A request and what was seen of it."""

    asked: Asked
    attempts: int = 0
    out: dict[str, Arrived] = field(default_factory=dict)  # by member
    ran: bool = False
    answers: int = 0
    left: bool = False
    sent: dict[str, int] = field(default_factory=dict)  # by member: first byte of its newest attempt


class Cold:
    """The work put to a member that has started, over the window."""

    def __init__(self, started: Started):
        self.started, self.log, self.total, self.told = started, deque(), 0.0, False

    def put(self, at: int, work: float, window: int) -> float:
        """Takes work; how much of what the member bears in the window it has now, 1.0 being all."""
        self.log.append((at, work))
        self.total += work
        while self.log[0][0] <= at - window:
            self.total -= self.log.popleft()[1]
        warmth = self.started.warmth
        # The capacity of the window's oldest moment: it is less than now's, and a burst right after the
        # start is judged by what the member was then.
        then = warmth.at(max(0, at - window - self.started.at))
        return self.total / (warmth.multiple * then * window / 1e6)


class Checker:
    def __init__(self, limits: Limits | None = None):
        self.limits = limits or Limits()
        self.breaches: list[Breach] = []
        self.requests: dict[str, Open] = {}
        self.membership: dict[tuple[str, str], tuple[int, Told]] = {}  # director, member: since when it is out
        self.purges: dict[tuple[str, str, int], list[tuple[int, int]]] = {}  # [(told, made)]
        self.cold: dict[str, Cold] = {}
        self.made: dict[tuple, set[str]] = {}  # key: digests that members made for it
        self.seen = 0

    def see(self, event: Seen) -> None:
        self.seen += 1
        HANDLERS[type(event)](self, event)

    def _breach(self, rule: str, at: int, subject: str, text: str) -> None:
        self.breaches.append(Breach(rule, at, subject, text))

    # Clients

    def _asked(self, e: Asked) -> None:
        self.requests[e.rid] = Open(e)

    def _answered(self, e: Answered) -> None:
        r = self.requests.get(e.rid)
        if r is None:
            return self._breach("answer", e.at, e.rid, "an answer to what was never asked, or is long closed")
        r.answers += 1
        if r.answers > 1:
            return self._breach("answer", e.at, e.rid, f"answer number {r.answers}")
        if not e.whole:
            self._breach("answer", e.at, e.rid, "an answer that can't be read")
        by = r.asked.deadline + self.limits.answer_grace_us + self.limits.slack_us
        if e.at > by and not r.left:
            self._breach("answer", e.at, e.rid, f"{(e.at - by) / 1000:.0f} ms late")
        if e.verdict == "refused" and r.asked.once and (r.ran or r.out):
            self._breach("repeat", e.at, e.rid, "refused, and it may have run")
        if e.verdict == "served" and e.digest and e.digest not in self.made.get(r.asked.key, ()):
            self._breach("bytes", e.at, e.rid, "served bytes that no member made for it")

    def _left(self, e: Left) -> None:
        if e.rid in self.requests:
            self.requests[e.rid].left = True

    # Members

    def _arrived(self, e: Arrived) -> None:
        r = self.requests.get(e.rid)
        if r is None:
            return self._breach("attempts", e.at, e.rid, f"an attempt at {e.member} of what nobody asked")
        r.attempts += 1
        if r.attempts > self.limits.max_attempts:
            self._breach("attempts", e.at, e.rid, f"attempt number {r.attempts}, at {e.member}")
        if r.out:
            self._breach("attempts", e.at, e.rid, f"at {e.member} while one is out at {', '.join(r.out)}")
        if r.asked.once and r.ran:
            self._breach("repeat", e.at, e.rid, f"again, at {e.member}, and it may have run")
        r.out[e.member] = e
        r.sent[e.member] = e.sent
        grace = self.limits.drain_grace_us + self.limits.slack_us
        for member, what in ((e.member, "to"), (e.source, "from")):
            since, state = self.membership.get((r.asked.director, member), (0, Told.SERVING))
            if state is not Told.SERVING and e.sent > since + grace:
                late = (e.sent - since) / 1000
                self._breach(
                    "drain", e.at, member, f"{e.rid} sent {what} it {late:.0f} ms after it was told as {state.value}"
                )
        self._work(e.at, e.member, e.work)

    def _done(self, e: Done) -> None:
        r = self.requests.get(e.rid)
        if r is None:
            return
        r.out.pop(e.member, None)
        r.ran |= e.ran
        if not e.good:
            return
        self.made.setdefault(r.asked.key, set()).add(e.digest)
        sent = r.sent.get(e.member, e.at)
        director, name = r.asked.director, r.asked.key[0] if r.asked.key else ""
        for told, made in (
            *self.purges.get((director, name, -1), ()),
            *self.purges.get((director, "", r.asked.group), ()),
        ):
            if e.t0 < made and sent > told + self.limits.purge_grace_us + self.limits.slack_us:
                self._breach(
                    "purge",
                    e.at,
                    e.rid,
                    f"from a copy {(made - e.t0) / 1000:.0f} ms older than a "
                    f"purge told {(sent - told) / 1000:.0f} ms before it was sent",
                )

    def _fill(self, e: Fill) -> None:
        self._work(e.at, e.member, e.work)

    def _work(self, at: int, member: str, work: float) -> None:
        cold = self.cold.get(member)
        if cold is None:
            return
        window = self.limits.cold_window_us
        if at - cold.started.at > cold.started.warmth.warm_up_us + window:
            del self.cold[member]  # warm: no budget binds any more
            return
        share = cold.put(at, work, window)
        if share > 1 and not cold.told:
            cold.told = True
            self._breach(
                "cold",
                at,
                member,
                f"{share:.2f} of what pushes it over, " f"{(at - cold.started.at) / 1e6:.1f} s after its start",
            )

    def _started(self, e: Started) -> None:
        self.cold[e.member] = Cold(e)

    # What directors were told

    def _membership(self, e: MembershipTold) -> None:
        since, state = self.membership.get((e.director, e.member), (e.at, Told.SERVING))
        if e.state is Told.SERVING:
            self.membership.pop((e.director, e.member), None)
        elif state is Told.SERVING:
            self.membership[e.director, e.member] = e.at, e.state
        else:
            self.membership[e.director, e.member] = since, e.state  # out already: the first word counts

    def _purge(self, e: PurgeTold) -> None:
        rows = self.purges.setdefault((e.director, e.object, e.group), [])
        rows[:] = [row for row in rows if e.at - row[0] < self.limits.purge_life_us]
        rows.append((e.at, e.made))

    # The end

    def close(self, now: int) -> None:
        """Closes the requests whose time is over: who owes an answer by then has broken the rule."""
        grace = self.limits.answer_grace_us + self.limits.slack_us
        for rid, r in list(self.requests.items()):
            if r.asked.deadline + grace >= now or r.out:
                continue
            if not r.answers and not r.left:
                self._breach("answer", now, rid, "no answer")
            del self.requests[rid]

    def counts(self) -> dict[str, int]:
        """Breaches by rule, all rules named."""
        found = dict.fromkeys(RULES, 0)
        for breach in self.breaches:
            found[breach.rule] += 1
        return found


HANDLERS = {
    Asked: Checker._asked,
    Answered: Checker._answered,
    Left: Checker._left,
    Arrived: Checker._arrived,
    Done: Checker._done,
    Fill: Checker._fill,
    MembershipTold: Checker._membership,
    PurgeTold: Checker._purge,
    Started: Checker._started,
}
