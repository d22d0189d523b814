"""What an attempt's end tells, whose fault it was, and what becomes of its request."""

from rookbend import interface as api
from rookbend.interface import AttemptDetail, AttemptStatus, Idempotency
from rookbend.routing.membership import mix
from rookbend.routing.outlier_detection import ERROR_SPAN

HIT_DELAY, SLOW_FROM = 0.1, 1.5  # slow: hits take over this multiple of sending time and share of aim
ERRORS_ITS_OWN = 3  # servers that err on a request before it, not they, is at fault
FULL_PAUSE = 0.5  # passed over after turning one away; a write's first pause: connect time-outs
LATE_AT, FILL_TAKES = 0.8, 2.5  # a fill is late from this share of its aim; takes so many sending times
LATE_SPAN = 24  # answers over which those shares are taken
SPREAD = 0.5  # and the least share of a wait


class Outcomes:  # the part of Router that hears how attempts end
    def on_finished(self, event):
        f = self.flights.pop((event.request, event.attempt), None)
        if f is None:
            return
        r = f.request
        self.health.get(f.server).out -= 1
        if f.fills:
            self.health.get(f.source).filling -= 1
            if not r.write:
                self.limit.out -= 1
        self.read_report(f.server, event.load_report)
        if not r.write:
            self.watch_fills(f, event)
        self.blame(f, event)
        if r.flight is f:
            r.flight = None
        if event.status in api.NEVER_EXECUTED and r.ran_at == f.sent:
            r.ran_at = r.ran_on = None
        if event.status is AttemptStatus.OK:
            self.learn(r, f, event)
        self.finish(r, f, event)
        waiting = () if event.status is AttemptStatus.FULL else self.waiting  # a refused place is none for others
        fitting = [w for w in waiting if self.in_time(w)] if self.limit.has_place(self.now) else ()
        if fitting:
            self.release(fitting)

    def watch_fills(self, f, event):
        """A time-out counts for nothing here: the answer may be lost, and the fill in time."""
        r, shares = f.request, self.limit.late
        due = LATE_AT * (r.cls.latency_objective_us + r.cls.latency_objective_stretch * r.work)
        late = event.elapsed_us > due
        if event.detail in shares:
            shares[event.detail] += (late - shares[event.detail]) / LATE_SPAN
        if f.fills and event.status is AttemptStatus.OK and event.detail is not AttemptDetail.HIT:
            self.limit.observe(event.elapsed_us - event.fill_queue_us > due)  # the wait is the source's
        elif (
            f.fills
            and event.status is AttemptStatus.FULL
            and event.detail in (AttemptDetail.NONE, AttemptDetail.NO_FILL_PLACE)
        ):
            self.limit.observe(True)  # what fails behind the cache says nothing of the location's link

    def in_time(self, r):
        return r.id in self.open and r.flight is None and self.now + FILL_TAKES * r.work <= r.aim

    def queue_fill(self, r):
        """No place for a fill: wait while it can be on time, be answered the moment it can't."""
        if self.in_time(r):
            self.waiting.append(r)
            self.set_timer(r.aim - FILL_TAKES * r.work - self.now + 1, r)
        else:
            self.give_up(r)

    def finish(self, r, f, event):
        if r.id not in self.open or (r.flight is not None and not event.final):
            return
        if event.final:
            del self.open[r.id]
            self.served(r, f.server, f.source) if event.status is AttemptStatus.OK else self.pass_lead(r)
        elif self.origin_failed(f, event):
            # Asked on by all routers an overloaded origin stays down: reads are answered, writes pause.
            pause = FULL_PAUSE * self.s.connect_timeout_us * 2 ** (r.number - 1)
            if r.write and self.now + pause < r.aim:
                self.set_timer(pause, r)
            else:
                self.give_up(r)
        elif len(r.erred) >= ERRORS_ITS_OWN:
            self.fail(r)
        elif r.write:
            self.send_write(r)
        elif f.look and event.status is AttemptStatus.MISS:
            r.missed = True
            self.send(r, f.server)
        elif event.detail is AttemptDetail.SOURCE_LACKS:
            self.give_up(r)  # the parent has none, and the origin was to be spared
        elif r.leading:
            self.pass_lead(r)
            self.enter(r)
        else:
            self.send(r)

    def origin_failed(self, f, event):
        unmet = event.detail in (AttemptDetail.SOURCE_REFUSED, AttemptDetail.SOURCE_UNREACHABLE)
        return event.detail is AttemptDetail.ORIGIN_FAILED or (
            unmet and any(m.server == f.source for m in self.members.origins)
        )

    def read_report(self, server, load):
        if load and "inflight" in self.s.load_report_fields[: len(load)]:
            h = self.health.get(server)
            h.report = (self.now, load[self.s.load_report_fields.index("inflight")], h.out)

    def learn(self, r, f, event):
        if r.write:
            return r.stats.add(event.elapsed_us)
        sending = r.work if r.sized else event.elapsed_us
        self.memory.put(r.key, (f.server, self.now, sending))
        if event.detail is AttemptDetail.HIT:
            h, usual = self.health.get(f.server), SLOW_FROM * (r.work + HIT_DELAY * r.cls.latency_objective_us)
            h.slow += (event.elapsed_us / usual - h.slow) / ERROR_SPAN

    def blame(self, f, event):
        """Tells cache, source and origin apart by status, note and what else answers."""
        status, note, r = event.status, event.detail, f.request
        if status is AttemptStatus.CANCELLED:
            (r.tried if f.blamed == f.server else r.bad_sources).add(f.blamed)
        if status in (AttemptStatus.MISS, AttemptStatus.FULL, AttemptStatus.ERROR):
            self.health.alive(f.server, self.now)  # it answers: what is slow or fails lies behind it
        if status in (AttemptStatus.CANCELLED, AttemptStatus.MOOT, AttemptStatus.MISS):
            return
        if status is AttemptStatus.OK:
            for server in r.erred:  # served elsewhere: it was they who failed
                self.health.failure(server, self.now)
            r.erred.clear()
            self.health.success(f.server, self.now)
            if f.source is not None and note in (AttemptDetail.FILLED, AttemptDetail.ORIGIN_ASKED):
                self.health.success(f.source, self.now)
        elif note in (
            AttemptDetail.SOURCE_REFUSED,
            AttemptDetail.SOURCE_UNREACHABLE,
            AttemptDetail.SOURCE_LACKS,
            AttemptDetail.ORIGIN_FAILED,
        ):
            r.bad_sources.add(f.source)
            if self.origin_failed(f, event):
                self.limit.failed = self.now
            if f.source is not None and note in (AttemptDetail.SOURCE_REFUSED, AttemptDetail.SOURCE_UNREACHABLE):
                self.health.failure(f.source, self.now)
        elif status is AttemptStatus.FULL or note is AttemptDetail.NO_FILL_PLACE:
            self.health.get(f.server).full_until = self.now + FULL_PAUSE * self.s.connect_timeout_us
            r.tried.add(f.server)
        elif status is AttemptStatus.ERROR:
            # Guards those who answer: a client's request that nobody can use errs everywhere.
            r.tried.add(f.server)
            r.erred.append(f.server)
        else:
            self.unanswered(f, r, status)

    def unanswered(self, f, r, status):
        if status is AttemptStatus.RESET and not r.resets:
            r.resets = 1  # one connection broke, maybe with the answer: that cache holds it by now
        else:
            r.tried.add(f.server)
        if status is AttemptStatus.TIMEOUT:
            r.timeouts += 1
            if f.timeout < r.work or self.health.get(f.server).last_ok >= f.sent:
                return  # not to be sent in that time, or it answered others: no fault of this server
        self.health.failure(f.server, self.now)

    def on_cancelled(self, event):
        r = self.open.pop(event.request, None)
        if r is not None:
            self.forget(r)

    def forget(self, r):
        if r in self.waiting:
            self.waiting.remove(r)
        if r.leading:
            self.pass_lead(r)
        elif r.mark is not None and r in r.mark.waiters:
            r.mark.waiters.remove(r)
        r.mark = None

    def fail(self, r):
        """The final answer where another try would end no better."""
        self.open.pop(r.id, None)
        self.out.append(api.Fail(r.id))
        self.forget(r)

    def give_up(self, r):
        """The final answer, at once. A refusal tells the client that another try is harmless."""
        self.open.pop(r.id, None)
        repeatable = r.cls.idempotency is Idempotency.IDEMPOTENCY_KEY and r.cls.retry_scope == "all"
        harmless = r.cls.idempotency is Idempotency.IDEMPOTENT or r.ran_at is None or repeatable
        refuse, wait = harmless and self.s.allows_retry_after, self.s.max_retry_after_us
        if self.closed or self.limit.per_s is not None:  # refused together, not to come back together
            wait = int(wait * (SPREAD + (1 - SPREAD) * (mix(self.seed ^ r.id) % 1024) / 1024))
        self.out.append(api.Reject(r.id, wait) if refuse else api.Fail(r.id))
        self.forget(r)
