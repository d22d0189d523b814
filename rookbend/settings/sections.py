"""The sections of the operators' settings, and their defaults. Times are in microseconds, sizes in bytes."""

from __future__ import annotations

import msgspec

from rookbend.settings.reader import SourceLocation

SECOND_US = 1_000_000
MINUTE_US = 60 * SECOND_US
DEFAULT_LOCATION = SourceLocation("", 0)  # of a section that is not read from a file
MAX_DEFAULT_VOTERS = 5


class Log(msgspec.Struct, frozen=True):
    """[log]: `format` is text (key=value) or json."""

    format: str = "text"
    level: str = "info"
    burst: int = 20  # lines of one event at once, and as many again in `per_us`
    per_us: int = 10 * SECOND_US


class Dns(msgspec.Struct, frozen=True):
    """[dns]: the DNS front; `box_name` is a member's DNS name, with `{id}` for its id."""

    listen: tuple[str, int]
    zone: str = "route.example.org"
    box_name: str = "{id}.example.org"
    resolver: tuple[str, int] = ("127.0.0.1", 53)
    budget_us: int = 3 * SECOND_US


class Server(msgspec.Struct, frozen=True):
    """[agent-server], [http-server], [grpc-server]: a server of this director's status for balancers in front."""

    listen: tuple[str, int]


class Headroom(msgspec.Struct, frozen=True):
    """[headroom]: how spare capacity becomes the weight reported to balancers in front."""

    lag_us: int = 250_000  # event loop lag at which no capacity is left
    step: float = 0.1
    rise_us: int = 2 * SECOND_US  # for which capacity must be spare before the weight rises by a step
    least: float = 0.1  # the lowest weight while ready, since balancers take 0% for a drain


class Admin(msgspec.Struct, frozen=True):
    """[admin]: the admin API."""

    listen: tuple[str, int]
    metrics: bool = False


class Background(msgspec.Struct, frozen=True):
    """[background]: the budgets of background work."""

    rate: int = 500  # job starts per second, all kinds together
    running: int = 64
    descriptors: int = 64
    watches: int = 256  # long-lived jobs, one descriptor each


class Health(msgspec.Struct, frozen=True):
    """[health]: how results of checks and of requests become a member's state and weight."""

    max_out: float = 0.5
    panic_hold_us: int = 5 * SECOND_US
    hold_us: int = 2 * SECOND_US
    hold_most_us: int = 2 * MINUTE_US
    flap_window_us: int = MINUTE_US
    slow_start_us: int = -1  # -1: the platform's warm-up time of the tier
    start_at: float = -1.0  # -1: the platform's initial capacity of the tier
    passive_fall: int = 10
    passive_hold_us: int = 5 * SECOND_US
    weigh: str = "caches"


class Check(msgspec.Struct, frozen=True):
    """[check NAME]: one health check of each member of a tier."""

    name: str
    type: str
    port: int = 0  # 0: the port that the membership names
    tier: str = "cache"
    interval_us: int = 2 * SECOND_US
    fast_us: int = 500_000
    down_us: int = 5 * SECOND_US
    answer_by_us: int = SECOND_US  # after the start of the connect
    rise: int = 2
    fall: int = 3
    stale_us: int = 10 * SECOND_US
    most_bytes: int = 16 << 10
    send: str = ""
    method: str = "GET"
    path: str = "/health"
    host: str = ""
    expect_status: tuple[tuple[int, int], ...] = ((200, 299),)
    expect_body: str = ""
    service: str = ""
    proxy: str = "no"
    location: SourceLocation = DEFAULT_LOCATION


class State(msgspec.Struct, frozen=True):
    """[state]: where a director persists its state, in a folder of its own."""

    folder: str
    fleet: str = "rookbend"
    most: int = 16 << 20  # bytes in memory, and approximately on disk


class Recovery(msgspec.Struct, frozen=True):
    """[recovery]: recovery from failures. Rates are the whole fleet's requests per second to the origin."""

    peers: bool = True
    fleet: str = "rookbend"
    ready_share: float = 0.5
    ready_by_us: int = 5 * SECOND_US
    full_by_us: int = 30 * SECOND_US
    first_rate: int = 40
    full_rate: int = 400
    location: SourceLocation = DEFAULT_LOCATION


class Ownership(msgspec.Struct, frozen=True):
    """[ownership]: work that one director does for the fleet. `voters` are indices in `peers`; none stands for
    `default_voters`."""

    voters: tuple[int, ...] = ()
    lease_us: int = 3 * SECOND_US
    drift: float = 0.02  # the fraction by which a clock may run fast or slow
    round_trip_us: int = 200_000
    shards: int = 8  # into which the members are divided for checks
    report_ledger: tuple[str, int] | None = None
    report_file: str = ""
    report_every_us: int = MINUTE_US
    location: SourceLocation = DEFAULT_LOCATION


class Settings(msgspec.Struct, frozen=True):
    """All of the operators' settings; a component whose field is None is disabled."""

    log: Log = Log()
    dns: Dns | None = None
    agent_server: Server | None = None
    http_server: Server | None = None
    grpc_server: Server | None = None
    headroom: Headroom = Headroom()
    admin: Admin | None = None
    background: Background = Background()
    state: State | None = None
    recovery: Recovery | None = None
    ownership: Ownership | None = None
    health: Health | None = None
    checks: tuple[Check, ...] = ()


def default_voters(directors: int) -> tuple[int, ...]:
    """The first five directors, or three if there are fewer than five, or one if there are fewer than three."""
    if directors >= MAX_DEFAULT_VOTERS:
        return tuple(range(MAX_DEFAULT_VOTERS))
    return tuple(range(3 if directors >= 3 else 1))
