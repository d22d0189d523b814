"""A fleet on one machine: directors as processes, everything else here, relays between all of them.

    async with stage(directors=3, seed=7) as scene:
        await scene.start()
        await scene.admitted()
        scene.power_off()
        await scene.power_on()
        await scene.nodes["n1"].said("ready")
        scene.verdict()

Directors are n0, n1, ...; caches c0, c1, ...; parents p0, ...; the origin is `records`. Hosts lie in a /16 of
127.0.0.0/8 that the process picks by its id, so that two stages on one machine do not meet.
"""

from __future__ import annotations

import copy
import os
import signal
import socket
import tempfile
from collections.abc import Callable, Iterable
from contextlib import asynccontextmanager
from pathlib import Path

import h11
import msgspec
import trio

from rookbend.lab import timeline
from rookbend.lab.fleet import SETTINGS, free_port
from rookbend.lab.rules import Limits
from rookbend.lab.stage import disk
from rookbend.lab.stage.boxes import CACHE, ORIGIN, PARENT, Box, Make, World
from rookbend.lab.stage.clients import Front
from rookbend.lab.stage.coordinator import Coordinator
from rookbend.lab.stage.ledger import Ledger
from rookbend.lab.stage.names import Resolver
from rookbend.lab.stage.process import HANG_S, Hung, Node
from rookbend.lab.stage.record import Record
from rookbend.lab.stage.relay import TcpRelay, UdpRelay, Ways
from rookbend.lab.worth import earned
from rookbend.protocol.events import split_address

OPERATORS = """
[log]
    format json
    burst 1000
[admin]
    listen {admin}
    metrics yes
{more}
"""
PURGE_LIFE_US = 6_000_000
HEALTH_PORT = 9777          # of every member, at the address by which a director knows it


def settings_for(directors: int, caches: int, me: int) -> dict:
    """The platform's settings as an instance of such a fleet is told them."""
    s = copy.deepcopy(SETTINGS)
    s["lanes"] = [
        {"name": "submit-app", "aimUs": 1_000_000, "hardLimitUs": 3_000_000, "effect": "single_shot",
         "gain": 8.0, "lateWorth": 0.5},
        {"name": "page-image", "aimUs": 600_000, "aimStretch": 2.0, "hardLimitUs": 2_000_000,
         "effect": "free", "gain": 1.0, "lateWorth": 0.4},
        {"name": "tour-video", "aimUs": 900_000, "aimStretch": 2.0, "hardLimitUs": 4_000_000,
         "effect": "free", "gain": 2.0, "lateWorth": 0.4}]
    s["familyInfo"].update(
        goesThrough=[True, False, False], inPieces=[False, False, True], seatsByZone=[0, directors],
        purgeTakesUs=PURGE_LIFE_US, upperColdFrom=PARENT.cold_share, parentWarmsInUs=PARENT.warm_up_us,
        parentFallMultiple=PARENT.multiple)
    s["invariants"].update(startCapacity=CACHE.cold_share, warmUpUs=CACHE.warm_up_us,
                           tipMultiple=CACHE.multiple, fallUs=CACHE.window_us)
    s["me"], s["siblings"] = me, directors
    return s


def allow_probes(settings: dict) -> dict:
    """A `Scene.change`: the platform permits checks."""
    settings["limits"]["probes"] = True
    return settings


