"""Names issued for writes are persisted before the write runs and before the reply is sent, and restored at a start."""

import dns.rcode

from rookbend.recovery.issued_names import IssuedName, IssuedNames

HOUR = 3_600_000_000
NOW = 1_764_576_000_000_000
ISSUED = IssuedName("r1.example.org.", 0, 7, "records.example.org", "127.0.0.31", "")


class Disk:
    """A disk whose pending rows become durable, or fail, when the test calls `sync`."""

    def __init__(self, rows=()):
        self.rows, self.waiting = dict(rows), []

    def put(self, rid, value, by_us, done):
        self.waiting.append((rid, value, done))

    def drop(self, rid):
        self.rows.pop(rid, None)

    def sync(self, durable=True):
        waiting, self.waiting = self.waiting, []
        for rid, value, done in waiting:
            if durable:
                self.rows[rid] = value, NOW
            done(durable)

    def names(self, now=NOW):
        return IssuedNames(now, self.put, self.drop, dict(self.rows))


def test_a_write_waits_for_durability_and_the_next_incarnation_finds_each_step():
    disk, events = Disk(), []
    names = disk.names()
    names.persist_in_doubt("1", ISSUED.lookup, 0, lambda: events.append("runs"))
    assert not events
    disk.sync()
    assert events == ["runs"]
    found = disk.names().find("1")
    assert found.lookup == ISSUED.lookup and found.rcode == dns.rcode.SERVFAIL and "under way" in found.note
    names.persist("1", ISSUED, 0, lambda: events.append("given"))
    assert events == ["runs"]
    disk.sync()
    assert events == ["runs", "given"] and disk.names().find("1") == ISSUED and names.not_durable == 0


def test_a_failed_write_to_disk_does_not_block_the_reply_and_is_counted():
    disk, events = Disk(), []
    names = disk.names()
    names.persist("1", ISSUED, 0, lambda: events.append("given"))
    disk.sync(durable=False)
    assert events == ["given"] and names.not_durable == 1 and disk.names().find("1") is None


def test_expired_and_unreadable_rows_are_dropped():
    disk = Disk({"old": (b"\x90", NOW - 2 * HOUR), "bad": (b"\xff\xfe", NOW), "short": (b"\x91\xa1x", NOW)})
    names = disk.names()
    assert not names.restored and not disk.rows and names.unreadable == 2
