"""Clients behind a front that admits only ready directors and notices the end of one only after seconds.

Arrivals are open-loop: each request is sent when it is due, independent of earlier ones. Objects follow a Zipf
distribution. A refused client retries after the back-off in the answer; after a broken connection it retries at
any admitted director. A retry has a new request id, as the protocol requires, and counts towards the first try.
"""

from __future__ import annotations

import random

import trio

from rookbend.testing.cluster.admission_probe import check_open, check_ready
from rookbend.testing.cluster.record import Record, now_us
from rookbend.testing.cluster.relay import reset
from rookbend.testing.cluster.shared_state import digest, group_of
from rookbend.testing.cluster.traffic_classes import TRAFFIC_CLASSES, TrafficClass
from rookbend.testing.cluster.workload import ClientRequest, FrontConnection, LostRequest, OpenRequest, Target
from rookbend.testing.invariant_events import ClientClosed, RequestSent, ResponseReceived
from rookbend.testing.open_loop_client import decode_answer, encode_frame
from rookbend.testing.weighted_score import RequestOutcome, earned_weight

CONNECTION_ERRORS = OSError, trio.BrokenResourceError, trio.ClosedResourceError
VERDICTS = {0: "served", 14: "refused", 2: "failed"}
CONNECTIONS = 4  # from the front to one director
MAX_STREAMS = 32  # open requests on one connection, the protocol's limit
CLOSING_FRAME = 3  # type of the frame that announces: no new requests on this connection
MAX_TRIES = 3
MIN_BACKOFF_S = 0.05
ADMISSION_RETRY_S = 0.05  # pause between two probes of a director that is not ready


