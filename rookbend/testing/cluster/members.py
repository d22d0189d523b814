"""Stand-ins of the members: caches and parents with a memory, cold and warm, full and fallen; the origin with
few workers, which stops for seconds when it is pushed over. They speak the caches' side of the platform's
lines.

Work is seconds of sending. A member does `capacity` of it a second once it is warm, from a share of that
after a start (`SlowStart`). Asked within a window for more than `multiple` times what it could do, it
falls: its connections are reset, and it takes none for `down_s`; a cache then returns cold and empty. What it
can't begin within `queue_s` it refuses. Objects are drawn from their names, so each copy of one version is
the same bytes everywhere, and a copy says in its bytes when it left the origin.
"""

from __future__ import annotations

import random
from collections import deque

import trio

from rookbend.testing.cache_store import CacheStore, Copy
from rookbend.testing.cluster.member_wire import Wire
from rookbend.testing.cluster.record import now_us
from rookbend.testing.cluster.relay import reset
from rookbend.testing.cluster.shared_state import Got, Make, World
from rookbend.testing.invariant_events import FillReceived, MemberStarted
from rookbend.testing.slow_start_budget import SlowStart


class Box(Wire):
    def __init__(self, name: str, role: str, host: str, zone: str, world: World, make: Make):
        self.name, self.role, self.host, self.zone = name, role, host, zone
        self.world, self.record, self.make = world, world.record, make
        self.store = CacheStore(make.memory)
        self.slow_start = SlowStart(make.capacity, make.cold_capacity_ratio, make.warm_up_us, make.multiple)
        self.up_since_us = 0  # 0: it has run for long, and is warm
        self.port, self.down, self.falls = 0, False, 0
        self.draining = False
        self.worked = self.hits = self.asked = self.checks = 0
        self.ill = False  # it answers, and says that it is not well
        self.health: tuple[str, int] | None = None
        self._log: deque[tuple[int, float]] = deque()
        self._total, self._free_us = 0.0, 0
        self._streams: set[trio.SocketStream] = set()
        self._nursery: trio.Nursery | None = None
        self._fetching: dict[tuple[str, int], trio.Event] = {}
        self.most = 0.0  # the fullest window, as a share of what pushes it over
        world.members[name] = self

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port

    @property
    def phase(self) -> str:
        return "DRAINING" if self.draining else "SERVING"

    # Life

    async def listen(self, nursery: trio.Nursery, port: int = 0) -> int:
        self._nursery = nursery
        listeners = await trio.open_tcp_listeners(port, host=self.host)
        self.port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)
        return self.port

    def die(self) -> None:
        """Its process ends: connections are reset, what it held is lost."""
        self.down = True
        self.store = CacheStore(self.make.memory)
        for stream in list(self._streams):
            reset(stream)
        self._streams.clear()
        self.record.note("end", self.name)

    def come_back(self) -> None:
        """It starts again, empty and cold."""
        self.down, self.up_since_us = False, now_us()
        self._log.clear()
        self._total, self._free_us = 0.0, 0
        if self.role != "origin":
            self.record.feed(MemberStarted(now_us(), self.name, self.slow_start))
        self.record.note("start", self.name)

    def _fall(self) -> None:
        self.falls += 1
        self.record.note("fall", self.name)
        self.die()
        self._nursery.start_soon(self._rise)

    async def _rise(self) -> None:
        await trio.sleep(self.make.down_s)
        if self.down:
            self.come_back()

    # Work

    def capacity(self, at: int) -> float:
        return self.slow_start.capacity_at(at - self.up_since_us) if self.up_since_us else self.make.capacity

    def admit(self, work: float) -> float | None:
        """Takes work; the seconds until it is done, or None where it is refused or the member falls."""
        now, make = now_us(), self.make
        if self.down:
            return None
        self._log.append((now, work))
        self._total += work
        while self._log[0][0] <= now - make.window_us:
            self._total -= self._log.popleft()[1]
        able = make.multiple * self.capacity(now - make.window_us) * make.window_us / 1e6
        self.most = max(self.most, self._total / able)
        if self._total > able and (self.role == "origin" or self.is_cold(now)):
            self._fall()
            return None
        free = max(self._free_us, now)
        if (free - now) / 1e6 > make.queue_s:
            return None
        self._free_us = free + int(work / self.capacity(now) * 1e6)
        self.worked += 1
        return (free - now) / 1e6 + work

    def is_cold(self, now: int) -> bool:
        return bool(self.up_since_us) and now - self.up_since_us < self.make.warm_up_us

    def work_of(self, key: str, part: int) -> float:
        return self.make.first_s + self.world.size_of(key, part) / self.make.pace

    # What it holds

    def valid(self, key: str, group: int, copy: Copy | None, oldest_us: int) -> Copy | None:
        """The copy, where no purge that this member has heard of voids it and it is young enough."""
        if copy is None or copy.t0_us < oldest_us:
            return None
        world, now = self.world, now_us()
        for made in (world.purged_objects.get(key, 0), world.purged_groups.get(group, 0)):
            if made and copy.t0_us < made:
                heard = random.Random(f"{world.seed} {self.name} {made}").uniform(0, world.purge_takes_s)
                if now >= made + heard * 1e6:
                    return None
        return copy

    async def get(
        self, key: str, part: int, group: int, oldest_us: int, source: Box | None, keep: int, join: bool
    ) -> Got:
        """A copy of its own, or one filled from the source. May be cancelled."""
        now = now_us()
        if self.role == "origin":
            return await self._made(key, part, group)
        held = self.valid(key, group, self.store.get((key, part), keep), oldest_us)
        takes = self.admit(self.work_of(key, part))
        if takes is None:
            return Got("refused", "crowded")
        if held is not None:
            self.hits += 1
            await trio.sleep(takes)
            return Got("ok", "mem", held)
        if source is None:
            return Got("nothing")
        if join and (event := self._fetching.get((key, part))) is not None:
            await event.wait()
            held = self.valid(key, group, self.store.peek((key, part)), oldest_us)
            if held is not None:
                return Got("ok", "shared", held)
        event = self._fetching[key, part] = trio.Event()
        try:
            got = await source.filled(key, part, group, oldest_us)
        finally:
            event.set()
            if self._fetching.get((key, part)) is event:
                del self._fetching[key, part]
        if got.copy is None:
            note = {"refused": "denied", "nothing": "absent"}.get(got.word, "unreached")
            return Got("error", "behind" if got.note == "behind" else note)
        if keep or self.role == "parent":
            self.store.put((key, part), Copy(got.copy.size, got.copy.t0_us, group, keep or 1))
        await trio.sleep(takes)
        note = "origin" if source.role == "origin" or got.note in ("origin", "parent") else "parent"
        return Got("ok", note, got.copy, (now_us() - now) / 1e6)

    async def filled(self, key: str, part: int, group: int, oldest_us: int) -> Got:
        """What a fill from here brings. A parent fetches what it lacks from the origin."""
        if self.down:
            return Got("error", "unreached")
        if self.role != "origin":
            self.record.feed(FillReceived(now_us(), self.name, self.work_of(key, part)))
        origin = next(b for b in self.world.members.values() if b.role == "origin")
        got = await self.get(key, part, group, oldest_us, origin, 0, True)
        if got.copy is None and self.role == "parent" and got.note in ("denied", "unreached"):
            return Got("error", "behind")
        return got

    async def _made(self, key: str, part: int, group: int) -> Got:
        """The origin makes the copy: it holds everything, and few can ask at once."""
        takes = self.admit(self.work_of(key, part))
        if takes is None:
            return Got("refused")
        t0 = now_us()
        await trio.sleep(takes)
        if self.down:
            return Got("error")
        return Got("ok", "", Copy(self.world.size_of(key, part), t0 // 1000 * 1000, group))
