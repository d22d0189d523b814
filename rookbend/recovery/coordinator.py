"""The machine of one director's recovery: fed `(now, event)`, answers with actions. Pure.

It is made of the modules beside it. The program runs it (net/recovery.py), and so do the tests and measurements in
simulated time; there is no second one. Times are microseconds of the director's clock, which shows Unix time.

State: one row a configured peer; rows of orders, purges and drains with the bounds of `rows.MOST`; the
membership's entries as the coordinator told them."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from rookbend.coordination.actions import DeleteRow, PersistRow, SendDatagram, WriteLogLine
from rookbend.coordination.events import DatagramReceived, TimerExpired
from rookbend.core.model import Endpoint, MembershipChange, Purge
from rookbend.core.token_bucket import TokenBucket
from rookbend.interface import MemberState
from rookbend.protocol import gossip as wire
from rookbend.recovery import replicated_rows as kept
from rookbend.recovery import state_validity as validity
from rookbend.recovery.failure_classification import Happened, Verdict
from rookbend.recovery.missed_purges import Gap
from rookbend.recovery.origin_ramp import Outcomes, Share
from rookbend.recovery.peers import Peers, Phase
from rookbend.recovery.startup_stages import Facts, Plan, Sequence, Stage

BEAT_US, CALM_BEAT_US = 250_000, 1_000_000
TALK_TO = 3  # peers a beat
BUDGET, BURST = 20.0, 40  # datagrams a second of this director, all kinds
ASK_US = 500_000  # between two asks of one kind
OPEN_US = 300_000  # between two classes of reads
PURGE_MARGIN = 1.15  # purges bind this multiple of the settings' time, as in the decision module
CALLS_MOST = 200  # of one peer's calls count: a single word must not outweigh all others
BOOT_LEAP = 1_000_000  # by no more does another's word raise our number


@dataclass(frozen=True, slots=True)
class Config:
    """`classes` in the settings' order: (write, worth, what one costs); `parent_kind`, `origin_kind` as
    there."""

    me: int
    count: int
    fleet: str
    seed: int
    classes: tuple[tuple[bool, float, float], ...]
    zone: int = 0
    parent_kind: int = -1
    origin_kind: int = -1
    purge_propagation_us: int = 6_000_000
    plan: Plan = field(default_factory=Plan)
    first_rate: float = 40.0
    full_rate: float = 400.0
    talk: bool = True  # the datagrams between directors are permitted


# Events


@dataclass(slots=True)
class MembershipTold:
    change: MembershipChange


@dataclass(slots=True)
class PurgeTold:
    purge: Purge


@dataclass(slots=True)
class StreamHeard:
    """The coordinator's stream is up and has brought something."""


@dataclass(slots=True)
class CallMade:
    """An attempt that may reach the origin went out: direct, or with a fill."""


@dataclass(slots=True)
class CallEnded:
    """It ended: well, or refused by the origin or unanswered."""

    well: bool
    took_us: int = 0


@dataclass(slots=True)
class OrderGiven:
    member: str
    order: str
    by: str


@dataclass(slots=True)
class OrderKept:
    """An order that was given is safe, or there is no disk to wait for: from here on it stands."""

    key: str
    value: bytes


@dataclass(slots=True)
class Command:
    """An operator's: hold, resume, skip."""

    word: str


CoordinatorEvent = MembershipTold | PurgeTold | StreamHeard | CallMade | CallEnded
Event = TimerExpired | DatagramReceived | CoordinatorEvent | OrderGiven | OrderKept | Command

# Actions


@dataclass(slots=True)
class Members:
    """What goes on to health or the engine in place of what the coordinator told."""

    change: MembershipChange


@dataclass(slots=True)
class PurgeLearnt:
    purge: Purge


@dataclass(slots=True)
class OrderLearnt:
    member: str
    order: str
    by: str


@dataclass(slots=True)
class LimitsSet:
    """What the decision module is to keep to: classes that are refused, calls a second towards the origin
    (None: any), and the age of copies: none that left the origin before `oldest_us`, 0: any."""

    ready: bool
    closed: frozenset[int]
    rate: float | None
    oldest_us: int


@dataclass(slots=True)
class BootRaised:
    boot: int


Action = (
    SendDatagram | PersistRow | DeleteRow | Members | PurgeLearnt | OrderLearnt | LimitsSet | BootRaised | WriteLogLine
)


