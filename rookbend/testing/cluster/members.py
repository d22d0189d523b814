"""Stand-in members: caches and parents with a memory that can be cold, warm or full, and an origin with few workers,
which fails for seconds under overload. They speak the caches' side of the platform's line protocol.

Work is measured in seconds of sending. A warm member does `capacity` seconds of work per second, and a share of that
after a start (`SlowStart`). If the work requested within a window exceeds `multiple` times the capacity at its start,
the origin or a cold member fails: it resets its connections and accepts none for `down_s`; a cache then returns cold
and empty. A member refuses work that it cannot begin within `queue_s`. The content of an object is derived from its
name, so all copies of one version have the same bytes, and these bytes name the time at which it left the origin.
"""

from __future__ import annotations

import random
from collections import deque

import trio

from rookbend.testing.cache_store import CacheStore, Copy
from rookbend.testing.cluster.member_wire import MemberProtocol
from rookbend.testing.cluster.record import now_us
from rookbend.testing.cluster.relay import reset
from rookbend.testing.cluster.shared_state import FetchResult, MemberProfile, SharedState
from rookbend.testing.invariant_events import FillReceived, MemberStarted
from rookbend.testing.slow_start_budget import SlowStart


class SimulatedMember(MemberProtocol):
    def __init__(self, name: str, role: str, host: str, zone: str, shared: SharedState, profile: MemberProfile):
        self.name, self.role, self.host, self.zone = name, role, host, zone
        self.shared, self.record, self.profile = shared, shared.record, profile
        self.store = CacheStore(profile.memory)
        self.slow_start = SlowStart(profile.capacity, profile.cold_capacity_ratio, profile.warm_up_us, profile.multiple)
        self.up_since_us = 0  # Unix microseconds; 0: it has run for long and is warm
        self.port, self.down, self.overload_count = 0, False, 0
        self.draining = False
        self.admitted_count = self.hits = self.request_count = self.checks = 0
        self.unhealthy = False  # whether it answers health checks with 503
        self.health: tuple[str, int] | None = None
        self._window: deque[tuple[int, float]] = deque()
        self._window_work_s, self._free_us = 0.0, 0
        self._streams: set[trio.SocketStream] = set()
        self._nursery: trio.Nursery | None = None
        self._fetching: dict[tuple[str, int], trio.Event] = {}
        self.peak_load_ratio = 0.0  # the highest load of a window as a share of the load that overloads the member
        shared.members[name] = self

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port

    @property
    def phase(self) -> str:
        return "DRAINING" if self.draining else "SERVING"

    # Lifecycle

    async def listen(self, nursery: trio.Nursery, port: int = 0) -> int:
        self._nursery = nursery
        listeners = await trio.open_tcp_listeners(port, host=self.host)
        self.port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)
        return self.port

    def crash(self) -> None:
        """Ends the member: resets its connections and loses its copies."""
        self.down = True
        self.store = CacheStore(self.profile.memory)
        for stream in list(self._streams):
            reset(stream)
        self._streams.clear()
        self.record.note("end", self.name)

    def restart(self) -> None:
        """Starts the member again, empty and cold."""
        self.down, self.up_since_us = False, now_us()
        self._window.clear()
        self._window_work_s, self._free_us = 0.0, 0
        if self.role != "origin":
            self.record.feed(MemberStarted(now_us(), self.name, self.slow_start))
        self.record.note("start", self.name)

    def _fail_overloaded(self) -> None:
        self.overload_count += 1
        self.record.note("fall", self.name)
        self.crash()
        self._nursery.start_soon(self._restart_after_failure)

    async def _restart_after_failure(self) -> None:
        await trio.sleep(self.profile.down_s)
        if self.down:
            self.restart()

    # Work

    def capacity(self, at: int) -> float:
        return self.slow_start.capacity_at(at - self.up_since_us) if self.up_since_us else self.profile.capacity

    def admit(self, work: float) -> float | None:
        """Accepts work and returns the seconds until it is done, or None if it is refused or overloads the member."""
        now, profile = now_us(), self.profile
        if self.down:
            return None
        self._window.append((now, work))
        self._window_work_s += work
        while self._window[0][0] <= now - profile.window_us:
            self._window_work_s -= self._window.popleft()[1]
        overload_work_s = profile.multiple * self.capacity(now - profile.window_us) * profile.window_us / 1e6
        self.peak_load_ratio = max(self.peak_load_ratio, self._window_work_s / overload_work_s)
        if self._window_work_s > overload_work_s and (self.role == "origin" or self.is_cold(now)):
            self._fail_overloaded()
            return None
        free = max(self._free_us, now)
        if (free - now) / 1e6 > profile.queue_s:
            return None
        self._free_us = free + int(work / self.capacity(now) * 1e6)
        self.admitted_count += 1
        return (free - now) / 1e6 + work

    def is_cold(self, now: int) -> bool:
        return bool(self.up_since_us) and now - self.up_since_us < self.profile.warm_up_us

    def work_seconds(self, key: str, part: int) -> float:
        return self.profile.first_byte_s + self.shared.size_of(key, part) / self.profile.bytes_per_s

    # Copies

    def usable_copy(self, key: str, group: int, copy: Copy | None, oldest_us: int) -> Copy | None:
        """Returns the copy if it is recent enough and no purge that this member has applied voids it."""
        if copy is None or copy.t0_us < oldest_us:
            return None
        shared, now = self.shared, now_us()
        for purged_us in (shared.purged_objects.get(key, 0), shared.purged_groups.get(group, 0)):
            if purged_us and copy.t0_us < purged_us:
                delay_s = random.Random(f"{shared.seed} {self.name} {purged_us}").uniform(0, shared.max_purge_delay_s)
                if now >= purged_us + delay_s * 1e6:
                    return None
        return copy

    async def get(
        self, key: str, part: int, group: int, oldest_us: int, source: SimulatedMember | None, keep: int, join: bool
    ) -> FetchResult:
        """Returns a copy from memory, or one filled from the source. May be cancelled."""
        now = now_us()
        if self.role == "origin":
            return await self._generate(key, part, group)
        held = self.usable_copy(key, group, self.store.get((key, part), keep), oldest_us)
        duration_s = self.admit(self.work_seconds(key, part))
        if duration_s is None:
            return FetchResult("refused", "crowded")
        if held is not None:
            self.hits += 1
            await trio.sleep(duration_s)
            return FetchResult("ok", "mem", held)
        if source is None:
            return FetchResult("nothing")
        if join and (event := self._fetching.get((key, part))) is not None:
            await event.wait()
            held = self.usable_copy(key, group, self.store.peek((key, part)), oldest_us)
            if held is not None:
                return FetchResult("ok", "shared", held)
        event = self._fetching[key, part] = trio.Event()
        try:
            result = await source.fill(key, part, group, oldest_us)
        finally:
            event.set()
            if self._fetching.get((key, part)) is event:
                del self._fetching[key, part]
        if result.copy is None:
            note = {"refused": "denied", "nothing": "absent"}.get(result.outcome, "unreached")
            return FetchResult("error", "behind" if result.note == "behind" else note)
        if keep or self.role == "parent":
            self.store.put((key, part), Copy(result.copy.size, result.copy.t0_us, group, keep or 1))
        await trio.sleep(duration_s)
        note = "origin" if source.role == "origin" or result.note in ("origin", "parent") else "parent"
        return FetchResult("ok", note, result.copy, (now_us() - now) / 1e6)

    async def fill(self, key: str, part: int, group: int, oldest_us: int) -> FetchResult:
        """Returns a copy for a fill by another member. A parent fetches missing copies from the origin."""
        if self.down:
            return FetchResult("error", "unreached")
        if self.role != "origin":
            self.record.feed(FillReceived(now_us(), self.name, self.work_seconds(key, part)))
        origin = next(b for b in self.shared.members.values() if b.role == "origin")
        result = await self.get(key, part, group, oldest_us, origin, 0, True)
        if result.copy is None and self.role == "parent" and result.note in ("denied", "unreached"):
            return FetchResult("error", "behind")
        return result

    async def _generate(self, key: str, part: int, group: int) -> FetchResult:
        """Generates the copy at the origin, which has every object but few workers."""
        duration_s = self.admit(self.work_seconds(key, part))
        if duration_s is None:
            return FetchResult("refused")
        t0 = now_us()
        await trio.sleep(duration_s)
        if self.down:
            return FetchResult("error")
        return FetchResult("ok", "", Copy(self.shared.size_of(key, part), t0 // 1000 * 1000, group))