class Scene:
    def __init__(self, nursery: trio.Nursery, folder: Path, directors: int, caches: int, parents: int,
                 seed: int, operators: str | Callable[[str], str], rate: float, makes: dict[str, Make],
                 checkout: Path | None, notice_s: float):
        self.nursery, self.folder, self.seed, self.operators = nursery, folder, seed, operators
        self.net = f"127.{10 + os.getpid() % 200}"
        self.record = Record(Limits(slack_us=150_000, purge_life_us=2 * PURGE_LIFE_US))
        self.world, self.ways = World(self.record, seed), Ways()
        self.names = [f"n{i}" for i in range(directors)]
        makes = {"cache": CACHE, "parent": PARENT, "origin": ORIGIN, **makes}
        for i in range(caches):
            Box(f"c{i}", "cache", f"{self.net}.100.{i + 1}", "edge", self.world, makes["cache"])
        for i in range(parents):
            Box(f"p{i}", "parent", f"{self.net}.101.{i + 1}", "hub", self.world, makes["parent"])
        Box("records", "origin", f"{self.net}.102.1", "hub", self.world, makes["origin"])
        self.boxes = self.world.members
        self.caches = [b for b in self.boxes.values() if b.role == "cache"]
        self.origin = self.boxes["records"]
        self.coordinator = Coordinator(self.world, self._address_of)
        more = {} if checkout is None else {"checkout": checkout}
        self.nodes = {n: Node(n, folder / n, self.record, **more) for n in self.names}
        self.ledger = Ledger(self.record)
        self.front = Front(self.record, seed, rate, notice_s=notice_s)
        self.relays: dict[tuple[str, str], TcpRelay] = {}
        self.places: dict[str, dict[str, str]] = {}
        self.peers: dict[str, str] = {}
        self.day: tuple[timeline.Failure, ...] = ()
        self.change: Callable[[dict], dict] = lambda settings: settings     # of what directors are told
        self.off: dict[str, None] = {}      # what has lost its power, in that order

    def _host(self, name: str, what: int) -> str:
        return f"{self.net}.{1 + self.names.index(name)}.{what}"

    def _address_of(self, director: str, member: str) -> str:
        return "{}:{}".format(*self.relays[director, member].address)

    async def open(self) -> None:
        for box in self.boxes.values():
            await box.listen(self.nursery)
            await box.listen_health(self.nursery)
        await self.ledger.listen(self.nursery, f"{self.net}.103.1")
        for name in self.names:
            for i, box in enumerate(self.boxes.values()):
                relay = TcpRelay(self.ways, self.record, name, box.name, lambda box=box: box.address)
                await relay.listen(self.nursery, self._host(name, 10 + i))
                self.relays[name, box.name] = relay
                health = TcpRelay(self.ways, self.record, name, box.name, lambda box=box: box.health)
                await health.listen(self.nursery, self._host(name, 10 + i), HEALTH_PORT)
            relay = TcpRelay(self.ways, self.record, name, "ledger", lambda: self.ledger.address)
            await relay.listen(self.nursery, self._host(name, 8))
            self.relays[name, "ledger"] = relay
            called = await self.coordinator.listen(self.nursery, name, self._host(name, 9))
            relay = TcpRelay(self.ways, self.record, name, "coordinator", lambda called=called: called)
            await relay.listen(self.nursery, self._host(name, 8))
            self.relays[name, "coordinator"] = relay
            self.places[name] = {
                "listen": f"{self._host(name, 1)}:{free_port(self._host(name, 1))}",
                "admin": f"{self._host(name, 2)}:{free_port(self._host(name, 2))}",
                "peers": f"{self._host(name, 3)}:{free_port(self._host(name, 3), socket.SOCK_DGRAM)}",
                "dns": f"{self._host(name, 5)}:{free_port(self._host(name, 5))}",
                "resolver": await Resolver(name, self._address_of).listen(self.nursery, self._host(name, 6))}
        heard = {n: split_address(self.places[n]["peers"]) for n in self.names}
        self.peers = await UdpRelay(self.ways, self.record, heard, self.seed).listen(
            self.nursery, lambda name: self._host(name, 4))
        for name in self.names:
            listens = split_address(self.places[name]["listen"])
            relay = TcpRelay(self.ways, self.record, "clients", name, lambda listens=listens: listens)
            await relay.listen(self.nursery, self._host(name, 7))
            self.front.add(name, relay.address, self.nursery)

    # Directors

    def config(self, name: str, known: dict | None = None) -> dict:
        i, place = self.names.index(name), self.places[name]
        seed = (self.seed * 1000 + i) * 1000 + self.nodes[name].lives
        return {
            "name": name, "listen": place["listen"], "seed": f"{seed:x}",
            "settings": self.change(settings_for(len(self.names), len(self.caches), i)),
            "coordinator": self._address_of(name, "coordinator"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": place["peers"], "peers": [self.peers[n] for n in self.names],
            "known": known if known is not None else self.coordinator.known(name, PURGE_LIFE_US)}

    def settings_text(self, name: str) -> str:
        more = self.operators(name) if callable(self.operators) else self.operators
        for word, means in (("{state}", str(self.nodes[name].state)), ("{dns}", self.places[name]["dns"]),
                            ("{resolver}", self.places[name]["resolver"]),
                            ("{ledger}", self._address_of(name, "ledger"))):
            more = more.replace(word, means)
        return OPERATORS.format(admin=self.places[name]["admin"], more=more)

    async def start(self, *names: str, known: dict | None = None) -> None:
        """Starts directors, all that do not run if none is named; returns when the processes exist."""
        await trio.lowlevel.checkpoint()
        for name in names or [n for n in self.names if not self.nodes[n].running]:
            self.nodes[name].start(self.nursery, self.config(name, known), self.settings_text(name))

    async def admitted(self, *names: str) -> None:
        """Waits until the front has admitted them."""
        await self.until(lambda: all(self.front.targets[n].admitted for n in names or self.names),
                         f"{names or self.names} admitted")

    async def until(self, holds: Callable[[], bool], what: str) -> None:
        """Waits for something that answers, admissions and log lines change. Raises `Hung`."""
        with trio.move_on_after(HANG_S):
            while not holds():
                # Answers come all the time while clients run; the beat is for a fleet at rest.
                with trio.move_on_after(0.05):
                    await self.front.changed.wait()
            return
        raise Hung(f"never: {what}\n{self.report()}")

    async def served_more(self, count: int) -> None:
        """Waits for so many more answers that serve."""
        wanted = self.record.counts["answer", "served"] + count
        await self.until(lambda: self.record.counts["answer", "served"] >= wanted, f"{count} more served")

    async def ask(self, name: str, path: str, method: str = "GET", body: dict | None = None) -> dict:
        """One question to the director's operators' listener; the decoded answer, with its `status`."""
        http = h11.Connection(h11.CLIENT)
        data = msgspec.json.encode(body) if body is not None else b""
        headers = [("Host", "127.0.0.1"), ("Connection", "close"), ("Content-Length", str(len(data)))]
        if body is not None:
            headers.append(("Content-Type", "application/json"))
        out = http.send(h11.Request(method=method, target=path, headers=headers))
        if data:
            out += http.send(h11.Data(data=data))
        out += http.send(h11.EndOfMessage())
        found, status = b"", 0
        async with await trio.open_tcp_stream(*split_address(self.places[name]["admin"])) as stream:
            await stream.send_all(out)
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await stream.receive_some(65536))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    found += bytes(event.data)
                else:
                    break
        try:
            decoded = msgspec.json.decode(found)
        except msgspec.DecodeError:
            decoded = {"text": found.decode()}
        return {**decoded, "status": status}

    async def until_told(self, name: str, path: str, holds: Callable[[dict], bool]) -> dict:
        """Asks a director's listener again and again until the answer is as wanted. Raises `Hung`."""
        found = None
        with trio.move_on_after(HANG_S):
            while True:
                try:
                    found = await self.ask(name, path)
                    if holds(found):
                        return found
                except (OSError, trio.BrokenResourceError):
                    pass        # it has only begun, or just ended
                await trio.sleep(0.02)
        raise Hung(f"{name} never answered {path} as wanted; last:\n{found}\n{self.report()}")

    # Faults

    def power_off(self, *names: str) -> None:
        """These lose their power in one instant; all directors, caches and parents where none is named."""
        chosen = names or [*self.names, *(b.name for b in self.boxes.values() if b.role != "origin")]
        self.record.note("fault", "power", "off " + " ".join(chosen))
        self.off.update(dict.fromkeys(chosen))
        for name in chosen:
            if name in self.nodes:
                self.nodes[name].kill()
        for name in chosen:
            if name in self.boxes and not self.boxes[name].down:
                self.boxes[name].die()

    async def power_on(self, *names: str, known: dict | None = None) -> None:
        """They return in this order, all that are without power if none is named: boxes cold and empty,
        directors as they start."""
        for name in names or sorted(self.off, key=lambda n: n in self.nodes):
            self.off.pop(name, None)
            if name in self.boxes:
                self.boxes[name].come_back()
                self.coordinator.tell_members(name)
            else:
                await self.nodes[name].ended()
                disk.lose(self.nodes[name].state)
                await self.start(name, known=known)

    def freeze(self, name: str) -> None:
        """It stands still. What is open at it is given up by its clients: no answer of a process that stands
        can come in time."""
        self.nodes[name].signal(signal.SIGSTOP)
        self.front.give_up(name)

    def thaw(self, name: str) -> None:
        self.nodes[name].signal(signal.SIGCONT)

    def vanish(self, name: str, gone: bool = True) -> None:
        """The machine is cut off from all others, or there again: nothing crosses, nothing is reset, no new
        connection comes up."""
        self.record.note("fault", name, "vanished" if gone else "there again")
        for other in (*self.names, *self.boxes, "coordinator", "clients"):
            for pair in ((name, other), (other, name)):
                self.ways.get(*pair).set(silent=gone, deaf=gone)
        if gone and name in self.names:
            self.front.give_up(name)

    def cut(self, source: str, target: str) -> None:
        """Nothing of what the one says reaches the other."""
        self.record.note("fault", f"{source}>{target}", "cut")
        self.ways.get(source, target).set(silent=True)

    def heal(self, source: str, target: str) -> None:
        self.record.note("fault", f"{source}>{target}", "healed")
        self.ways.get(source, target).heal()

    def split(self, ours: Iterable[str], theirs: Iterable[str], cut: bool = True) -> None:
        """Directors of the one side and the other do not hear each other."""
        for a in ours:
            for b in theirs:
                for pair in ((a, b), (b, a)):
                    (self.cut if cut else self.heal)(*pair)

    async def play(self, text: str, file: str = "day") -> None:
        """The failures of a text, from now on; `seed` and lines go into the report of a failed run."""
        self.day = timeline.parse(text, file)
        others = *self.names, *self.boxes, "coordinator", "clients"
        pairs = [f"{a}>{b}" for a in self.names for b in others if a != b]
        world = {timeline.MEMBER: list(self.boxes), timeline.DIRECTOR: self.names, timeline.PAIR: pairs,
                 timeline.MACHINE: [*self.names, *self.boxes], timeline.COORDINATOR: ["coordinator"]}
        begun = trio.current_time()
        steps = timeline.steps(self.day, world)
        at = 0
        while at < len(steps):
            due = steps[at].at_us
            await trio.sleep_until(begun + due / 1e6)
            together = []
            while at < len(steps) and steps[at].at_us == due:
                together.append(steps[at])
                at += 1
            # All that loses power in one instant loses it before anybody else moves.
            for step in sorted(together, key=lambda s: s.failure.kind != "power"):
                await self._step(step)

    async def _step(self, step: timeline.Step) -> None:
        kind, part, begins = step.failure.kind, step.part, step.begins
        if kind in ("power", "kill"):
            if begins:
                self.power_off(part)
            else:
                await self.power_on(part)
        elif kind == "freeze":
            (self.freeze if begins else self.thaw)(part)
        elif kind == "vanish":
            self.vanish(part, begins)
        elif kind == "cut-between":
            (self.cut if begins else self.heal)(*part.split(">"))
        elif kind == "clock":
            ahead = step.failure.by_us / 1e6 * (-1 if step.failure.back else 1)
            self.nodes[part].set_clock(ahead if begins else 0.0)
        elif kind == "disk":
            self.nodes[part].set_disk(step.failure.says if begins else "")
        elif kind == "drop":
            for other in self.names:
                self.ways.get(part, other).set(loss=step.failure.share if begins else 0.0)
        elif kind == "cut":
            self.coordinator.go() if begins else self.coordinator.back()
        elif kind in ("term", "hup"):
            if begins:
                self.nodes[part].signal(signal.SIGTERM if kind == "term" else signal.SIGHUP)
            elif kind == "term":
                await self.power_on(part)
        else:
            raise ValueError(f"the stage does not play {kind}")

    # The end

    def report(self) -> str:
        """What repeats the run, and what happened in it."""
        lines = [f"seed {self.seed}", timeline.write(self.day), self.record.story()]
        for name, node in self.nodes.items():
            if node.lines:
                lines.append(f"-- {name}, life {node.lives}, last lines:")
                lines += [str(line) for line in node.lines[-1][-12:]]
        return "\n".join(lines)

    def verdict(self) -> None:
        """Raises AssertionError with the breaches and the report where a rule was broken."""
        found = self.record.breaches()
        assert not found, "\n".join([*(f"{b.rule}: {b.subject} {b.text}" for b in found[:10]), self.report()])

    def worth(self, since_us: int = 0, until_us: int = 1 << 62) -> float:
        """The share of the worth asked for in that time that was earned."""
        ended = self.front.ended(since_us, until_us)
        asked = sum(self.front.kinds[e.cls].worth.worth for e in ended)
        return sum(earned(self.front.kinds[e.cls].worth, e) for e in ended) / asked if asked else 1.0

    async def stop(self) -> None:
        """Ends exactly the processes that the scene has started."""
        for node in self.nodes.values():
            if node.running:
                node.kill()
        for node in self.nodes.values():
            if node.process is not None:
                await node.ended()


