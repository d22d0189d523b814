"""Timers for members' verdicts and tiers' panic: at most one armed timer per member."""

from __future__ import annotations

import heapq

ANY_TIER = 0  # used instead of a server number: the panic of some tier may end
MAX_ENTRIES_PER_MEMBER, EXTRA_ENTRIES = 4, 64  # a heap with more entries is rebuilt


class MemberTimers:
    """A heap of (time, server). Arming a member again leaves its old entry in the heap, which `pop_due` skips."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int]] = []
        self.armed: dict[int, int] = {}  # the time for which a server's timer is armed

    def __len__(self) -> int:
        return len(self._heap)

    @property
    def due_us(self) -> int:
        """When the first entry is due, or 0."""
        return self._heap[0][0] if self._heap else 0

    def arm(self, server: int, due_us: int) -> None:
        """Arms a member for `due_us`; 0 disarms it."""
        if due_us and self.armed.get(server, 0) != due_us:
            self.armed[server] = due_us
            heapq.heappush(self._heap, (due_us, server))
        elif not due_us:
            self.armed.pop(server, None)

    def disarm(self, server: int) -> None:
        """Removes the timer of a member that was removed."""
        self.armed.pop(server, None)

    def arm_tier(self, due_us: int) -> None:
        """Arms a timer for the possible end of a tier's panic at `due_us`."""
        heapq.heappush(self._heap, (due_us, ANY_TIER))

    def pop_due(self, now_us: int) -> int | None:
        """Disarms and returns the next member that is due, or ANY_TIER; None if nothing is due."""
        while self._heap and self._heap[0][0] <= now_us:
            at_us, server = heapq.heappop(self._heap)
            if server == ANY_TIER:
                return ANY_TIER
            if self.armed.get(server) == at_us:
                del self.armed[server]
                return server
        return None

    def needs_rebuild(self, member_count: int) -> bool:
        """Whether obsolete entries fill the heap. A flapping agent leaves many of them."""
        return len(self._heap) > MAX_ENTRIES_PER_MEMBER * member_count + EXTRA_ENTRIES

    def rebuild(self, tier_times_us: list[int]) -> None:
        """Rebuilds the heap from the armed timers and the tiers' times."""
        self._heap = [(at_us, server) for server, at_us in self.armed.items()]
        self._heap += [(at_us, ANY_TIER) for at_us in tier_times_us]
        heapq.heapify(self._heap)
