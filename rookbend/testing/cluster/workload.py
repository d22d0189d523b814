"""What clients of the stage want, and the connections on which their front asks for it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

import trio


@dataclass(slots=True)
class ClientRequest:
    """What a client wants, over all its tries."""

    class_index: int
    key: str
    part: int
    arrival_us: int
    tries: int = 0
    verdicts: list[str] = field(default_factory=list)
    served_us: int = 0


class OpenRequest(NamedTuple):
    """A request that was sent and has no answer yet."""

    rid: str
    request: ClientRequest
    sent_us: int


class LostRequest(NamedTuple):
    """A request whose connection ended before its answer came."""

    director: str
    sent_us: int
    lost_us: int


class FrontConnection:
    """One connection of the front to a director."""

    def __init__(self, stream: trio.SocketStream):
        self.stream = stream
        self.open: dict[int, OpenRequest] = {}  # by stream number
        self.last = 0
        self.closing = False  # the director takes nothing new on it
        self.queue: deque[bytes] = deque()
        self.wanted = trio.Event()

    def write(self, data: bytes) -> None:
        self.queue.append(data)
        self.wanted.set()


class Target:
    """A director as the front sees it."""

    def __init__(self, name: str, address: tuple[str, int]):
        self.name, self.address = name, address
        self.admitted, self.connections = False, []
        self.nursery: trio.Nursery | None = None  # of its connections, while it is admitted
