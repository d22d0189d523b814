"""When time alone next changes a member's verdict or a tier's panic: one entry armed a member."""

from __future__ import annotations

import heapq

ANY_TIER = 0  # in place of a server number: a tier's panic may end
MAX_ENTRIES_PER_MEMBER, EXTRA_ENTRIES = 4, 64  # more than that, and the heap is rebuilt


class MemberTimers:
    """A heap of (when, server). A member that is armed anew leaves its old entry behind, to be skipped."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int]] = []
        self.armed: dict[int, int] = {}  # server: the time for which it is armed

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
        """The member has gone."""
        self.armed.pop(server, None)

    def arm_tier(self, due_us: int) -> None:
        """Some tier's panic may end at `due_us`."""
        heapq.heappush(self._heap, (due_us, ANY_TIER))

    def pop_due(self, now_us: int) -> int | None:
        """The next member that is due, disarmed, or ANY_TIER; None where nothing is."""
        while self._heap and self._heap[0][0] <= now_us:
            at_us, server = heapq.heappop(self._heap)
            if server == ANY_TIER:
                return ANY_TIER
            if self.armed.get(server) == at_us:
                del self.armed[server]
                return server
        return None

    def needs_rebuild(self, member_count: int) -> bool:
        """Whether entries left behind fill the heap, as those of an agent that flaps would."""
        return len(self._heap) > MAX_ENTRIES_PER_MEMBER * member_count + EXTRA_ENTRIES

    def rebuild(self, tier_times_us: list[int]) -> None:
        """Keeps only what is armed, and the tiers' times."""
        self._heap = [(at_us, server) for server, at_us in self.armed.items()]
        self._heap += [(at_us, ANY_TIER) for at_us in tier_times_us]
        heapq.heapify(self._heap)
