"""The machine of one director's ownership: fed `(now, event)`, answers with actions. Pure.

It votes, asks for the scopes that a hash over the living gives it, renews what it owns, hands over what it is
to lose, and runs the duties that stand on it. The program runs it (net/ownership.py), and so do the tests and
measurements in simulated time. Times are microseconds of the director's monotonic clock, moved to the Unix
time of its start."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from rookbend.coordination.actions import DeleteRow, PersistRow, SendDatagram, WriteLogLine
from rookbend.coordination.events import DatagramReceived, TimerExpired
from rookbend.core.token_bucket import TokenBucket
from rookbend.leases import leader_tasks, order_replication, ramp_allocation
from rookbend.leases import sharded_checks as checks
from rookbend.leases.actions import Action, Count, Lost, OrderDone, OrderStands, Owned, Told, WriteLine
from rookbend.leases.events import (
    Asked,
    Counted,
    Event,
    Found,
    Kept,
    Living,
    Move,
    NewVoters,
    OldDisk,
    OrderGiven,
    Stop,
    Written,
)
from rookbend.leases.fencing import Receiver
from rookbend.leases.fleet_report import Report
from rookbend.leases.lease import Grant, Phase, Sets, Tenure, Terms, Voter
from rookbend.protocol import leases as wire
from rookbend.protocol.gossip import fleet_number

BEAT_US = 100_000  # the machine's own, while anything is owned, asked for or voted on
ASK_AGAIN_US = 200_000  # a round whose votes were lost
ASK_FOR_US = 1_000_000  # then it gives up, and lets others try
TAKE_AGAIN_US = 50_000
PART_TIMES = 4  # a hand-over is said so often, a beat between
# Stopped for so long, the asks that it finds waiting are too old to be granted.
ASLEEP_US, WAKING_US = 1_000_000, 100_000
LOOK_US = 2_000_000  # between two looks at who owns what
STAGGER_US = 300_000  # by so much the second candidate waits longer
CANDIDATES = 2  # who may ask for a scope at once
FETCH_US, APPEND_US = 1_000_000, 300_000
GIVE_AGAIN_US, GIVE_FOR_US = 400_000, 4_000_000
BALANCE_US = 2_000_000
BUDGET, BURST = 400.0, 800  # datagrams a second of this director, all kinds
ORDERS, CONDUCTOR, REPORT = 0, 1, 2
PIN = "pin "  # an order on a scope, in place of a member: `@checks/3`

DUTIES = frozenset({"orders", "conductor", "report", "checks"})


@dataclass(frozen=True, slots=True)
class Config:
    """`duties`: which of the table run."""

    me: int
    count: int
    fleet: str
    seed: int
    voters: frozenset[int]
    terms: Terms = Terms()
    duties: frozenset[str] = DUTIES
    shards: int = 8
    report_us: int = 60_000_000


@dataclass(slots=True)
class VoteDue:
    """A vote that waits for the disk."""

    peer: int
    life: int
    scope: int
    round: int
    token: int


@dataclass(slots=True)
class Try:
    """When a scope is next asked for, and what is known of it from refusals."""

    at_us: int = 0
    began_us: int = 0
    sent_us: int = 0
    backoff: int = 0
    renewed_us: int = 0
    place: int = -1  # whom a voter said that it is granted to
    ownerless_us: int = 0  # since when no owner is known
    handed: int = 0  # the newest token above which it was handed to us
    taken_us: int = -1  # when it was handed to us, until it is owned
    no: dict[int, int] = field(default_factory=dict)  # voters that refused: for how long yet


@dataclass(slots=True)
class Mine:
    """An order that was given here and waits for the writer."""

    event: OrderGiven
    began_us: int
    sent_us: int = 0


class Director:
    """`kept` are rows from before: (kind, key, value). `due_us` is when the next Tick is wanted."""

    def __init__(self, config: Config, now: int, life: int, kept: tuple[tuple[str, str, bytes], ...] = ()):
        self.config, self.life = config, life
        self.me = (config.me, life)
        self.random = random.Random(f"{config.seed} ownership {config.me} {life}")
        self.fleet = fleet_number(config.fleet)
        self.sets = Sets(config.voters, config.count, config.me)
        grants, tokens, log, stands = {}, {}, {}, 0
        for kind, key, value in kept:
            try:
                if kind == "promise":
                    place, its_life, token = msgspec.msgpack.decode(value, type=tuple[int, int, int])
                    grants[int(key)] = (place, its_life), token
                elif kind == "token":
                    tokens[int(key)] = msgspec.msgpack.decode(value, type=int)
                elif kind == "log" and key == "stands":
                    stands = msgspec.msgpack.decode(value, type=int)
                elif kind == "log":
                    entry = msgspec.msgpack.decode(value, type=wire.Entry)
                    log[entry[0]] = entry
            except (msgspec.MsgspecError, ValueError):
                continue  # a row that can't be read is one that was lost
        self.voter = Voter(config.terms, now, grants)
        # A grant does not bind it as a receiver: one who is granted by a few voters only owns nothing.
        self.receiver = Receiver(tokens)
        self.log = order_replication.Log(log, stands)
        # Whether this voter's log may lack what it has stored: it is copied first, and read by no writer.
        has_log = any((kind, key) == ("log", "stands") for kind, key, _ in kept)
        self.copying = None if has_log else order_replication.Copying(config.me)
        self.follower = checks.Follower()
        self.conducted = ramp_allocation.Conducted()
        self.report = Report(config.report_us)
        self.writer: order_replication.Writer | None = None
        self.scopes = leader_tasks.scopes(config.duties, config.shards)
        self.tenures = {s: Tenure(s, self.me, config.terms, self.sets.needed) for s in self.scopes}
        self.tries = {
            s: Try(at_us=now + config.terms.quiet_us + self._jitter(STAGGER_US), ownerless_us=now) for s in self.scopes
        }
        self.pins: dict[int, int] = {}
        self.living = frozenset({config.me})
        self.ranks: dict[int, list[int]] = {}
        self.top = max([*tokens.values(), *(t for _, t in grants.values())], default=0)
        self.recalled: set[int] = set()  # voters that told a starting one their highest token
        # What goes out once a row is on disk, by its key, in the order of putting:
        self.votes_due: dict[str, deque[VoteDue]] = {}
        self.appends_due: dict[str, deque[tuple[int, int, int, int]]] = {}  # (peer, life, token, number)
        self.unsafe: set[tuple[int, int]] = set()  # grants that the disk refused: (scope, token)
        self.parting: list[list[int]] = []  # handed over: (times yet, scope, token, successor)
        self.given: dict[int, Mine] = {}
        self.findings: dict[int, Found] = {}
        self.sequences: dict[int, int] = {}
        self.told_us: dict[int, int] = {}
        self.calls: Mapping[int, int] = {}
        self.conducted_us = self.fetched_us = self.appended_us = self.balanced_us = self.recalled_us = 0
        self.copied_us = self.awake_us = 0
        self.fed_us = now
        self.looked_us = now - self._jitter(LOOK_US)
        self.began_us = now
        self.figures: tuple[int, ...] = ()
        self.stopping = False
        self.budget = TokenBucket(BUDGET, BURST)
        self.unreadable = self.silenced = self.changes = self.turned_away = 0
        self.sent = 0
        self.due_us = now
        self.out: list[Action] = []

    # The machine

    def begin(self, now: int) -> list[Action]:
        """What took effect before does so again. To be called once, before anything else."""
        self.out = []
        self._apply()
        return self.out

    def feed(self, now: int, event: Event) -> list[Action]:
        self.out = []
        if now - self.fed_us > ASLEEP_US:
            self.awake_us = now + WAKING_US
        self.fed_us = now
        HANDLERS[type(event)](self, now, event)
        return self.out

    def _say(self, event: str, level: str = "info", **fields) -> None:
        self.out.append(WriteLogLine(event, level, fields))

    def _jitter(self, span_us: int) -> int:
        return int(self.random.random() * span_us)

    def _send(self, now: int, peer: int, message: wire.Message) -> None:
        self._send_data(now, peer, wire.encode(message))

    def _send_data(self, now: int, peer: int, data: bytes) -> None:
        if peer == self.config.me:
            self._take(now, peer, wire.decode(data))
        elif self.budget.take(now):
            self.sent += 1
            self.out.append(SendDatagram(peer, data))
        else:
            self.silenced += 1

    def _head(self) -> tuple[int, int, int]:
        return self.fleet, self.config.me, self.life

    def _asking(self, *rows: tuple[int, int, int]) -> wire.Ask:
        return wire.Ask(*self._head(), self.sets.digest, self._top(), rows)

    def _to_voters(self, now: int, message: wire.Message) -> None:
        for voter in sorted(self.sets.all):
            self._send(now, voter, message)

    def _say_released(self, now: int, scope: int, token: int, successor: int = -1) -> None:
        self._to_voters(now, wire.Release(*self._head(), ((scope, token, successor),)))

    def _keep_entry(self, entry: wire.Entry, awaited: bool = False) -> None:
        self.out.append(PersistRow("log", _log_key(entry[0]), msgspec.msgpack.encode(entry), awaited))

    def _keep_stands(self) -> None:
        self.out.append(PersistRow("log", "stands", msgspec.msgpack.encode(self.log.committed)))

    # What is owned

    def owns(self, now: int, scope: int) -> int:
        """The token of a scope that is owned right now, else 0: asked as the last byte of an act goes out."""
        t = self.tenures.get(scope)
        return t.token if t is not None and t.owns(now) and not self.stopping else 0

    def owned(self, now: int) -> list[int]:
        return [s for s in self.scopes if self.owns(now, s)]

    def _rank(self, scope: int) -> list[int]:
        found = self.ranks.get(scope)
        if found is None:
            found = leader_tasks.rank(scope, self.living)
            if (pin := self.pins.get(scope)) in self.living:
                found = [pin, *(p for p in found if p != pin)]
            self.ranks[scope] = found
        return found

    # Time

    def _tick(self, now: int, event: TimerExpired) -> None:
        if now < self.due_us:
            return
        rows: list[tuple[int, int, int]] = []
        for scope in self.scopes:
            self._tenure_tick(now, scope, rows)
        if rows:
            for data in wire.split(self._asking(), rows):
                for voter in sorted(self.sets.all):
                    self._send_data(now, voter, data)
        self._part(now)
        self._recall(now)
        self._look(now)
        self._duties(now)
        self._orders_tick(now)
        self.due_us = now + int(BEAT_US * (0.85 + 0.3 * self.random.random()))

    def _top(self) -> int:
        return max(self.top, self.voter.top)

    def _recall(self, now: int) -> None:
        """A voter that started asks the others for the highest token while it is quiet."""
        if (
            self.config.me not in self.sets.all
            or now >= self.voter.quiet_until
            or now - self.recalled_us < ASK_AGAIN_US
        ):
            return
        self.recalled_us = now
        for voter in self.sets.all - {self.config.me} - self.recalled:
            self._send(now, voter, self._asking())

    def _look(self, now: int) -> None:
        """Who owns what, of one voter: an ask that can't be granted is answered with it."""
        others = sorted(self.sets.all - {self.config.me})
        if not others or now - self.looked_us < LOOK_US:
            return
        self.looked_us = now
        if self.sets.old is not None:
            for peer in self.sets.unheard():  # which voters they go by
                self._send(now, peer, self._asking())
        rows = [(s, 0, 0) for s in self.scopes if not self.owns(now, s)]
        voter = self.random.choice(others)
        for data in wire.split(self._asking(), rows) if rows else ():
            self._send_data(now, voter, data)

    def _tenure_tick(self, now: int, scope: int, rows: list) -> None:
        tenure, row = self.tenures[scope], self.tries[scope]
        if tenure.lapsed(now):
            self._lost(now, scope, "ran out")
        if tenure.phase is Phase.OWNED:
            # A third of the lease, less a jitter: renewals of scopes that began together drift apart.
            if now - row.renewed_us >= self.config.terms.lease_us // 3 - self._jitter(ASK_AGAIN_US):
                row.renewed_us = now
                rows.append((scope, tenure.token, tenure.again(now)))
            return
        if self.stopping:
            return
        if tenure.phase is Phase.ASKING:
            if now - row.began_us >= ASK_FOR_US:
                self._give_up(now, scope)
            elif now - row.sent_us >= ASK_AGAIN_US:
                row.sent_us = now
                rows.append((scope, tenure.token, tenure.again(now)))
            return
        if now < row.at_us:
            return
        if self._rank(scope).index(self.config.me) >= CANDIDATES or not self._hears_enough():
            row.at_us = now + STAGGER_US
            return
        round_ = self._begin(now, scope)
        rows.append((scope, tenure.token, round_))

    def _begin(self, now: int, scope: int) -> int:
        row = self.tries[scope]
        row.began_us = row.sent_us = now
        row.no = {}
        self.top = max(self._top(), (now // 1_000_000) << 16) + 1
        return self.tenures[scope].begin(now, self.top)

    def _give_up(self, now: int, scope: int) -> None:
        """No majority: who has granted is told, so that another may try."""
        tenure, row = self.tenures[scope], self.tries[scope]
        # To all: one whose vote was lost holds to its grant else.
        self._say_released(now, scope, tenure.token)
        tenure.give_up()
        row.backoff = min(row.backoff + 1, 4)
        row.at_us = now + self._wait(scope) + self._jitter(row.backoff * STAGGER_US)

    def _wait(self, scope: int) -> int:
        return STAGGER_US * self._rank(scope).index(self.config.me)

    def _hears_enough(self) -> bool:
        """Guards the scope from one that is heard and hears nothing: its asks would be granted for ever, and
        it never know."""
        return all(len(voters & self.living) > len(voters) // 2 for voters in self.sets.needed)

    def _lost(self, now: int, scope: int, why: str) -> None:
        self.tenures[scope].give_up()
        self.tries[scope].at_us = now + self._wait(scope) + self._jitter(STAGGER_US)
        self.tries[scope].ownerless_us = now
        self.out.append(Lost(scope, why))
        self._say("ownership_lost", "warning", scope=leader_tasks.name_of(scope), why=why)
        if scope == ORDERS:
            self.writer = None  # who waits asks the next one
        elif scope == REPORT:
            self.report.round = None

    def _won(self, now: int, scope: int) -> None:
        tenure, row = self.tenures[scope], self.tries[scope]
        row.renewed_us, row.backoff, row.place, row.ownerless_us = row.sent_us, 0, self.config.me, 0
        row.taken_us = -1
        self.changes += 1
        self._raise(scope, tenure.token)
        self.out.append(Owned(scope, tenure.token, tenure.until))
        self._say("ownership_won", scope=leader_tasks.name_of(scope), token=tenure.token)
        if scope == ORDERS:
            self.writer = order_replication.Writer(self.log, tenure.token, self.sets.needed)
        self.sequences[scope] = 0

    def _raise(self, scope: int, token: int) -> None:
        """Our own token binds us as a receiver too."""
        if self.receiver.rises(scope, token):
            self.out.append(PersistRow("token", str(scope), msgspec.msgpack.encode(token)))
        self.receiver.accept(scope, token)

    def _hand_over(self, now: int, scope: int, successor: int) -> None:
        """What stands on the scope stops first, then the voters hear, then the successor."""
        tenure = self.tenures[scope]
        token = tenure.token
        self._lost(now, scope, f"handed to {successor}")
        self.tries[scope].at_us = now + self.config.terms.hand_over_us + self._wait(scope)
        self.parting.append([PART_TIMES, scope, token, successor])
        self._part(now)

    def _part(self, now: int) -> None:
        """Says again what was handed over: where a word is lost, the scope waits for the end of the lease."""
        for row in self.parting:
            row[0] -= 1
            _, scope, token, successor = row
            self._say_released(now, scope, token, successor)
            if successor >= 0:
                self._send(now, successor, wire.Take(*self._head(), ((scope, token),)))
        self.parting = [row for row in self.parting if row[0] > 0]

    def _stop(self, now: int, event: Stop) -> None:
        for scope in self.owned(now):
            others = [p for p in self._rank(scope) if p != self.config.me]
            self._hand_over(now, scope, others[0] if others else -1)
        self.stopping = True

    def _move(self, now: int, event: Move) -> None:
        if self.owns(now, event.scope) and event.place != self.config.me and event.place in self.living:
            self._hand_over(now, event.scope, event.place)

    def _living(self, now: int, event: Living) -> None:
        places = event.places | {self.config.me}
        if places != self.living:
            self.living, self.ranks = places, {}

    def _balance(self, now: int) -> None:
        """A pinned scope goes where it is pinned; of the shards, what is over an even part and another one's
        by the hash goes there, one at a time."""
        if now - self.balanced_us < BALANCE_US:
            return
        self.balanced_us = now
        mine = self.owned(now)
        for scope in mine:
            pin = self.pins.get(scope)
            if pin is not None and pin != self.config.me and pin in self.living:
                return self._hand_over(now, scope, pin)
        shards = [s for s in mine if s >= leader_tasks.FIRST_SHARD and s not in self.pins]
        even = -(-self.config.shards // len(self.living))
        if len(shards) > even:
            for scope in shards:
                first = self._rank(scope)[0]
                if first != self.config.me:
                    return self._hand_over(now, scope, first)

    # Voters

    def _new_voters(self, now: int, event: NewVoters) -> None:
        if not self.sets.change(event.voters):
            return self._say("ownership_voters_wait", "warning", why="the change before is not over")
        if self.sets.old is not None:
            self._say("ownership_voters", "warning", old=sorted(self.sets.old), new=sorted(self.sets.new))
        self._sets_changed(now)

    def _sets_changed(self, now: int) -> None:
        for scope, tenure in self.tenures.items():
            tenure.change_sets(now, self.sets.needed)
            if self.writer is not None and scope == ORDERS:
                self.writer.sets = self.sets.needed

    def _hear_voters(self, now: int, sender: int, digest: int) -> None:
        if sender != self.config.me and self.sets.hear(sender, digest):
            self._say("ownership_voters_agreed", voters=sorted(self.sets.new))
            self._sets_changed(now)

    def _old_disk(self, now: int, event: OldDisk) -> None:
        self.voter.be_quiet(now)
        self.recalled = set()
        self.copying = order_replication.Copying(self.config.me)
        self._say("ownership_quiet", "warning", why="an older disk is under this voter")

    # Datagrams

    def _datagram(self, now: int, event: DatagramReceived) -> None:
        try:
            message = wire.decode(event.data)
        except wire.OwnershipError:
            self.unreadable += 1
            return
        if (
            message.fleet != self.fleet
            or message.number != event.sender
            or event.sender == self.config.me
            or not 0 <= event.sender < self.config.count
        ):
            self.unreadable += 1
            return
        self._take(now, event.sender, message)

    def _take(self, now: int, sender: int, message: wire.Message) -> None:
        MESSAGES[type(message)](self, now, sender, message)

    def _ask(self, now: int, sender: int, m: wire.Ask) -> None:
        self._hear_voters(now, sender, m.voters)
        if not m.rows:
            return self._vote(now, sender, m.life, [])
        if self.config.me not in self.sets.all or now < self.awake_us:
            return
        rows = []
        for scope, token, round_ in m.rows:
            if scope not in self.tenures:
                continue
            vote = self.voter.ask(now, scope, (sender, m.life), token)
            key, due = str(scope), VoteDue(sender, m.life, scope, round_, token)
            if vote.is_new:
                self.votes_due.setdefault(key, deque()).append(due)
                self.out.append(PersistRow("promise", key, msgspec.msgpack.encode((sender, m.life, token)), True))
            elif vote.granted and any(d.token == token for d in self.votes_due.get(key, ())):
                for waiting in self.votes_due[key]:
                    waiting.round = round_  # asked again before its grant was on disk: the vote waits on
            elif not vote.granted or (scope, token) not in self.unsafe:
                rows.append((scope, round_, vote.granted, vote.token, vote.place, vote.left_us // 1000))
        if rows:
            self._vote(now, sender, m.life, rows)

    def _vote(self, now: int, to: int, life: int, rows: list) -> None:
        for data in wire.split(wire.Vote(*self._head(), self.sets.digest, self._top(), life, ()), rows):
            self._send_data(now, to, data)

    def _kept(self, now: int, event: Kept) -> None:
        if event.kind == "promise" and (due := _first(self.votes_due, event.key)) is not None:
            grant: Grant | None = self.voter.grants.get(due.scope)
            if not event.safe:
                # A disk that refuses gives no vote: after a start this voter would not know of it.
                self.unsafe.add((due.scope, due.token))
            elif grant is not None and grant.token == due.token:
                left = max(0, grant.until - now) // 1000
                self._vote(now, due.peer, due.life, [(due.scope, due.round, True, due.token, due.peer, left)])
        elif event.kind == "log" and (due := _first(self.appends_due, event.key)) is not None:
            peer, life, token, number = due
            if event.safe:
                self._send(now, peer, wire.Appended(*self._head(), life, token, number))
            else:
                self.log.entries.pop(number, None)  # it is asked to store it again

    def _heard_vote(self, now: int, sender: int, m: wire.Vote) -> None:
        self._hear_voters(now, sender, m.voters)
        self.top = max(self.top, min(m.top, self._believable(now)))
        if m.to_life != self.life:
            return
        if now < self.voter.quiet_until and sender not in self.recalled:
            # Its first word only: what is granted from here on has higher tokens, and must not be shut out.
            self.recalled.add(sender)
            self.voter.raise_floor(min(m.top, self._believable(now)))
        for scope, round_, granted, token, place, left_ms in m.rows:
            tenure = self.tenures.get(scope)
            if tenure is None or sender not in self.sets.all:
                continue
            if granted:
                if tenure.granted(now, sender, round_, token) and not self.stopping:
                    self._won(now, scope)
            else:
                self._refused(now, scope, sender, round_, token, place, left_ms * 1000)

    @staticmethod
    def _believable(now: int) -> int:
        """No token of a fleet whose clocks are right within a year is higher: guards against one bad figure
        that would use all tokens up."""
        return (now // 1_000_000 + 31_536_000) << 16

    def _refused(self, now: int, scope: int, voter: int, round_: int, token: int, place: int, left_us: int) -> None:
        tenure, row = self.tenures[scope], self.tries[scope]
        self.top = max(self.top, min(token, self._believable(now)))
        if place >= 0 and left_us:
            row.place, row.ownerless_us = place, 0
        elif row.place != self.config.me and row.place == place:
            row.place, row.ownerless_us = -1, row.ownerless_us or now
        if tenure.phase is not Phase.ASKING or round_ not in tenure.asked:
            return
        row.no[voter] = left_us
        if all(len(voters - row.no.keys()) > len(voters) // 2 for voters in tenure.sets):
            return  # a majority may be had yet
        for granted in tenure.yes:
            self._send(now, granted, wire.Release(*self._head(), ((scope, tenure.token, -1),)))
        tenure.give_up()
        if 0 <= now - row.taken_us < self.config.terms.hand_over_us:
            row.at_us = now + TAKE_AGAIN_US  # its release is on its way to the voters
        else:
            row.at_us = (
                now
                + min(min(row.no.values()), self.config.terms.lease_us)
                + self._wait(scope)
                + self._jitter(STAGGER_US)
            )

    def _release(self, now: int, sender: int, m: wire.Release) -> None:
        for scope, token, successor in m.rows:
            self.voter.release(now, scope, (sender, m.life), token, successor)

    def _take_over(self, now: int, sender: int, m: wire.Take) -> None:
        for scope, token in m.rows:
            row = self.tries.get(scope)
            if (
                row is not None and self.tenures[scope].phase is Phase.IDLE and not self.stopping and token > row.handed
            ):  # said again: it may have been owned and lost since
                row.handed = token
                self.top = max(self.top, min(token, self._believable(now)))
                row.taken_us = now
                round_ = self._begin(now, scope)
                self._to_voters(now, self._asking((scope, self.top, round_)))

    # Receivers

    def _accept(self, now: int, sender: int, scope: int, token: int) -> bool:
        """An act with that token: taken, or its sender told why not."""
        if self.receiver.rises(scope, token):
            if token > self._believable(now):
                self.unreadable += 1
                return False
            self.out.append(PersistRow("token", str(scope), msgspec.msgpack.encode(token)))
            self.top = max(self.top, token)
        if self.receiver.accept(scope, token):
            return True
        self.turned_away += 1
        self._say(
            "ownership_act_refused",
            "warning",
            scope=leader_tasks.name_of(scope),
            by=sender,
            token=token,
            highest=self.receiver.highest[scope],
        )
        self._send(now, sender, wire.TurnedAway(*self._head(), scope, self.receiver.highest[scope]))
        return False

    def _told_off(self, now: int, sender: int, m: wire.TurnedAway) -> None:
        tenure = self.tenures.get(m.scope)
        highest = min(m.highest, self._believable(now))
        self.top = max(self.top, highest)
        if tenure is not None and tenure.phase is Phase.OWNED and highest > tenure.token:
            token = tenure.token
            self._lost(now, m.scope, f"director {sender} knows a newer owner")
            self._say_released(now, m.scope, token)

    # Duties

    def _duties(self, now: int) -> None:
        self._balance(now)
        for scope, found in self.findings.items():
            if self.owns(now, scope) and now - self.told_us.get(scope, 0) >= checks.BEAT_US:
                self._tell(now, scope, found)
        if self.calls and now - self.conducted_us >= ramp_allocation.BEAT_US and (token := self.owns(now, CONDUCTOR)):
            self.conducted_us = now
            self.sequences[CONDUCTOR] += 1
            for place, part in ramp_allocation.parts(self.config.count, self.calls).items():
                self._send(
                    now,
                    place,
                    wire.Share(*self._head(), token, self.sequences[CONDUCTOR], part, ramp_allocation.VALID_US // 1000),
                )
        if token := self.owns(now, REPORT):
            self._report(now, token)

    def _report(self, now: int, token: int) -> None:
        if self.report.due(now):
            sequence = self.report.begin(now)
            self.out.append(Count())
            for peer in range(self.config.count):
                if peer != self.config.me:
                    self._send(now, peer, wire.Gather(*self._head(), token, sequence))
        line = self.report.line(now, token, self.config.count)
        if line is not None:
            self.out.append(WriteLine(line[0], token, line[1], self.tenures[REPORT].until))

    def _written(self, now: int, event: Written) -> None:
        self.report.ended(event.number, event.ok)
        if event.highest:
            self._told_off(now, -1, wire.TurnedAway(*self._head(), REPORT, event.highest))

    def _gather(self, now: int, sender: int, m: wire.Gather) -> None:
        if self._accept(now, sender, REPORT, m.token):
            self.out.append(Count())
            self._send(now, sender, wire.Counts(*self._head(), m.life, m.sequence, self.figures))

    def _counts(self, now: int, sender: int, m: wire.Counts) -> None:
        if m.to_life == self.life:
            self.report.hear(sender, m.life, m.sequence, m.figures)

    def _counted(self, now: int, event: Counted) -> None:
        self.figures = event.figures
        if self.report.round is not None:
            self.report.hear(self.config.me, self.life, self.report.round.sequence, event.figures)

    def _found(self, now: int, event: Found) -> None:
        before, self.findings[event.scope] = self.findings.get(event.scope), event
        if before is None or before.findings != event.findings:
            self._tell(now, event.scope, event)

    def _tell(self, now: int, scope: int, found: Found) -> None:
        token = self.owns(now, scope)
        if not token:
            return
        self.told_us[scope] = now
        self.sequences[scope] += 1
        message = wire.Verdicts(*self._head(), scope, token, self.sequences[scope], 0, checks.PARTS, found.covered, ())
        pieces = wire.split(message, found.findings)[: checks.PARTS]
        whole = [
            wire.encode(msgspec.structs.replace(wire.decode(p), part=i, parts=len(pieces)))
            for i, p in enumerate(pieces)
        ]
        for peer in range(self.config.count):
            if peer != self.config.me:
                for data in whole:
                    self._send_data(now, peer, data)

    def _verdicts(self, now: int, sender: int, m: wire.Verdicts) -> None:
        if (
            m.scope < leader_tasks.FIRST_SHARD
            or m.scope not in self.tenures
            or not self._accept(now, sender, m.scope, m.token)
        ):
            return
        self.tries[m.scope].place, self.tries[m.scope].ownerless_us = sender, 0
        if self.follower.hear(now, m.scope, m.token, m.sequence, m.part, m.parts, m.covered, m.rows):
            self.out.append(Told(m.scope))

    def _asked(self, now: int, event: Asked) -> None:
        self.calls = event.calls

    def _share(self, now: int, sender: int, m: wire.Share) -> None:
        if sender == self.config.me or self._accept(now, sender, CONDUCTOR, m.token):
            self.conducted.take(now, m.token, m.sequence, m.millionths, m.valid_ms * 1000)

    # Orders

    def _order_given(self, now: int, event: OrderGiven) -> None:
        self.given[event.id] = Mine(event, now)
        self._push_order(now, self.given[event.id])

    def _push_order(self, now: int, mine: Mine) -> None:
        mine.sent_us, e = now, mine.event
        if self.owns(now, ORDERS):
            return self._take_order(now, (self.config.me, self.life, e.id), e.member, e.order, e.by)
        place = self.tries[ORDERS].place if ORDERS in self.tries else -1
        if place not in (-1, self.config.me):
            self._send(now, place, wire.Given(*self._head(), e.id, e.member, e.order, e.by))
        elif ORDERS in self.tries:
            for voter in self.sets.all - {self.config.me}:  # who it is: a refusal of this tells
                self._send(now, voter, self._asking((ORDERS, 0, 0)))
            if (
                self.config.me in self.sets.all
                and (grant := self.voter.grants.get(ORDERS)) is not None
                and now < grant.until
            ):
                self.tries[ORDERS].place = grant.holder[0]

    def _given(self, now: int, sender: int, m: wire.Given) -> None:
        if self.owns(now, ORDERS):
            self._take_order(now, (sender, m.life, m.id), m.member, m.order, m.by)

    def _take_order(self, now: int, whose: tuple[int, int, int], member: str, order: str, by: str) -> None:
        waiting = order_replication.Waiting(member, order, by, whose)
        if self.log.stands(whose):
            return self._answer_order(now, waiting, "")  # the answer was lost
        if fault := self.writer.give(waiting):
            return self._answer_order(now, waiting, fault)
        self._write_on(now)

    def _answer_order(self, now: int, waiting: order_replication.Waiting, fault: str) -> None:
        place, life, id_ = waiting.whose
        if place == self.config.me and life == self.life:
            if self.given.pop(id_, None) is not None:
                self.out.append(OrderDone(id_, fault))
        elif place >= 0:
            self._send(now, place, wire.Done(*self._head(), life, id_, fault))

    def _done(self, now: int, sender: int, m: wire.Done) -> None:
        if m.to_life == self.life and self.given.pop(m.id, None) is not None:
            self.out.append(OrderDone(m.id, m.fault))

    def _write_on(self, now: int) -> None:
        """The writer's next step: read, or have stored."""
        w, token = self.writer, self.owns(now, ORDERS)
        if w is None or not token:
            return
        self.appended_us = now
        if w.reading:
            for voter in sorted(self.sets.all):
                self._send(now, voter, wire.Fetch(*self._head(), token, w.read_from(voter)))
            return
        pending = w.entries()
        for entry in pending or [None]:
            for voter in sorted(self.sets.all):
                if entry is None or voter not in w.out[entry[0]].yes:
                    self._send(now, voter, wire.Append(*self._head(), token, self.log.committed, entry))

    def _append(self, now: int, sender: int, m: wire.Append) -> None:
        if sender != self.config.me and not self._accept(now, sender, ORDERS, m.token):
            return
        if m.entry is not None:
            number = m.entry[0]
            if self.log.put(m.entry):
                due = self.appends_due.setdefault(_log_key(number), deque())
                due.append((sender, m.life, m.token, number))
                self._keep_entry(m.entry, awaited=True)
            elif self.log.entries[number] == m.entry and _log_key(number) not in self.appends_due:
                self._send(now, sender, wire.Appended(*self._head(), m.life, m.token, number))
        if sender != self.config.me:
            self.log.stands_to(m.committed, m.token)
            self._apply()

    def _appended(self, now: int, sender: int, m: wire.Appended) -> None:
        w = self.writer
        if (
            w is None
            or m.to_life != self.life
            or m.token != w.token
            or not self.owns(now, ORDERS)
            or sender not in self.sets.all
        ):
            return
        stand = w.appended(sender, m.entry)
        for waiting in stand:
            self.log.take((waiting.entry,), waiting.entry[0])
            self._answer_order(now, waiting, "")
        if stand:
            self._apply()
            self._write_on(now)  # all hear at once that it stands

    def _fetch(self, now: int, sender: int, m: wire.Fetch) -> None:
        committed = self.log.committed
        if m.token == order_replication.COPY:
            last, committed = self.log.last, order_replication.BLANK if self.copying is not None else committed
        elif m.token:
            if sender != self.config.me and not self._accept(now, sender, ORDERS, m.token):
                return
            if self.copying is not None or now < self.voter.quiet_until:
                return  # its log may lack what it has stored: no majority is to be read with it
            last = self.log.last
        else:
            last = committed
        found, taken = self.log.after(m.after, last), []
        best = wire.Entries(*self._head(), m.life, m.token, m.after, committed, last, ())
        for entry in found:
            new = msgspec.structs.replace(best, entries=(*taken, entry))
            try:
                wire.encode(new)
            except wire.OwnershipError:
                break
            best, taken = new, [*taken, entry]
        self._send(now, sender, best)

    def _entries(self, now: int, sender: int, m: wire.Entries) -> None:
        if m.to_life != self.life:
            return
        w = self.writer
        if m.token == order_replication.COPY:
            return self._copied(now, sender, m)
        if m.token:
            if (
                w is not None
                and m.token == w.token
                and sender in self.sets.all
                and w.heard(sender, m.after, m.last, m.committed, m.entries)
            ):
                self._apply()
                self._write_on(now)
            elif w is not None and w.reading and m.entries and m.token == w.token:
                self._send(now, sender, wire.Fetch(*self._head(), w.token, w.read_from(sender)))
            return
        if m.after != self.log.committed:
            return
        self.log.take(m.entries, m.entries[-1][0] if m.entries else m.last)
        self._apply()
        if m.entries and m.entries[-1][0] < m.last:
            self.fetched_us = 0  # the next piece at once

    def _copied(self, now: int, sender: int, m: wire.Entries) -> None:
        copying = self.copying
        if copying is None or sender not in self.sets.all:
            return
        copying.heard(sender, m.after, m.last, m.committed, m.entries)
        if not copying.done(self.sets.needed):
            if m.entries:
                self._send(now, sender, wire.Fetch(*self._head(), order_replication.COPY, copying.read_from(sender)))
            return
        self.copying = None
        for entry in copying.newest():
            if self.log.put(entry):
                self._keep_entry(entry)
        self.log.committed = max(self.log.committed, copying.stands)
        self._keep_stands()
        self._apply()

    def _apply(self) -> None:
        """What stands takes effect, in order."""
        unsaved, self.log.unsaved = self.log.unsaved, []
        for entry in unsaved:  # before the number up to which they stand
            self._keep_entry(entry)
        due = self.log.due()
        for _, _, member, order, by, _ in due:
            if not member:
                continue  # a hole that a writer closed
            if not member.startswith("@"):
                self.out.append(OrderStands(member, order, by))
                continue
            try:
                scope = leader_tasks.scope_of(member[1:])
            except leader_tasks.UnknownDutyError:
                continue
            place = order.removeprefix(PIN)
            if order.startswith(PIN) and place.isdigit():
                self.pins[scope] = int(place)
            else:
                self.pins.pop(scope, None)
            self.ranks.pop(scope, None)
        if due:
            self._keep_stands()
        for number in self.log.compact():
            self.out.append(DeleteRow("log", _log_key(number)))

    def _orders_tick(self, now: int) -> None:
        if ORDERS not in self.tenures:
            return
        if self.copying is not None and self.config.me in self.sets.all and now - self.copied_us >= APPEND_US:
            self.copied_us = now
            for voter in sorted(self.sets.all - {self.config.me} - self.copying.ended):
                self._send(now, voter, wire.Fetch(*self._head(), order_replication.COPY, self.copying.read_from(voter)))
            if self.copying.done(self.sets.needed):  # the only voter there is
                self.copying = None
                self._keep_stands()
        if self.owns(now, ORDERS):
            idle = self.writer is not None and not self.writer.reading and not self.writer.out
            if now - self.appended_us >= (FETCH_US if idle else APPEND_US):
                self._write_on(now)
        elif now - self.fetched_us >= FETCH_US:
            self.fetched_us = now
            known = self.tries[ORDERS].place
            asked = (
                [known]
                if known not in (-1, self.config.me) and self.random.random() < 0.5
                else [v for v in self.sets.all if v != self.config.me]
            )
            if asked:
                self._send(now, self.random.choice(sorted(asked)), wire.Fetch(*self._head(), 0, self.log.committed))
        for id_, mine in list(self.given.items()):
            if now - mine.began_us >= GIVE_FOR_US:
                del self.given[id_]
                self.out.append(
                    OrderDone(
                        id_,
                        "no owner answered: whether it stands can't be told"
                        if self.tries[ORDERS].place >= 0
                        else "nobody owns the orders",
                    )
                )
            elif now - mine.sent_us >= GIVE_AGAIN_US:
                if mine.sent_us != mine.began_us:
                    self.tries[ORDERS].place = -1  # it does not answer: the voters know better
                self._push_order(now, mine)

    # What operators read

    def describe(self, now: int, without: int = -1) -> dict:
        """Scopes and their owners as this director knows them; `without`: whose they would be if that one
        were gone."""
        living = self.living - {without}
        rows = []
        for scope in self.scopes:
            t, row = self.tenures[scope], self.tries[scope]
            ours = t.owns(now)
            rows.append(
                {
                    "scope": leader_tasks.name_of(scope),
                    "owner": self.config.me if ours else row.place,
                    "token": t.token if ours else self.receiver.highest.get(scope, 0),
                    "left_ms": (t.until - now) // 1000 if ours else None,
                    "ours": ours,
                    "pinned": self.pins.get(scope),
                    "next": leader_tasks.rank(scope, living)[:1],
                    "ownerless_ms": (now - row.ownerless_us) // 1000 if row.ownerless_us and not ours else None,
                }
            )
        return {
            "me": self.config.me,
            "voters": sorted(self.sets.new),
            "voters_before": sorted(self.sets.old) if self.sets.old else None,
            "voters_differ": self.sets.differ(),
            "living": sorted(self.living),
            "quiet_ms": max(0, self.voter.quiet_until - now) // 1000,
            "owners": rows,
            "orders": {"stand": self.log.committed, "in_effect": self.log.applied},
            "changes": self.changes,
            "turned_away": self.turned_away,
        }


def _log_key(number: int) -> str:
    return f"{number:012d}"


def _first(due: dict[str, deque], key: str):
    """What has waited longest for that row, taken out; None where nothing does."""
    waiting = due.get(key)
    if not waiting:
        return None
    found = waiting.popleft()
    if not waiting:
        del due[key]
    return found


HANDLERS = {
    TimerExpired: Director._tick,
    DatagramReceived: Director._datagram,
    Kept: Director._kept,
    Living: Director._living,
    Stop: Director._stop,
    NewVoters: Director._new_voters,
    OldDisk: Director._old_disk,
    OrderGiven: Director._order_given,
    Found: Director._found,
    Asked: Director._asked,
    Counted: Director._counted,
    Written: Director._written,
    Move: Director._move,
}
MESSAGES = {
    wire.Ask: Director._ask,
    wire.Vote: Director._heard_vote,
    wire.Release: Director._release,
    wire.Take: Director._take_over,
    wire.TurnedAway: Director._told_off,
    wire.Verdicts: Director._verdicts,
    wire.Given: Director._given,
    wire.Done: Director._done,
    wire.Append: Director._append,
    wire.Appended: Director._appended,
    wire.Fetch: Director._fetch,
    wire.Entries: Director._entries,
    wire.Share: Director._share,
    wire.Gather: Director._gather,
    wire.Counts: Director._counts,
}
