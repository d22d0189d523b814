"""A stand-in coordinator: numbered events, one stream for each director, and the list in a director's configuration.

Each director connects through its relay to its own listener, since the member addresses in the list are those of
that director's relays. While the coordinator is away, its streams are closed and new connections are reset.
"""

from __future__ import annotations

import json
from collections.abc import Callable

import trio

from rookbend.testing.cluster.members import SimulatedMember
from rookbend.testing.cluster.record import now_us
from rookbend.testing.cluster.relay import reset
from rookbend.testing.cluster.shared_state import ROLES, SharedState
from rookbend.testing.invariant_events import MembershipSent, MemberStatus, PurgeSent

PHASES = {"SERVING": MemberStatus.SERVING, "DRAINING": MemberStatus.DRAINING, "DELETED": MemberStatus.GONE}


class Coordinator:
    def __init__(self, shared: SharedState, address_of: Callable[[str, str], str]):
        """`address_of(director, member)` returns the address at which that director reaches that member."""
        self.shared, self.record, self.address_of = shared, shared.record, address_of
        self.index, self.revision = 1, 1  # the first event is the complete list
        self.events: list[tuple[int, dict]] = []  # events without addresses
        self.phases: dict[str, str] = {}
        self.purges: list[tuple[int, dict]] = []
        self.is_disconnected = False
        self.unreachable_to: set[str] = set()  # directors whose calls are reset
        self.answer_delay_s = 0.0  # from a call until its answer begins
        # Whether an event counts as told to all directors once it is here, rather than once it was written to each.
        self.tells_at_once = False
        # Directors to which it does so in any case: those that have a list in their configuration and no stream yet.
        self.tells_starting_at_once = False
        self._starting: set[str] = set()
        self.calls: dict[str, int] = {}
        self.last_sent_index: dict[str, int] = {}  # by director: the last event sent on its stream
        self._changed = trio.Event()
        self._streams: dict[str, trio.SocketStream] = {}

    async def listen(self, nursery: trio.Nursery, director: str, host: str) -> tuple[str, int]:
        listeners = await trio.open_tcp_listeners(0, host=host)
        nursery.start_soon(trio.serve_listeners, lambda s: self._serve(director, s), listeners)
        return listeners[0].socket.getsockname()[:2]

    # Events

    def _add(self, event: dict) -> None:
        self.index += 1
        self.events.append((self.index, event))
        for director in self.last_sent_index if self.tells_at_once else self._starting:
            self.record_delivery(director, event)
        self._changed.set()
        self._changed = trio.Event()

    def publish_members(self, *names: str) -> None:
        """Publishes the current phase and start time of these members."""
        self.revision += 1
        entries = []
        for name in names:
            member = self.shared.members[name]
            self.phases[name] = member.phase
            entries.append(self._member_entry(member))
        self._add({"endpoints": {"revision": self.revision, "complete": False, "members": entries}})

    def purge(self, *, key: str = "", group: int = -1) -> int:
        """Purges an object or a group. Returns the time of the purge in Unix microseconds."""
        purged_us = now_us() // 1000 * 1000
        if key:
            self.shared.purged_objects[key] = purged_us
            event = {"evict": {"ref": key, "unix_ms": purged_us // 1000}}
        else:
            self.shared.purged_groups[group] = purged_us
            event = {"evict": {"shard": group, "unix_ms": purged_us // 1000}}
        self._add(event)
        self.purges.append((purged_us, event))
        return purged_us

    def _member_entry(self, member: SimulatedMember) -> dict:
        return {
            "id": member.name,
            "locality": member.zone,
            "flavor": ROLES[member.role],
            "phase": self.phases[member.name],
            "size": member.profile.capacity,
            "up_since_ms": member.up_since_us // 1000,
        }

    def _with_addresses(self, director: str, event: dict) -> dict:
        if "endpoints" not in event:
            return event
        endpoints = event["endpoints"]
        members = [{**m, "host_port": self.address_of(director, m["id"])} for m in endpoints["members"]]
        return {"endpoints": {**endpoints, "members": members}}

    def known_at_start(self, director: str, purge_life_us: int) -> dict:
        """Returns the list and the recent purges for the configuration of a director that starts now."""
        for member in self.shared.members.values():
            self.phases.setdefault(member.name, member.phase)
        entries = [self._member_entry(b) for b in self.shared.members.values()]
        complete_list = {"endpoints": {"revision": self.revision, "complete": True, "members": entries}}
        recent = [event for at, event in self.purges if at > now_us() - purge_life_us]
        self.last_sent_index[director] = self.index
        if self.tells_starting_at_once:
            self._starting.add(director)
        self.record_delivery(director, complete_list)
        for event in recent:
            self.record_delivery(director, event)
        return {
            "index": self.index,
            "updates": [{"index": 0, **self._with_addresses(director, event)} for event in (complete_list, *recent)],
        }

    def record_delivery(self, director: str, event: dict) -> None:
        """Records that the director has received the event and has to obey it from now on."""
        at = now_us()
        for m in event.get("endpoints", {}).get("members", ()):
            self.record.feed(MembershipSent(at, director, m["id"], PHASES[m["phase"]]))
        if (e := event.get("evict")) is not None:
            self.record.feed(PurgeSent(at, director, e["unix_ms"] * 1000, e.get("ref", ""), e.get("shard", -1)))

    # Streams

    def disconnect(self) -> None:
        """Resets all streams, and all new connections until `reconnect`."""
        self.is_disconnected = True
        self.record.note("fault", "coordinator", "away")
        for stream in list(self._streams.values()):
            reset(stream)
        self._streams.clear()

    def reconnect(self) -> None:
        self.is_disconnected = False
        self.record.note("fault", "coordinator", "back")

    async def _write(self, stream, director: str, index: int, event: dict) -> None:
        data = json.dumps({"index": index, **self._with_addresses(director, event)})
        await stream.send_all(f"id: {index}\ndata: {data}\n\n".encode())
        self.record_delivery(director, event)

    async def _serve(self, director: str, stream: trio.SocketStream) -> None:
        self.calls[director] = self.calls.get(director, 0) + 1
        self.record.note("coordinator call", director)
        if self.is_disconnected or director in self.unreachable_to:
            return reset(stream)
        try:
            await trio.sleep(self.answer_delay_s)
            head = (await stream.receive_some(4096)).decode("ascii", "replace").lower()
            last = next(
                (int(line.split(":")[1]) for line in head.split("\r\n") if line.startswith("last-event-id:")), 0
            )
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n")
            self._streams[director] = stream
            self._starting.discard(director)
            if not last:
                # For a director without an earlier event, the first event is the complete list.
                entries = [self._member_entry(b) for b in self.shared.members.values()]
                complete_list = {"endpoints": {"revision": self.revision, "complete": True, "members": entries}}
                await self._write(stream, director, 1, complete_list)
                for _, event in self.purges:
                    await self._write(stream, director, 1, event)
                last = self.last_sent_index[director] = self.index
            while True:
                due = [(i, e) for i, e in self.events if i > last]
                for index, event in due:
                    await self._write(stream, director, index, event)
                    last = self.last_sent_index[director] = index
                changed = self._changed
                if not due:
                    with trio.move_on_after(1.0):
                        await changed.wait()
                        continue
                    await stream.send_all(b":\n")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            if self._streams.get(director) is stream:
                del self._streams[director]
