"""The driver of ownership: feeds the machine (`ownership.director`) what comes in, carries its actions out.

It stands on recovery's exchange (who is living, the machine's clock, orders to members), on the state folder
where there is one, and on health's board. An act goes out right behind a last look at the lease; work under a
lease runs in a cancel scope that ends with it."""

from __future__ import annotations

import itertools
import os
import secrets

import trio

from rookbend.leases import coordinator as machine
from rookbend.leases import leader_tasks, sharded_checks
from rookbend.leases.lease import Terms
from rookbend.net.component import Component, ComponentContext
from rookbend.net.connector import open_socket
from rookbend.net.machine_driver import INCARNATION_BITS
from rookbend.protocol.leases import is_ours
from rookbend.recovery.actions import ApplyOrder
from rookbend.recovery.origin_ramp import SAMPLE_VALID_US
from rookbend.settings.schema import default_voters

LOOK_US = 250_000  # between two looks at who is living, what is found, and what the ramp needs
MARGIN_US = 200_000  # what nobody checks ends so long before the lease does
KINDS = "promise", "token", "log"


class OwnershipPart(Component):
    descriptors = 2  # the ledger

    def __init__(self, site: ComponentContext):
        self.site, self.engine, self.log = site, site.engine, site.log
        self.recovery, self.state = site.built["recovery"], site.built.get("state")
        self.health = site.built.get("health")
        s, rules = site.operators, site.engine.settings
        self.wanted = wanted = s.ownership
        voters = frozenset(wanted.voters or default_voters(rules.router_count))
        names = machine.DUTIES - (frozenset() if self.health is not None and s.checks else {"checks"})
        if wanted.report_ledger is None and not wanted.report_file:
            names -= {"report"}
        leader_tasks.duty("report" if wanted.report_ledger is not None else "report-file")
        fleet = s.state.fleet if s.state is not None else s.recovery.fleet
        config = machine.Config(
            rules.router_index,
            rules.router_count,
            fleet,
            int(site.config.seed, 16),
            voters,
            Terms(wanted.lease_us, wanted.drift),
            names,
            wanted.shards,
            wanted.report_every_us,
        )
        kept = (
            ()
            if self.state is None
            else tuple((kind, key, row.value) for kind in KINDS for key, row in self.state.ledger.all(kind).items())
        )
        self.now = self.recovery.now
        self.machine = machine.Director(config, self.now(), secrets.randbits(INCARNATION_BITS) + 1, kept)
        self.check_names = [c.name for c in s.checks]
        self.tasks: dict[int, trio.CancelScope] = {}  # work under a lease, by scope
        self._ids = itertools.count(1)
        self._answers: dict[int, tuple[trio.Event, list[str]]] = {}
        self._last: dict[int, machine.Found] = {}
        self._nursery: trio.Nursery | None = None
        self._due_earlier = trio.Event()
        self._passed_on, site.engine.on_peer = site.engine.on_peer, self._datagram
        self.recovery.on_boot_raised = lambda: self.feed(machine.OldDisk())
        self.recovery.machine.admission.assigned_quota = self.machine.conducted.part
        if "checks" in names:
            self.health.driver.rests = self.rests
            self.health.driver.on_result = self._result
        site.gauges.append(self.gauges)
        self._carry_out(self.machine.begin(self.now()))

    def gauges(self) -> dict[str, float]:
        m, now = self.machine, self.now()
        return {
            "ownership_owned": len(m.owned(now)),
            "ownership_changes": m.changes,
            "ownership_acts_turned_away": m.turned_away,
            "ownership_datagrams_sent": m.sent,
            "ownership_datagrams_unreadable": m.unreadable,
            "ownership_datagrams_silenced": m.silenced,
            "ownership_ownerless": sum(t.ownerless_us > 0 for t in m.tries.values()),
            "ownership_orders_stand": m.log.committed,
        }

    def feed(self, event: machine.Event) -> None:
        due = self.machine.due_us
        self._carry_out(self.machine.feed(self.now(), event))
        if self.machine.due_us < due:
            self._due_earlier.set()

    def _datagram(self, sender: int, data: bytes) -> bool:
        if not is_ours(data):
            return self._passed_on is not None and self._passed_on(sender, data)
        self.feed(machine.DatagramReceived(sender, data))
        return True

    # What goes out

    def _carry_out(self, actions: list[machine.Action]) -> None:
        for action in actions:
            CARRY[type(action)](self, action)

    def _send(self, a: machine.SendDatagram) -> None:
        if self.engine.peers is not None:
            self.engine.peers.send(a.peer, a.data)

    def _keep(self, a: machine.PersistRow) -> None:
        def safe(yes: bool) -> None:
            self.feed(machine.Kept(a.kind, a.key, yes))

        if self.state is not None:
            self.state.put(a.kind, a.key, a.value, safe if a.awaited else None)
        elif a.awaited:
            safe(True)  # no disk: this voter is quiet after a start, and copies the log of the others

    def _forget(self, a: machine.DeleteRow) -> None:
        if self.state is not None:
            self.state.drop(a.kind, a.key)

    def _lost(self, a: machine.Lost) -> None:
        scope = self.tasks.pop(a.scope, None)
        if scope is not None:
            scope.cancel()

    def _order_stands(self, a: machine.OrderStands) -> None:
        self.recovery.apply_order(ApplyOrder(a.member, a.order, a.by))

    def _order_done(self, a: machine.OrderDone) -> None:
        if (answer := self._answers.get(a.id)) is not None:
            answer[1].append(a.fault)
            answer[0].set()

    def _count(self, a: machine.Count) -> None:
        c = self.site.counters
        self.feed(machine.Counted((c.requests, c.served, c.refused, c.failed)))

    def _told(self, a: machine.Told) -> None:
        service, follower = self.health.service, self.machine.follower
        number = service.registry.begin_check()
        for event in follower.evidence(self.now(), a.scope, self._rows(a.scope), self.check_names, number):
            service.feed(event)

    # Checks

    def _scope_of(self, server: int) -> int:
        return leader_tasks.shard_of(server, self.machine.config.shards)

    def _rows(self, scope: int) -> list:
        """The board's, of the members of a shard."""
        return [row for server, row in self.health.service.registry.members.items() if self._scope_of(server) == scope]

    def rests(self, server: int, interval_us: int) -> tuple[bool, int]:
        """Whether a check of that member is ours to make now, and how long the next one rests at least."""
        scope, now = self._scope_of(server), self.now()
        if self.machine.owns(now, scope):
            return True, 0
        if self.machine.follower.fresh(now, scope):
            return False, interval_us
        return True, interval_us * sharded_checks.SLOWER

    def _result(self, server: int) -> None:
        """A check of ours has ended: what is news to the others goes out at once."""
        scope = self._scope_of(server)
        if self.machine.owns(self.now(), scope):
            self._find(scope)

    def _find(self, scope: int) -> None:
        found = machine.Found(scope, *sharded_checks.told(self._rows(scope), self.check_names))
        if found != self._last.get(scope):
            self._last[scope] = found
            self.feed(found)

    # The report

    def _write_line(self, a: machine.WriteLine) -> None:
        self._nursery.start_soon(self._write, a)

    async def _write(self, a: machine.WriteLine) -> None:
        ok, highest = False, 0
        with trio.CancelScope() as scope:
            self.tasks[machine.REPORT] = scope
            scope.deadline = self._monotonic_at(a.until)
            try:
                if self.wanted.report_ledger is not None:
                    ok, highest = await self._to_ledger(a)
                else:
                    ok = await trio.to_thread.run_sync(self._to_file, a, abandon_on_cancel=True)
            except OSError as error:
                self.log("report_failed", "warning", number=a.number, reason=error.strerror or str(error))
        if self.tasks.get(machine.REPORT) is scope:
            del self.tasks[machine.REPORT]
        if highest:
            self.log("report_refused", "warning", number=a.number, token=a.token, highest=highest)
        self.feed(machine.Written(a.number, ok, highest))

    async def _to_ledger(self, a: machine.WriteLine) -> tuple[bool, int]:
        with await open_socket(self.wanted.report_ledger) as sock:
            if self.machine.owns(self.now(), machine.REPORT) != a.token:
                return False, 0
            # Right behind the look at the lease. The process may be stopped between the two: the ledger
            # turns an older token away.
            sock.send(f"append {a.token} {a.number} {a.line}\n".encode())
            said = b""
            while not said.endswith(b"\n"):
                await trio.lowlevel.wait_readable(sock)
                data = sock.recv(4096)
                if not data:
                    raise ConnectionError("the ledger closed the connection")
                said += data
        words = said.decode("ascii", "replace").split()
        if words[:1] == ["old"] and len(words) == 2 and words[1].isdigit():
            return False, int(words[1])
        return words[:1] in (["ok"], ["have"]), 0

    def _to_file(self, a: machine.WriteLine) -> bool:
        """In a thread. Nobody checks a file: one write, which must end well before the lease does; a line
        that comes late all the same shows its token and number."""
        if self.now() >= a.until - MARGIN_US or self.machine.owns(self.now(), machine.REPORT) != a.token:
            return False
        file = os.open(self.wanted.report_file, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            os.write(file, f"{a.line}\n".encode())
        finally:
            os.close(file)
        return True

    # Operators

    async def order(self, member: str, order: str, by: str) -> str:
        """An order for the whole fleet; "" once it stands, or why not."""
        number = next(self._ids)
        answer = self._answers[number] = trio.Event(), []
        self.feed(machine.OrderGiven(number, member, order, by[:40]))
        try:
            await answer[0].wait()  # the machine answers each order in its time
        finally:
            del self._answers[number]
        return answer[1][0]

    def describe(self, without: int = -1) -> dict:
        return {"director": self.site.config.name, **self.machine.describe(self.now(), without)}

    async def command(self, word: str, scope: str, place: int) -> tuple[int, str]:
        """An operator's: move a scope, pin it, or take the pin out; (status, fault)."""
        try:
            number = leader_tasks.scope_of(scope)
        except leader_tasks.UnknownDutyError:
            return 404, f"no scope {scope}"
        if number not in self.machine.tenures:
            return 404, f"{scope} is off"
        if word != "unpin" and not 0 <= place < self.machine.config.count:
            return 400, f"no director {place}"
        if word == "move":
            if not self.machine.owns(self.now(), number):
                return 409, f"{scope} is not ours; its owner can move it"
            self.feed(machine.Move(number, place))
            return 200, ""
        order = f"{machine.PIN}{place}" if word == "pin" else "unpin"
        fault = await self.order(f"@{scope}", order, "operator")
        return (503, fault) if fault else (200, "")

    # Its tasks

    def start(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        nursery.start_soon(self._run)
        nursery.start_soon(self._looks)

    def reload(self, settings) -> None:
        if settings.ownership is not None:
            voters = settings.ownership.voters or default_voters(self.machine.config.count)
            self.feed(machine.NewVoters(frozenset(voters)))

    def drain(self, by_us: int) -> None:
        self.feed(machine.Stop())

    def _monotonic_at(self, now_us: int) -> float:
        return trio.current_time() + (now_us - self.now()) / 1e6

    async def _run(self) -> None:
        while True:
            self._due_earlier = trio.Event()
            self.feed(machine.TimerExpired())
            for number, scope in self.tasks.items():
                # A renewal moves the end of what runs under it.
                scope.deadline = self._monotonic_at(self.machine.tenures[number].until)
            with trio.move_on_at(self._monotonic_at(self.machine.due_us)):
                await self._due_earlier.wait()

    async def _looks(self) -> None:
        while True:
            now, recovery = self.now(), self.recovery.machine
            self.feed(machine.Living(recovery.peers.live_members(now)))
            origin_ramp = recovery.ramp
            fresh = {n: o for n, o in origin_ramp.peer_samples.items() if now - o.at_us <= 2 * SAMPLE_VALID_US}
            ramp = origin_ramp.fleet_rate is not None or any(o.fleet_rate for o in fresh.values())
            calls = {n: o.calls for n, o in fresh.items()} | {self.machine.config.me: len(origin_ramp.completed)}
            self.feed(machine.Asked(calls if ramp else {}))
            for scope in self.machine.owned(now):
                if scope >= leader_tasks.FIRST_SHARD:
                    self._find(scope)
            await trio.sleep(LOOK_US / 1e6)


CARRY = {
    machine.SendDatagram: OwnershipPart._send,
    machine.PersistRow: OwnershipPart._keep,
    machine.DeleteRow: OwnershipPart._forget,
    machine.Owned: lambda part, a: None,
    machine.Lost: OwnershipPart._lost,
    machine.OrderStands: OwnershipPart._order_stands,
    machine.OrderDone: OwnershipPart._order_done,
    machine.Told: OwnershipPart._told,
    machine.Count: OwnershipPart._count,
    machine.WriteLine: OwnershipPart._write_line,
    machine.WriteLogLine: lambda part, a: part.log(a.event, a.level, **a.fields),
}
