"""The requests of the cluster's clients, and the connections on which the front sends them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

import trio


@dataclass(slots=True)
class ClientRequest:
    """A client's request over all its tries."""

    class_index: int
    key: str
    part: int
    arrival_us: int
    tries: int = 0
    directors: list[str] = field(default_factory=list)  # by try
    verdicts: list[str] = field(default_factory=list)
    served_us: int = 0


class OpenRequest(NamedTuple):
    """A request that was sent and is not answered yet."""

    rid: str
    request: ClientRequest
    sent_us: int


class LostRequest(NamedTuple):
    """A request whose connection ended before its answer arrived."""

    director: str
    sent_us: int
    lost_us: int


class FrontConnection:
    """One connection of the front to a director."""

    def __init__(self, stream: trio.SocketStream):
        self.stream = stream
        self.open: dict[int, OpenRequest] = {}  # by stream number
        self.last_stream = 0
        self.closing = False  # the director accepts no new request on it
        self.queue: deque[bytes] = deque()
        self.data_queued = trio.Event()

    def write(self, data: bytes) -> None:
        self.queue.append(data)
        self.data_queued.set()


class Target:
    """The front's view of a director."""

    def __init__(self, name: str, address: tuple[str, int]):
        self.name, self.address = name, address
        self.admitted, self.connections = False, []
        self.nursery: trio.Nursery | None = None  # runs its connections while it is admitted