class Director:
    """`due_us` is when the next Tick is wanted. `kept` are the rows from before: (kind, key, value, at)."""

    def __init__(
        self, config: Config, now: int, boot: int, life: int, from_before: tuple[tuple[str, str, bytes, int], ...] = ()
    ):
        self.config, self.began_us, self.boot, self.life = config, now, boot, life
        self.random = random.Random(f"{config.seed} recovery {config.me}")
        boots = {int(key): int.from_bytes(value, "big") for kind, key, value, _ in from_before if kind == "peer"}
        self.peers = Peers(config.me, config.count, config.seed, boots)
        self.verdict, self.gap = Verdict(now), Gap(now)
        self.sequence = Sequence(config.plan, now)
        self.rows = {kind: kept.Rows(kind) for kind in wire.KINDS}
        self.votes = kept.Votes()
        self.told: dict[str, Endpoint] = {}  # the membership, as the coordinator tells it
        self.revision = 0
        self.drained_at: dict[str, int] = {}  # kept drains: since when, for their bound
        self.opened, self.opened_us = 0, now
        self.beat, self.due_us = 0, now
        self.budget = TokenBucket(BUDGET, BURST)
        self.silenced = 0  # datagrams that the budget kept back
        self.unreadable = 0
        self.sequence_of_orders = 0
        self.asked_us: dict[tuple[int, int], int] = {}
        self.cold = True
        self.told_covered = False
        self.limits: LimitsSet | None = None
        # Our part of the ramp, where somebody conducts the recovery; None while nobody does.
        self.conducted: Callable[[int], float | None] = lambda now: None
        self.out: list[Action] = []
        reads = [i for i, (write, _, _) in enumerate(config.classes) if not write]
        self.reads = sorted(reads, key=lambda i: -config.classes[i][1] / max(config.classes[i][2], 1e-9))
        first = config.first_rate
        self._before = from_before
        for kind, key, value, at in from_before:
            if kind == "hint" and key == "origin" and validity.stands(kind, at, now):
                # Half of what it bore: a hint is a start, and the origin may be colder than it was.
                first = min(max(first, int.from_bytes(value, "big") / 2), config.full_rate / 2)
        self.share = Share(first, config.full_rate, now)

    # The machine

    def begin(self, now: int) -> list[Action]:
        """What binds from the first moment. To be called once, before anything else."""
        self.out = []
        takes = int(PURGE_MARGIN * self.config.purge_propagation_us)
        for kind, key, value, at in self._before:
            bound = takes if kind == "purge" else 0
            if kind not in self.rows or not validity.stands(kind, at, now, bound):
                continue
            if not self.rows[kind].put(key, value):
                continue
            if kind == "purge":
                self.out.append(PurgeLearnt(self._purge(key, self.rows[kind].get(key))))
            elif kind == "drain":
                self.drained_at[key] = validity.counted_from(at, now)
            elif kind == "order":
                self._order_stands(key)
        self._before = ()
        self._tell_limits(now)
        return self.out

    def feed(self, now: int, event: Event) -> list[Action]:
        self.out = []
        HANDLERS[type(event)](self, now, event)
        return self.out

    def _say(self, event: str, level: str = "info", **fields) -> None:
        self.out.append(WriteLogLine(event, level, fields))

    @property
    def phase(self) -> Phase:
        stage = self.sequence.stage
        return (
            Phase.DARK if stage is Stage.LISTENING else Phase.RECOVERING if stage < Stage.BACKGROUND else Phase.SERVING
        )

    # Time

    def _tick(self, now: int, event: TimerExpired) -> None:
        if now < self.due_us:
            return
        self._release_drains(now)
        self._judge(now)
        self._move(now)
        if self.config.talk:
            self._talk(now)
        calm = self.phase is Phase.SERVING
        pause = CALM_BEAT_US if calm else BEAT_US
        # Seeded jitter: beats of directors that started together must not stay together.
        self.due_us = now + int(pause * (0.85 + 0.3 * self.random.random()))

    def _judge(self, now: int) -> None:
        if self.verdict.tick(now, self.peers):
            self._say(
                "recovery_happened",
                "warning" if self.verdict.now_is is Happened.CUT_OFF else "info",
                happened=self.verdict.now_is.value,
                up=self.peers.up(now),
                of=self.config.count,
            )
            self._mark_cold(now)

    def _move(self, now: int) -> None:
        """The ramp, the classes, the stage, and the limits that follow from them."""
        alone = self.verdict.now_is is Happened.ALONE
        if alone and self.share.rate is not None:
            self.share.lift()
        before = self.share.rate
        if self.sequence.stage >= Stage.READS:
            self.share.tick(now, self._part(now))
        if before is not None and self.share.rate is None and not alone:
            self._keep_hint(before)
            self._say("recovery_ramp_ended", rate=round(before, 1), halved=self.share.halved)
        for _ in Stage:  # alone, one stage follows the other at once
            self._open_reads(now, alone)
            before = self.sequence.stage
            if not self.sequence.tick(now, self.facts(now)):
                break
            self._stage_changed(now, before)
        self._tell_limits(now)

    def _open_reads(self, now: int, alone: bool) -> None:
        if self.sequence.stage is Stage.READS and self.opened < len(self.reads):
            due = now - self.opened_us >= OPEN_US and not self.share.unwell(now)
            if alone or due:
                self.opened, self.opened_us = len(self.reads) if alone else self.opened + 1, now

    def _stage_changed(self, now: int, before: Stage) -> None:
        stage, late = self.sequence.stage, self.sequence.late
        if stage < before:
            self.opened, self.opened_us = 0, now
        self._say(
            "recovery_stage",
            "info" if stage > before else "warning",
            stage=stage.name.lower(),
            after_ms=(now - self.began_us) // 1000,
            happened=self.verdict.now_is.value,
            **({"without": late[-1]} if late else {}),
        )
        late.clear()

    def _part(self, now: int) -> float:
        if (conducted := self.conducted(now)) is not None:
            return conducted
        sure = self.verdict.now_is in (Happened.ALONE, Happened.PART, Happened.WHOLE)
        return self.share.part(self.peers.up(now), self.config.count, sure)

    def facts(self, now: int) -> Facts:
        c, heard = self.config, self.peers.heard(now)
        ready = [e.member for e in self.told.values() if e.member.state is MemberState.READY]
        tiers = (c.parent_kind, c.origin_kind)
        return Facts(
            self.verdict.now_is,
            any(m.kind == c.origin_kind for m in ready),
            any(m.kind not in tiers and m.zone == c.zone for m in ready),
            self.peers.up(now) / max(1, c.count),
            self.share.bad_share(now),
            self.opened / len(self.reads) if self.reads else 1.0,
            self.share.rate is None,
            self.gap.covered,
            sum(p.stage >= Stage.FILLS for p in heard) / len(heard) if heard else 1.0,
        )

    def _tell_limits(self, now: int) -> None:
        stage, classes = self.sequence.stage, self.config.classes
        if stage is Stage.LISTENING:
            closed = frozenset(range(len(classes)))
        elif stage <= Stage.READS:
            opened = self.opened if stage is Stage.READS else 0
            closed = frozenset(self.reads[opened:])
        else:
            closed = frozenset()
        rate = None if self.share.rate is None else self.share.rate * self._part(now)
        new = LimitsSet(stage is not Stage.LISTENING, closed, rate, self.gap.oldest_us)
        if new != self.limits:
            self.limits = new
            self.out.append(new)

    def _keep_hint(self, rate: float) -> None:
        self.out.append(PersistRow("hint", "origin", int(rate).to_bytes(4, "big")))

    # The membership

    def _membership(self, now: int, event: MembershipTold) -> None:
        change = event.change
        if change.complete:
            self.told = {}
            self.gap.whole_list()
        self.revision = max(self.revision, change.version)
        for entry in change.endpoints:
            self._told(now, entry, change.version)
        entries = [self._effective(e) for e in change.endpoints]
        self.out.append(Members(MembershipChange(change.complete, change.version, entries)))
        for key in [k for k in self.rows["order"].rows if k.startswith(f"{self.config.me}/")]:
            self._order_stands(key)  # the member may be there only now

    def _told(self, now: int, entry: Endpoint, revision: int) -> None:
        state, name, drains = entry.member.state, entry.name, self.rows["drain"]
        if state is MemberState.GONE:
            self.told.pop(name, None)
        else:
            self.told[name] = entry
        old = drains.get(name)
        if state is MemberState.READY:
            # An old drain binds until a list that is no older says otherwise.
            if old is not None and revision >= old[1]:
                self._lift(name)
        elif old is None or revision >= old[1]:
            drains.drop(name)
            drains.put(name, kept.write((int(state), revision)))
            self.drained_at[name] = now
            self.out.append(PersistRow("drain", name, drains.rows[name]))

    def _lift(self, name: str) -> None:
        self.rows["drain"].drop(name)
        self.drained_at.pop(name, None)
        self.out.append(DeleteRow("drain", name))

    def _release_drains(self, now: int) -> None:
        """Drains from before whose bound is over; what the present list says stands by itself."""
        for name, at in list(self.drained_at.items()):
            entry = self.told.get(name)
            if entry is not None and entry.member.state is MemberState.READY and not validity.stands("drain", at, now):
                self._lift(name)
                self._pass_on([entry])

    def _effective(self, entry: Endpoint) -> Endpoint:
        """The entry with what binds from before: a drain, and cold until shown otherwise."""
        member, c = entry.member, self.config
        if member.state is not MemberState.READY:
            return entry
        drain = self.rows["drain"].get(entry.name)
        if drain is not None:
            member = replace(member, state=MemberState.DRAINING)
        if self.cold and member.kind != c.origin_kind:
            member = replace(member, started_us=max(member.started_us, self.began_us))
        return entry if member is entry.member else Endpoint(member, entry.name, entry.address)

    def _mark_cold(self, now: int) -> None:
        """Where this director alone was dark, members are what the membership says; else all are cold."""
        cold = self.verdict.now_is is not Happened.ALONE
        if cold != self.cold:
            self.cold = cold
            self._pass_on(list(self.told.values()))

    def _pass_on(self, entries: list[Endpoint]) -> None:
        if entries:
            self.out.append(Members(MembershipChange(False, self.revision, list(map(self._effective, entries)))))

    # Purges

    @staticmethod
    def _purge(key: str, made_ms: int) -> Purge:
        what, name = key.split(" ", 1)
        if what == "o":
            return Purge(int(name, 16), 0, made_ms * 1000)
        return Purge(None, int(name), made_ms * 1000)

    def _purge_told(self, now: int, event: PurgeTold) -> None:
        p = event.purge
        key = f"g {p.group}" if p.object_id is None else f"o {p.object_id:x}"
        if self.rows["purge"].put(key, kept.write(p.unix_us // 1000)):
            self.out.append(PersistRow("purge", key, self.rows["purge"].rows[key]))

    def _stream(self, now: int, event: StreamHeard) -> None:
        if not self.gap.covered:
            self.gap.stream_heard()
            self._covered(now)

    def _covered(self, now: int) -> None:
        if self.gap.covered and not self.told_covered:
            self.told_covered = True
            self._say("recovery_gap_covered", by=self.gap.covered_by, after_ms=(now - self.began_us) // 1000)
            self._tell_limits(now)

    # The origin

    @property
    def counts_calls(self) -> bool:
        """Whether calls to the origin still move anything: while the ramp lasts, and before it."""
        return self.share.rate is not None or self.sequence.stage < Stage.BACKGROUND

    def _call_made(self, now: int, event: CallMade) -> None:
        self.share.asked()

    def _call_ended(self, now: int, event: CallEnded) -> None:
        if self.counts_calls:
            self.share.ended(now, event.well, event.took_us)

    # Operators

    def _order_given(self, now: int, event: OrderGiven) -> None:
        self.sequence_of_orders += 1
        key = f"{self.config.me}/{event.member}"
        # Above all of our own from before: the boot number leads, and only grows.
        value = kept.write((event.order, event.by, (self.boot << 24) + self.sequence_of_orders))
        self.out.append(PersistRow("order", key, value, True))

    def _order_kept(self, now: int, event: OrderKept) -> None:
        # Only now: a peer that had taken an order which the disk then refuses would give it back to us.
        self.rows["order"].put(event.key, event.value)

    def _order_stands(self, key: str) -> None:
        owner, member = key.split("/", 1)
        if owner == str(self.config.me):
            order, by, _ = self.rows["order"].get(key)
            self.out.append(OrderLearnt(member, order, by))

    def _command(self, now: int, event: Command) -> None:
        if event.word == "skip":
            self.sequence.skip()
        else:
            self.sequence.held = event.word == "hold"
        self._say("recovery_order", "warning", order=event.word, stage=self.sequence.stage.name.lower())
        self.due_us = now
        self._tick(now, TimerExpired())

    # Others

    def _send(self, now: int, peer: int, data: bytes) -> None:
        if self.budget.take(now):
            self.out.append(SendDatagram(peer, data))
        else:
            self.silenced += 1

    def _talk(self, now: int) -> None:
        gossip = self.peers.gossip(now)
        self.beat += 1
        for peer in self.peers.some(TALK_TO):
            self._send(now, peer, wire.hello(self._hello_to(now, peer), gossip))

    def _hello_to(self, now: int, peer: int) -> wire.Hello:
        return wire.Hello(
            self._fleet,
            self.config.me,
            self.life,
            self.boot,
            self.beat,
            int(self.phase),
            int(self.sequence.stage),
            (now - self.began_us) // 1000,
            self.gap.covered,
            self.revision,
            tuple(self.rows[kind].digest for kind in wire.KINDS),
            self._origin_word(now),
            self.peers.known_of(peer),
        )

    def _origin_word(self, now: int) -> tuple[int, int, int, int, int]:
        o = self.share.ours(now)
        return round(o.rate * 10), o.calls, o.bad, o.slow, o.fastest_us // 1000

    @property
    def _fleet(self) -> int:
        return wire.fleet_number(self.config.fleet)

    def _datagram(self, now: int, event: DatagramReceived) -> None:
        try:
            message = wire.decode(event.data)
        except wire.FleetError:
            self.unreadable += 1
            return
        if message.fleet != self._fleet or message.number != event.sender or event.sender == self.config.me:
            self.unreadable += 1
            return
        if type(message) is wire.Hello:
            self._hello(now, event.sender, message)
        elif type(message) is wire.Ask:
            rows = self.rows[wire.KINDS[message.kind]].after(message.after)
            self._send(now, event.sender, wire.pieces(self._fleet, self.config.me, self.life, message.kind, rows))
        else:
            self._piece(now, event.sender, message)

    def _hello(self, now: int, sender: int, hello: wire.Hello) -> None:
        boot, life = hello.yours
        if (boot > self.boot or (boot == self.boot and life not in (0, self.life))) and boot - self.boot < BOOT_LEAP:
            # They knew a life of ours with as high a number: an old disk, or none, was put under us.
            self.boot = boot + 1
            self.out.append(BootRaised(self.boot))
            self._say("boot_raised", "warning", boot=self.boot, by=sender)
        known = self.peers.rows[sender].boot if sender in self.peers.rows else 0
        if not self.peers.hear(now, sender, hello):
            peer = self.peers.rows.get(sender)
            if peer is not None and peer.doubted:
                self._say("peer_doubted", "warning", peer=sender, why=peer.doubted, boot=hello.boot, known=peer.boot)
                if peer.doubted == "old boot":
                    self._answer(now, sender)
            return
        if hello.phase == Phase.DARK and self.phase is not Phase.DARK:
            self._answer(now, sender)  # it waits for word: a beat of ours might reach it a second later
        rate, calls, bad, slow, fastest = hello.origin
        calls = min(calls, CALLS_MOST)
        self.share.heard(sender, Outcomes(now, rate / 10, calls, min(bad, calls), min(slow, calls), fastest * 1000))
        if hello.boot > known:
            self.out.append(PersistRow("peer", str(sender), hello.boot.to_bytes(8, "big")))
        for kind, name in enumerate(wire.KINDS):
            wanted = (
                name == "order" or (name == "purge" and not self.gap.covered) or (name == "drain" and not self.told)
            )
            same = hello.digests[kind] == self.rows[name].digest
            if wanted and name == "purge" and same and hello.covered:
                self.gap.peer_gave_all(sender, self.peers)  # it holds what we hold: nothing to ask
                self._covered(now)
            elif wanted and not same:
                self._ask(now, sender, kind, "")
        if self.verdict.now_is is Happened.UNSURE:
            self._judge(now)
            if self.verdict.now_is is Happened.ALONE:
                self._move(now)  # nothing to wait for: not even the next beat

    def _answer(self, now: int, sender: int) -> None:
        """Tells a peer that is not believed which of its numbers we know."""
        self._send(now, sender, wire.encode(self._hello_to(now, sender)))

    def _ask(self, now: int, peer: int, kind: int, after: str) -> None:
        if not after and now - self.asked_us.get((peer, kind), -ASK_US) < ASK_US:
            return
        self.asked_us[peer, kind] = now
        self._send(now, peer, wire.encode(wire.Ask(self._fleet, self.config.me, self.life, kind, after)))

    def _piece(self, now: int, sender: int, piece: wire.Piece) -> None:
        peer = self.peers.rows[sender]
        if not peer.heard_us or peer.life != piece.life or peer.doubted:
            return  # nobody we believe: it has not said who it is, or is an older life
        name = wire.KINDS[piece.kind]
        for key, value in piece.rows:
            if kept.read(name, value) is None:
                self.unreadable += 1
            elif name == "purge":
                self._purge_from_peer(now, key, value)
            elif name == "order":
                self._order_from_peer(key, value)
            elif self.votes.hear(sender, key, value, len(self.peers.rows)):
                self._drain_from_peers(now, key, value)
        if piece.more and piece.rows:
            self._ask(now, sender, piece.kind, piece.rows[-1][0])
        elif name == "purge":
            self.gap.peer_gave_all(sender, self.peers)
            self._covered(now)

    def _purge_from_peer(self, now: int, key: str, value: bytes) -> None:
        made_us = kept.read("purge", value) * 1000
        what, _, number = key.partition(" ")
        if what not in ("o", "g") or not _is_number(number, what):
            self.unreadable += 1
        elif now - made_us <= PURGE_MARGIN * self.config.purge_propagation_us and self.rows["purge"].put(key, value):
            self.out += [PersistRow("purge", key, value), PurgeLearnt(self._purge(key, made_us // 1000))]

    def _drain_from_peers(self, now: int, key: str, value: bytes) -> None:
        if self.rows["drain"].put(key, value):
            self.drained_at[key] = now
            self.out.append(PersistRow("drain", key, value))
            if key in self.told:
                self._pass_on([self.told[key]])

    def _order_from_peer(self, key: str, value: bytes) -> None:
        owner, _, member = key.partition("/")
        if not owner.isdigit() or int(owner) >= self.config.count or not member:
            self.unreadable += 1
        elif self.rows["order"].put(key, value):
            self.out.append(PersistRow("order", key, value))
            self._order_stands(key)

    # What operators read

    def describe(self, now: int) -> dict:
        """This director's row and what it knows of the others; ages in milliseconds."""
        rows = [
            {
                "number": self.config.me,
                "boot": self.boot,
                "phase": self.phase.name.lower(),
                "stage": self.sequence.stage.name.lower(),
                "age_ms": (now - self.began_us) // 1000,
                "heard_ms": 0,
                "missing": self.sequence.waits,
                "doubted": "",
            }
        ]
        for p in self.peers.rows.values():
            heard = p.heard_us > 0
            rows.append(
                {
                    "number": p.number,
                    "boot": p.boot,
                    "phase": p.phase.name.lower() if heard else "unheard",
                    "stage": Stage(min(p.stage, Stage.SERVING)).name.lower() if heard else "",
                    "age_ms": (now - p.began_us) // 1000 if heard else None,
                    "heard_ms": (now - p.heard_us) // 1000 if heard else None,
                    "missing": "",
                    "doubted": p.doubted,
                }
            )
        return {
            "directors": sorted(rows, key=lambda r: r["number"]),
            "me": self.config.me,
            "happened": self.verdict.now_is.value,
            "up": self.peers.up(now),
        }

    def explain(self, now: int) -> dict:
        """Why this stage, and what it waits for."""
        f, s = self.facts(now), self.sequence
        return {
            "stage": s.stage.name.lower(),
            "for_ms": (now - s.entered_us) // 1000,
            "waits_for": s.waits,
            "held": s.held,
            "happened": f.happened.value,
            "up_share": round(f.up_share, 3),
            "origin_bad": round(f.origin_bad, 3),
            "gap": self.gap.covered_by or "open",
            "fleet_rate": None if self.share.rate is None else round(self.share.rate, 2),
            "our_rate": self.limits.rate if self.limits else None,
            "closed": sorted(self.limits.closed) if self.limits else [],
            "drains": sorted(self.drained_at),
            "digests": {kind: rows.digest for kind, rows in self.rows.items()},
            "boot": self.boot,
            "revision": self.revision,
            "refused": dict(self.peers.refused),
            "unreadable": self.unreadable,
            "silenced": self.silenced,
        }


def _is_number(text: str, what: str) -> bool:
    try:
        return int(text, 16 if what == "o" else 10) >= 0
    except ValueError:
        return False


HANDLERS = {
    TimerExpired: Director._tick,
    DatagramReceived: Director._datagram,
    MembershipTold: Director._membership,
    PurgeTold: Director._purge_told,
    StreamHeard: Director._stream,
    CallMade: Director._call_made,
    CallEnded: Director._call_ended,
    OrderGiven: Director._order_given,
    OrderKept: Director._order_kept,
    Command: Director._command,
}
