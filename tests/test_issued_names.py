"""Names given out for writes: kept before the write runs and before the reply goes out, found after a loss."""

import dns.rcode

from rookbend.recovery.issued_names import IssuedName, IssuedNames

HOUR = 3_600_000_000
NOW = 1_764_576_000_000_000
GIVEN = IssuedName("r1.example.org.", 0, 7, "records.example.org", "127.0.0.31", "")


class Disk:
    """Rows that are safe when the test says so."""

    def __init__(self, rows=()):
        self.rows, self.waiting = dict(rows), []

    def put(self, rid, value, by_us, done):
        self.waiting.append((rid, value, done))

    def drop(self, rid):
        self.rows.pop(rid, None)

    def sync(self, safe=True):
        waiting, self.waiting = self.waiting, []
        for rid, value, done in waiting:
            if safe:
                self.rows[rid] = value, NOW
            done(safe)

    def names(self, now=NOW):
        return IssuedNames(now, self.put, self.drop, dict(self.rows))


def test_nothing_goes_on_before_it_is_safe_and_a_life_after_it_knows_both_steps():
    disk, told = Disk(), []
    names = disk.names()
    names.persist_in_doubt("1", GIVEN.lookup, 0, lambda: told.append("runs"))
    assert not told
    disk.sync()
    assert told == ["runs"]
    found = disk.names().find("1")
    assert found.lookup == GIVEN.lookup and found.rcode == dns.rcode.SERVFAIL and "under way" in found.note
    names.persist("1", GIVEN, 0, lambda: told.append("given"))
    assert told == ["runs"]
    disk.sync()
    assert told == ["runs", "given"] and disk.names().find("1") == GIVEN and names.not_durable == 0


def test_a_disk_that_refuses_holds_nothing_up_and_is_counted():
    disk, told = Disk(), []
    names = disk.names()
    names.persist("1", GIVEN, 0, lambda: told.append("given"))
    disk.sync(safe=False)
    assert told == ["given"] and names.not_durable == 1 and disk.names().find("1") is None


def test_rows_that_are_too_old_or_can_t_be_read_are_dropped():
    disk = Disk({"old": (b"\x90", NOW - 2 * HOUR), "bad": (b"\xff\xfe", NOW), "short": (b"\x91\xa1x", NOW)})
    names = disk.names()
    assert not names.restored and not disk.rows and names.unreadable == 2