class Front:
    def __init__(
        self,
        record: Record,
        seed: int,
        rate: float,
        objects: int = 400,
        notice_s: float = 2.0,
        traffic_classes: tuple[TrafficClass, ...] = TRAFFIC_CLASSES,
    ):
        self.record, self.rate, self.traffic_classes, self.notice_s = record, rate, traffic_classes, notice_s
        self.random = random.Random(f"{seed} clients")
        self.object_names = [f"{self.random.getrandbits(64):016x}" for _ in range(objects)]
        weights = [1 / (n + 1) for n in range(objects)]
        total = sum(weights)
        self.weights = [w / total for w in weights]
        self.targets: dict[str, Target] = {}
        self.requests: list[ClientRequest] = []
        self.late_s = 0.0  # the longest delay of a request behind its due time, caused by a busy machine
        self.lost: list[LostRequest] = []
        self.asks_readiness = True  # else a director is admitted once it accepts a connection
        self.honors_closing = True  # send no new request on a connection after its closing frame
        self.unsent = 0  # tries without an admitted director
        self.changed = trio.Event()  # set at each answer, admission and lost connection
        self._rid = 0
        self._retries: trio.Nursery | None = None
        self.running = trio.CancelScope()

    def add(self, name: str, address: tuple[str, int], nursery: trio.Nursery) -> None:
        target = self.targets[name] = Target(name, address)
        nursery.start_soon(self._admit_when_ready, target)

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    # Admission

    async def _admit_when_ready(self, target: Target) -> None:
        """Probes a director until it is ready, then keeps connections to it until they break."""
        while True:
            try:
                stream = await trio.open_tcp_stream(*target.address)
                async with stream:
                    await (check_ready(stream) if self.asks_readiness else check_open(stream))
                target.admitted = True
                self.record.note("admitted", target.name)
                self._notify()
                async with trio.open_nursery() as target.nursery:
                    for _ in range(CONNECTIONS):
                        target.nursery.start_soon(self._run_connection, target)
            except* CONNECTION_ERRORS:
                pass
            if target.admitted:
                # The front keeps choosing the director until it notices the loss.
                self.record.note("lost", target.name)
                await trio.sleep(self.notice_s)
                target.admitted = False
            await trio.sleep(ADMISSION_RETRY_S)

    def drop_connections(self, name: str) -> None:
        """Resets all connections to a director whose machine has vanished; their open requests are lost."""
        for conn in list(self.targets[name].connections):
            reset(conn.stream)

    async def _run_connection(self, target: Target) -> None:
        stream = await trio.open_tcp_stream(*target.address)
        conn = FrontConnection(stream)
        target.connections.append(conn)
        try:
            async with stream, trio.open_nursery() as nursery:
                nursery.start_soon(self._write, conn)
                await self._read(target, conn)
                nursery.cancel_scope.cancel()
        except* CONNECTION_ERRORS:
            pass
        finally:
            target.connections.remove(conn)
            for rid, req, sent_us in conn.open.values():
                self.lost.append(LostRequest(target.name, sent_us, now_us()))
                # The process or the link to it is gone, so an unanswered request violates no invariant.
                self.record.feed(ClientClosed(now_us(), rid))
                req.verdicts.append("lost")
                self._schedule_retry(req, 0.1)
            conn.open.clear()
            self._notify()

    async def _write(self, conn: FrontConnection) -> None:
        while True:
            while conn.queue:
                await conn.stream.send_all(conn.queue.popleft())
            conn.data_queued = trio.Event()
            await conn.data_queued.wait()

    async def _read(self, target: Target, conn: FrontConnection) -> None:
        data = b""
        async for more in conn.stream:
            data += more
            while len(data) >= 4 and len(data) >= 4 + (size := int.from_bytes(data[:4], "big")):
                if data[4] == CLOSING_FRAME and self.honors_closing and not conn.closing:
                    conn.closing = True  # the next request uses a new connection
                    target.nursery.start_soon(self._run_connection, target)
                self._handle_answer(conn, data[4 : 4 + size])
                data = data[4 + size :]
            if conn.closing and not conn.open:
                return

    def _handle_answer(self, conn: FrontConnection, data: bytes) -> None:
        if data[0] != 8:
            return  # 3, the closing frame: handled by `_read`
        stream, verdict = int.from_bytes(data[1:5], "big"), VERDICTS.get(data[5], "failed")
        rid, req, _ = conn.open.pop(stream, ("", None, 0))
        fields, body = decode_answer(data)
        self.record.feed(ResponseReceived(now_us(), rid or f"stream {stream}", verdict, digest(body) if body else ""))
        self.record.note("answer", verdict)
        if req is None:
            return
        req.verdicts.append(verdict)
        if verdict == "served":
            req.served_us = now_us()
        elif verdict == "refused":
            self._schedule_retry(req, int(fields.get("backoff", 0)) / 1000)
        self._notify()

    # Requests

    def _schedule_retry(self, req: ClientRequest, after_s: float) -> None:
        if req.tries < MAX_TRIES and self._retries is not None and not self.running.cancel_called:
            self._retries.start_soon(self._retry, req, max(after_s, MIN_BACKOFF_S))

    async def _retry(self, req: ClientRequest, after_s: float) -> None:
        await trio.sleep(after_s)
        self._send(req)

    def _send(self, req: ClientRequest) -> None:
        kind = self.traffic_classes[req.class_index]
        req.tries += 1
        admitted = [t for t in self.targets.values() if t.admitted]
        if not admitted:
            self.unsent += 1
            return self._schedule_retry(req, 0.5)
        target = self.random.choice(admitted)
        req.directors.append(target.name)
        usable = [conn for conn in target.connections if len(conn.open) < MAX_STREAMS and not conn.closing]
        if not usable:
            req.verdicts.append("unsent")  # the director is gone and not noticed yet, or its connections are full
            return self._schedule_retry(req, 0.5)
        conn = min(usable, key=lambda held: len(held.open))
        self._rid += 1
        conn.last_stream += 1
        rid = f"{self.random.getrandbits(32):08x}{self._rid:08x}"
        fields = {
            "method": kind.objective.name,
            "rid": rid,
            "budget": str(kind.deadline_us // 1000),
            "obj": req.key,
            "chunk": str(req.part),
            "tag": str(group_of(req.key)),
        }
        if req.tries > 1:
            fields["again"] = "1"
        now = now_us()
        conn.open[conn.last_stream] = OpenRequest(rid, req, now)
        self.record.feed(
            RequestSent(
                now, rid, target.name, kind.write, now + kind.deadline_us, (req.key, req.part), group_of(req.key)
            )
        )
        conn.write(encode_frame(7, conn.last_stream, fields, b"form" if kind.write else b""))

    async def run(self) -> None:
        """Sends requests at the configured rate until `running` is cancelled."""
        due = trio.current_time()
        shares = [k.share for k in self.traffic_classes]
        with self.running:
            async with trio.open_nursery() as self._retries:
                await self._send_arrivals(due, shares)

    async def _send_arrivals(self, due: float, shares: list[float]) -> None:
        while True:
            due += self.random.expovariate(self.rate)
            await trio.sleep_until(due)
            self.late_s = max(self.late_s, trio.current_time() - due)
            class_index = self.random.choices(range(len(self.traffic_classes)), shares)[0]
            if self.traffic_classes[class_index].write:
                key = f"{self.random.getrandbits(64):016x}"  # every write has its own object
            else:
                key = self.random.choices(self.object_names, self.weights)[0]
            part = self.random.randrange(self.traffic_classes[class_index].parts)
            req = ClientRequest(class_index, key, part, now_us())
            self.requests.append(req)
            self._send(req)

    # Results

    @property
    def open_requests(self) -> int:
        """The number of requests that were sent and have no answer yet."""
        return sum(len(conn.open) for target in self.targets.values() for conn in target.connections)

    def outcomes(self, since_us: int = 0, until_us: int = 1 << 62) -> list[RequestOutcome]:
        return [
            RequestOutcome(w.arrival_us, w.class_index, w.served_us or None)
            for w in self.requests
            if since_us <= w.arrival_us < until_us
        ]

    def by_second(self, began_us: int, until_us: int = 1 << 62) -> dict[int, tuple[float, float]]:
        """Returns weight earned and weight requested, by the second of the request's arrival."""
        out: dict[int, tuple[float, float]] = {}
        for e in self.outcomes(began_us, until_us):
            second = (e.sent_us - began_us) // 1_000_000
            earned, requested = out.get(second, (0.0, 0.0))
            objective = self.traffic_classes[e.traffic_class].objective
            out[second] = earned + earned_weight(objective, e), requested + objective.priority_weight
        return out
