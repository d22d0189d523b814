"""Faults in a cluster: power losses, network cuts, vanished or frozen machines, and timelines of faults."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable, Iterable

import trio

from rookbend.testing import fault_timeline, fault_timeline_format
from rookbend.testing.cluster import disk


class Faults:
    """The part of `ProcessCluster` that injects faults."""

    def power_off(self, *names: str) -> None:
        """Kills the named processes at once; without names, all directors, caches and parents."""
        chosen = names or [*self.names, *(b.name for b in self.members.values() if b.role != "origin")]
        self.record.note("fault", "power", "off " + " ".join(chosen))
        self.powered_off.update(dict.fromkeys(chosen))
        for name in chosen:
            if name in self.nodes:
                self.nodes[name].kill()
        for name in chosen:
            if name in self.members and not self.members[name].down:
                self.members[name].crash()

    async def power_on(self, *names: str, known: dict | None = None) -> None:
        """Restarts the named processes in this order; without names, all that have lost power. Members return cold and
        empty. Directors lose their unsynced writes; `known` replaces the list in their configuration."""
        for name in names or sorted(self.powered_off, key=lambda n: n in self.nodes):
            self.powered_off.pop(name, None)
            if name in self.members:
                self.members[name].restart()
                self.coordinator.publish_members(name)
            else:
                await self.nodes[name].wait_for_exit()
                disk.discard_unsynced(self.nodes[name].state)
                await self.start(name, known=known)

    def freeze(self, name: str) -> None:
        """Stops the process by SIGSTOP. Its clients give up their open requests, since a stopped process cannot answer
        in time."""
        self.nodes[name].signal(signal.SIGSTOP)
        self.front.drop_connections(name)

    def resume(self, name: str) -> None:
        self.nodes[name].signal(signal.SIGCONT)

    def vanish(self, name: str, gone: bool = True) -> None:
        """Cuts the machine off from all others, or reconnects it. While it is cut off nothing is delivered, no
        connection is reset and no new connection is established."""
        self.record.note("fault", name, "vanished" if gone else "there again")
        for other in (*self.names, *self.members, "coordinator", "clients"):
            for pair in ((name, other), (other, name)):
                self.links.get(*pair).set(silent=gone, unreachable=gone)
        if gone and name in self.names:
            self.front.drop_connections(name)

    def cut(self, source: str, target: str) -> None:
        """Holds back everything that `source` sends to `target`."""
        self.record.note("fault", f"{source}>{target}", "cut")
        self.links.get(source, target).set(silent=True)

    def heal(self, source: str, target: str) -> None:
        self.record.note("fault", f"{source}>{target}", "healed")
        self.links.get(source, target).heal()

    def split(self, first: Iterable[str], second: Iterable[str], cut: bool = True) -> None:
        """Cuts all links between the directors of two sides, or heals them."""
        for a in first:
            for b in second:
                for pair in ((a, b), (b, a)):
                    (self.cut if cut else self.heal)(*pair)

    async def play(self, text: str, file: str = "day") -> None:
        """Plays a fault timeline, starting now. The timeline appears in the report of a failed run."""
        self.fault_schedule = fault_timeline_format.parse_faults(text, file)
        others = *self.names, *self.members, "coordinator", "clients"
        pairs = [f"{a}>{b}" for a in self.names for b in others if a != b]
        targets = {
            fault_timeline.TargetType.MEMBER: list(self.members),
            fault_timeline.TargetType.DIRECTOR: self.names,
            fault_timeline.TargetType.PAIR: pairs,
            fault_timeline.TargetType.MACHINE: [*self.names, *self.members],
            fault_timeline.TargetType.COORDINATOR: ["coordinator"],
        }
        started_s = trio.current_time()
        steps = fault_timeline.plan_steps(self.fault_schedule, targets)
        index = 0
        while index < len(steps):
            due = steps[index].at_us
            await trio.sleep_until(started_s + due / 1e6)
            simultaneous = []
            while index < len(steps) and steps[index].at_us == due:
                simultaneous.append(steps[index])
                index += 1
            # Power losses at the same instant come before all other steps.
            for step in sorted(simultaneous, key=lambda s: s.fault.kind != "power"):
                await self._step(step)

    async def _step(self, step: fault_timeline.Step) -> None:
        """Begins or ends one fault. Raises ValueError for a kind that the cluster cannot inject."""
        handler = self._fault_handlers().get(step.fault.kind)
        if handler is None:
            raise ValueError(f"the cluster cannot inject a fault of kind {step.fault.kind}")
        result = handler(step)
        if result is not None:
            await result

    def _fault_handlers(self) -> dict[str, Callable[[fault_timeline.Step], Awaitable[None] | None]]:
        """Returns the function that begins and ends each kind of fault."""
        return {
            "power": self._play_power,
            "kill": self._play_power,
            "freeze": lambda step: (self.freeze if step.begins else self.resume)(step.target),
            "vanish": lambda step: self.vanish(step.target, step.begins),
            "cut-between": lambda step: (self.cut if step.begins else self.heal)(*step.target.split(">")),
            "clock": self._play_clock,
            "disk": lambda step: self.nodes[step.target].set_disk(step.fault.says if step.begins else ""),
            "drop": self._play_loss,
            "cut": lambda step: self.coordinator.disconnect() if step.begins else self.coordinator.reconnect(),
            "term": self._play_stop,
            "hup": self._play_reload,
        }

    def _play_power(self, step: fault_timeline.Step) -> Awaitable[None] | None:
        return self.power_off(step.target) if step.begins else self.power_on(step.target)

    def _play_clock(self, step: fault_timeline.Step) -> None:
        ahead_s = step.fault.by_us / 1e6 * (-1 if step.fault.back else 1)
        self.nodes[step.target].set_clock(ahead_s if step.begins else 0.0)

    def _play_loss(self, step: fault_timeline.Step) -> None:
        for other in self.names:
            self.links.get(step.target, other).set(loss=step.fault.share if step.begins else 0.0)

    def _play_stop(self, step: fault_timeline.Step) -> Awaitable[None] | None:
        if not step.begins:
            return self.power_on(step.target)
        self.nodes[step.target].signal(signal.SIGTERM)
        return None

    def _play_reload(self, step: fault_timeline.Step) -> None:
        if step.begins:
            self.nodes[step.target].signal(signal.SIGHUP)
