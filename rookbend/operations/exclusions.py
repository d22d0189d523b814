"""Members left out by hand. A ban always takes away: whatever the list says, nothing new goes there.

What the engine and the decision module hear of a banned member is the list's own word with its state made
`draining`: no request, no fill, no retry, and what waits in a queue is held back as its first byte goes out
(`may_write`). So its place in the hash order stays, and the list's own drain still wins. Names, not
addresses: one that leaves the list and comes back stays out, and so does one that is told anew.

A member that comes back counts as started at that moment. It was out to be restarted, the list may tell of
that late or never, and a cold cache that is taken for a warm one is pushed over.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from rookbend.core.model import Endpoint, MembershipChange
from rookbend.interface import MemberState

MOST = 1024  # names: a ban on a member that has left the list is kept, but not without end


@dataclass(frozen=True, slots=True)
class Ordered:
    """What came of a call: `fault` in words or empty; whether it was `news`; what to tell of the member."""

    fault: str = ""
    news: bool = False
    change: MembershipChange | None = None


class Bans:
    """`out` holds the names in the order in which they came; `back_us` when one came back, until it is told
    gone. Both are bounded: the first by `MOST`, the second by the list."""

    def __init__(self, out: tuple[str, ...] = (), back_us: dict[str, int] | None = None):
        self.out: dict[str, None] = dict.fromkeys(out)
        self.back_us = dict(back_us or {})
        self.listed: dict[str, Endpoint] = {}  # the list's own word, by name
        self.version = 0

    def heard(self, change: MembershipChange) -> MembershipChange:
        """The list, or a part of it, as the rest of the director is to hear it."""
        self.version = change.version
        if change.complete:
            self.listed.clear()
        for entry in change.endpoints:
            if entry.member.state is MemberState.GONE:
                self.listed.pop(entry.name, None)
                self.back_us.pop(entry.name, None)
            else:
                self.listed[entry.name] = entry
        return MembershipChange(change.complete, change.version, [self.effective(e) for e in change.endpoints])

    def effective(self, entry: Endpoint) -> Endpoint:
        """The entry as the engine is to see it: out of use where a ban says so."""
        member = entry.member
        if member.state is not MemberState.READY:
            return entry
        if entry.name in self.out:
            return replace(entry, member=replace(member, state=MemberState.DRAINING))
        back = self.back_us.get(entry.name, 0)
        if back > member.started_us:
            return replace(entry, member=replace(member, started_us=back))
        return entry

    def order(self, name: str, out: bool, now_us: int) -> Ordered:
        """Out, or back. Twice out is once out: one call back undoes both."""
        entry = self.listed.get(name)
        if entry is None and name not in self.out:
            return Ordered(f"no member {name} in the list")
        if out == (name in self.out):
            return Ordered()
        if out:
            if len(self.out) >= MOST:
                return Ordered(f"{MOST} members are out already")
            self.out[name] = None
        else:
            del self.out[name]
            if entry is not None:
                self.back_us[name] = now_us
        changed = [] if entry is None else [self.effective(entry)]
        return Ordered("", True, MembershipChange(False, self.version, changed))

    def adopt(self, name: str, out: bool, now_us: int) -> Ordered:
        """The same as another process of this director was told, or told before us: known here or not."""
        if out and name not in self.listed:
            news = name not in self.out and len(self.out) < MOST
            if news:
                self.out[name] = None
            return Ordered("", news)
        return self.order(name, out, now_us)
