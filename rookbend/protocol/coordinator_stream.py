"""The coordinator's stream: HTTP by h11, server-sent events, and what their data tells."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

import h11
import msgspec

from rookbend.core.model import Endpoint, MembershipChange, Purge
from rookbend.interface import Member, MemberState

LONGEST_EVENT = 4 << 20
STATES = {"SERVING": MemberState.READY, "DRAINING": MemberState.DRAINING, "DELETED": MemberState.GONE}
UNKNOWN_KIND = 0xFFFF


class StreamError(Exception):
    """What came is no stream of events."""


class _Line(msgspec.Struct):
    id: str
    host_port: str = ""
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    phase: str = "SERVING"
    size: float = 1.0
    up_since_ms: int = 0


class _Endpoints(msgspec.Struct):
    revision: int = 0
    complete: bool = False
    members: list[_Line] = []


class _Evict(msgspec.Struct):
    ref: str | None = None
    shard: int | None = None
    unix_ms: int = 0


class Update(msgspec.Struct):
    """An event as the coordinator words it."""

    index: int = 0
    endpoints: _Endpoints | None = None
    evict: _Evict | None = None


class Known(msgspec.Struct):
    index: int = 0
    updates: list[Update] = []


_update = msgspec.json.Decoder(Update)


def object_number(name: str) -> int:
    """The number of an object's name. 0 would mean a whole group to the module, so no object has it."""
    return int(name, 16) or 1 << 64


def server_number(name: str) -> int:
    """The same number for a member's name at every director: the module's shared hash rests on it."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big") or 1


def split_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


class Translator:
    """Turns the coordinator's events into the core's; zones and kinds are named in the settings' order."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]):
        self._zones = {name: i for i, name in enumerate(zones)}
        self._kinds = {name: i for i, name in enumerate(kinds)}

    def translate(self, update: Update) -> MembershipChange | Purge | None:
        try:
            if update.endpoints is not None:
                e = update.endpoints
                return MembershipChange(e.complete, e.revision, [self._entry(line) for line in e.members])
            if update.evict is not None:
                e = update.evict
                number = None if e.ref is None else object_number(e.ref)
                return Purge(number, e.shard or 0, e.unix_ms * 1000)
        except (ValueError, KeyError) as error:
            raise StreamError(f"an event can't be used: {error}") from None
        return None

    def _entry(self, line: _Line) -> Endpoint:
        state = STATES[line.phase]
        # What is gone needs no address, and a zone or kind that the settings don't name takes no part.
        address = split_address(line.host_port) if state is not MemberState.GONE else ("", 0)
        member = Member(
            server_number(line.id),
            line.size,
            line.cell,
            self._zones.get(line.locality, 0xFF),
            line.up_since_ms * 1000,
            state,
            self._kinds.get(line.flavor, UNKNOWN_KIND),
        )
        return Endpoint(member, line.id, address)


@dataclass(slots=True)
class StreamEnd:
    """The coordinator has ended the stream."""


@dataclass(slots=True)
class UnreadableEvent:
    """An event whose data can't be read; those that follow it can. `index` is 0 where it has no number."""

    index: int
    reason: str


StreamItem = Update | UnreadableEvent | StreamEnd


class EventStream:
    """One call of the stream: gives the request's bytes, is fed the answer's, gives updates."""

    def __init__(self, host: str, path: str, last_index: int):
        self._http = h11.Connection(h11.CLIENT)
        self._request = h11.Request(
            method="GET",
            target=path,
            headers=[("Host", host), ("Accept", "text/event-stream"), ("Last-Event-ID", str(last_index))],
        )
        self._text = b""
        self._data: list[bytes] = []  # of the event that is not whole
        self._id = 0  # its number

    def start(self) -> bytes:
        return self._http.send(self._request) + self._http.send(h11.EndOfMessage())

    def feed(self, data: bytes) -> list[StreamItem]:
        """What has come whole. Empty `data` means the end of the connection."""
        try:
            self._http.receive_data(data)
            out: list[StreamItem] = []
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return out
                if isinstance(event, h11.Response) and event.status_code != 200:
                    raise StreamError(f"the coordinator answered {event.status_code}")
                if isinstance(event, h11.Data):
                    out += self._read(bytes(event.data))
                elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
                    return [*out, StreamEnd()]
        except h11.RemoteProtocolError as error:
            raise StreamError(f"no HTTP: {error}") from None

    def _read(self, data: bytes) -> list[StreamItem]:
        self._text += data
        if len(self._text) > LONGEST_EVENT:
            raise StreamError("an event is too long")
        lines = self._text.replace(b"\r\n", b"\n").split(b"\n")
        self._text = lines.pop()
        out: list[StreamItem] = []
        for line in lines:
            if line.startswith(b"data:"):
                self._data.append(line[5:].removeprefix(b" "))
            elif line.startswith(b"id:") and line[3:].strip().isdigit():
                self._id = int(line[3:])
            elif not line and self._data:
                out.append(self._event())
        return out

    def _event(self) -> Update | UnreadableEvent:
        text, self._data = b"\n".join(self._data), []
        index, self._id = self._id, 0
        try:
            update = _update.decode(text)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return UnreadableEvent(index, str(error))
        update.index = update.index or index
        return update