@asynccontextmanager
async def stage(directors: int = 3, caches: int = 4, parents: int = 1, seed: int = 7,
                operators: str | Callable[[str], str] = "", rate: float = 0.0,
                makes: dict[str, Make] | None = None, checkout: Path | None = None,
                folder: Path | None = None, notice_s: float = 1.0):
    """An open scene, whose directors are not started yet. With a `rate` clients ask so often a second, all
    together, from the first admission on. `operators` is the settings' text of all, or by name; in it
    `{state}` is a folder that outlives the process, `{dns}` where its DNS front may listen, `{resolver}` a
    stand-in that knows the members as that director does, `{ledger}` where it reaches the stand-in ledger."""
    with tempfile.TemporaryDirectory(prefix="rookbend-stage-") as made:
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery, folder or Path(made), directors, caches, parents, seed, operators, rate,
                          makes or {}, checkout, notice_s)
            await scene.open()
            if rate:
                nursery.start_soon(_when_admitted, scene)
            try:
                yield scene
            finally:
                with trio.CancelScope(shield=True):
                    scene.front.running.cancel()
                    await scene.stop()
            nursery.cancel_scope.cancel()


async def _when_admitted(scene: Scene) -> None:
    while not any(t.admitted for t in scene.front.targets.values()):
        await scene.front.changed.wait()
    scene.record.note("fault", "clients", "begin")
    await scene.front.run()

