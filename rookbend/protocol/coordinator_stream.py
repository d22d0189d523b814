"""The events in the stream of the platform's coordinator (docs of the platform), and their translation for the core."""

from __future__ import annotations

from hashlib import blake2b

import msgspec

from rookbend.core.model import Endpoint, MembershipChange, Purge
from rookbend.interface import Member, MemberState
from rookbend.protocol.errors import ProtocolError

# The coordinator's phases of a member, with the member states that they map to.
MEMBER_STATES = {"SERVING": MemberState.READY, "DRAINING": MemberState.DRAINING, "DELETED": MemberState.GONE}
UNKNOWN_KIND = 0xFFFF  # a member's kind that the settings don't name
UNKNOWN_ZONE = 0xFF
SERVER_NUMBER_BYTES = 6
ZERO_OBJECT_NUMBER = 1 << 64  # replaces 0, which means a whole group to the router


class StreamError(ProtocolError):
    """The received bytes are not a stream of events, or an event can't be used."""


class EndpointRecord(msgspec.Struct):
    """A member as the coordinator describes it; `name` in a field is the name on the wire, where it differs."""

    name: str = msgspec.field(name="id")
    address: str = msgspec.field(name="host_port", default="")
    zone: str = msgspec.field(name="locality", default="")
    kind: str = msgspec.field(name="flavor", default="")
    cell: int = 0
    phase: str = "SERVING"
    weight: float = msgspec.field(name="size", default=1.0)
    started_ms: int = msgspec.field(name="up_since_ms", default=0)


class MembershipEvent(msgspec.Struct):
    """The whole membership (`complete`), or the members that changed."""

    version: int = msgspec.field(name="revision", default=0)
    complete: bool = False
    members: list[EndpointRecord] = []


class PurgeEvent(msgspec.Struct):
    """A purge of one object, or of a group if `key` is None. Unix milliseconds."""

    key: str | None = msgspec.field(name="ref", default=None)
    group: int | None = msgspec.field(name="shard", default=None)
    unix_ms: int = 0


class Update(msgspec.Struct):
    """An event of the coordinator, by its number in the stream; both other fields are None for an unknown kind."""

    index: int = 0
    membership: MembershipEvent | None = msgspec.field(name="endpoints", default=None)
    purge: PurgeEvent | None = msgspec.field(name="evict", default=None)


class KnownEvents(msgspec.Struct):
    """The events up to number `index`, as included in the configuration."""

    index: int = 0
    updates: list[Update] = []


def object_number(name: str) -> int:
    """The number of an object by its name in hex digits. Raises ValueError on other names."""
    return int(name, 16) or ZERO_OBJECT_NUMBER


def server_number(name: str) -> int:
    """The number of a member by its name, the same at every director: the router's shared hash depends on it."""
    return int.from_bytes(blake2b(name.encode(), digest_size=SERVER_NUMBER_BYTES).digest(), "big") or 1


def split_address(text: str) -> tuple[str, int]:
    """Host and port of `host:port` or `[host]:port`. Raises ValueError if there is no port."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


class Translator:
    """Translates the coordinator's events for the core; `zones` and `kinds` are names in the settings' order."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self._zones = {name: index for index, name in enumerate(zones)}
        self._kinds = {name: index for index, name in enumerate(kinds)}

    def translate(self, update: Update) -> MembershipChange | Purge | None:
        """Returns the event for the core; None for an unknown kind. Raises StreamError if the event can't be used."""
        try:
            if (membership := update.membership) is not None:
                endpoints = [self._endpoint(record) for record in membership.members]
                return MembershipChange(membership.complete, membership.version, endpoints)
            if (purge := update.purge) is not None:
                object_id = None if purge.key is None else object_number(purge.key)
                return Purge(object_id, purge.group or 0, purge.unix_ms * 1000)
        except (ValueError, KeyError) as error:
            raise StreamError(f"event can't be used: {error}") from None
        return None

    def _endpoint(self, record: EndpointRecord) -> Endpoint:
        state = MEMBER_STATES[record.phase]
        # A member that has left needs no address; a member of an unnamed zone or kind takes no part in routing.
        address = split_address(record.address) if state is not MemberState.GONE else ("", 0)
        member = Member(
            server=server_number(record.name),
            weight=record.weight,
            cell=record.cell,
            zone=self._zones.get(record.zone, UNKNOWN_ZONE),
            started_us=record.started_ms * 1000,
            state=state,
            kind=self._kinds.get(record.kind, UNKNOWN_KIND),
        )
        return Endpoint(member, record.name, address)
