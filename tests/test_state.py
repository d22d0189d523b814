"""Durable state: confirmed changes survive any crash, and a state folder that can't be used is refused."""

import apsw
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from rookbend.state import disk as disk_module
from rookbend.state.disk import Disk
from rookbend.state.ledger import RETRY_US, Ledger
from rookbend.state.model import KINDS, Identity, Row, StateError
from rookbend.testing.cluster import disk as faults

ME = Identity("n0", "fleet")


class LedgerMachine(RuleBasedStateMachine):
    """A disk that accepts or refuses each batch, and power losses at any moment. Each value is a unique number that
    identifies its change."""

    @initialize()
    def begin(self):
        self.disk, self.now, self.number = {}, 1, 0
        self.confirmed, self.refused, self.drops = {}, set(), {}  # key: number; values; key: last drop
        self.ledger = Ledger(100_000)

    def on_outcome(self, key, number):
        def done(durable):
            if durable:
                self.confirmed[key] = max(number, self.confirmed.get(key, 0))
            else:
                self.refused.add(number)

        return done

    @rule(key=st.sampled_from("abc"), awaited=st.booleans())
    def put(self, key, awaited):
        self.now, self.number = self.now + 1, self.number + 1
        self.ledger.put(
            self.now, "order", key, b"%d" % self.number, self.on_outcome(key, self.number) if awaited else None
        )

    @rule(key=st.sampled_from("abc"))
    def drop(self, key):
        self.number += 1
        number, record = self.number, self.on_outcome(key, self.number)

        def done(durable):
            record(durable)
            if durable:
                self.drops[key] = number

        self.ledger.drop("order", key, done)

    @rule(refused=st.booleans())
    def write(self, refused):
        self.now += RETRY_US
        batch = self.ledger.take(self.now)
        if batch is not None:
            self.end(batch, refused)

    @rule(refused=st.booleans(), key=st.sampled_from("abc"), awaited=st.booleans())
    def write_during_another_change(self, refused, key, awaited):
        self.now += RETRY_US
        batch = self.ledger.take(self.now)
        self.put(key, awaited)
        if batch is not None:
            self.end(batch, refused)

    def end(self, batch, refused):
        if not refused:
            self.disk.update(batch.changes)
        self.ledger.ended(self.now, batch.number, "disk full" if refused else "")

    @rule()
    def lose_power(self):
        self.ledger = Ledger(100_000, {k: row for k, row in self.disk.items() if row is not None})

    @invariant()
    def a_confirmed_or_later_change_is_on_the_disk(self):
        for key, number in self.confirmed.items():
            row = self.disk.get(("order", key))
            found = int(row.value) if row is not None else self.drops.get(key, 0)
            assert found >= number, (key, number, row)

    @invariant()
    def a_refused_change_is_neither_in_memory_nor_on_disk(self):
        rows = [*self.ledger.all("order").values(), *filter(None, self.disk.values())]
        assert not self.refused & {int(row.value) for row in rows}

    @invariant()
    def bytes_are_the_sum_of_the_rows(self):
        rows = self.ledger.rows.values()
        assert self.ledger.bytes == sum(row.size + len(key) for kind in rows for key, row in kind.items())


LedgerMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestLedger = LedgerMachine.TestCase


def committed(ledger, now, fault=""):
    batch = ledger.take(now)
    ledger.ended(now, batch.number, fault)
    return batch


def test_changes_made_while_a_batch_is_in_flight_form_one_batch():
    ledger, outcomes = Ledger(1 << 20), []
    ledger.put(1, "order", "a", b"1", outcomes.append)
    batch = ledger.take(1)
    for i in range(50):
        ledger.put(2, "order", f"k{i}", b"2", outcomes.append)
    assert ledger.take(2) is None and outcomes == []
    ledger.ended(3, batch.number)
    assert outcomes == [True] and len(ledger.take(3).changes) == 50


def test_a_refused_change_is_undone_if_awaited_and_retried_otherwise():
    ledger, outcomes = Ledger(1 << 20), []
    ledger.put(1, "order", "a", b"old", outcomes.append)
    committed(ledger, 1)
    ledger.put(2, "order", "a", b"new", outcomes.append)
    ledger.put(2, "purge", "p", b"x")
    committed(ledger, 2, "disk full")
    assert outcomes == [True, False] and ledger.get("order", "a").value == b"old" and ledger.degraded
    assert ledger.get("purge", "p") and ledger.take(3) is None and ledger.due_us() == 2 + RETRY_US
    retried = committed(ledger, 2 + RETRY_US)
    assert retried.changes["purge", "p"].value == b"x" and retried.changes["order", "a"].value == b"old"
    assert not ledger.degraded


def test_rows_and_bytes_are_bounded_and_kinds_marked_evict_first_are_evicted_first():
    ledger = Ledger(64 << 10)
    for i in range(3 * KINDS["token"].max_rows):
        ledger.put(i, "token", f"t{i}", b"x" * 8)
    assert len(ledger.all("token")) <= KINDS["token"].max_rows and ledger.bytes <= 64 << 10
    ledger = Ledger(64 << 10)
    ledger.put(1, "order", "kept", b"x")
    for i in range(2000):
        ledger.put(i + 2, "hint", f"h{i}", b"x" * 100)
    assert ledger.get("order", "kept") and ledger.bytes <= 64 << 10
    assert ledger.get("hint", "h1999") and not ledger.get("hint", "h0")


# The database on disk


def persist(folder, **rows):
    disk = Disk(folder, ME)
    ledger = Ledger(1 << 20, disk.rows)
    for key, value in rows.items():
        ledger.put(1, "order", key, value)
    batch = ledger.take(1)
    assert batch is None or disk.write(batch) == ""
    disk.close()
    return disk.boot_number


def read(folder):
    disk = Disk(folder, ME)
    disk.close()
    return {key: row.value for (kind, key), row in disk.rows.items()}, disk


def test_rows_and_a_growing_boot_number_survive_a_restart(tmp_path):
    assert persist(tmp_path, a=b"1") == 1
    assert persist(tmp_path, b=b"2") == 2
    rows, disk = read(tmp_path)
    assert rows == {"a": b"1", "b": b"2"} and disk.boot_number == 3 and not disk.moved_aside


def test_every_pragma_of_the_database_is_in_force(tmp_path):
    # Guards against pragmas that are listed but not run: durability would then depend on the defaults of SQLite.
    disk = Disk(tmp_path, ME)
    in_force = [
        disk._db.execute(f"PRAGMA {name}").fetchone()[0] for name in ("locking_mode", "journal_mode", "synchronous")
    ]
    disk.close()
    assert in_force == ["exclusive", "wal", 2]


@pytest.mark.parametrize(
    "identity, fault",
    [
        (Identity("n1", "fleet"), "is of director 'n0', not 'n1'"),
        (Identity("n0", "other"), "is of fleet 'fleet', not 'other'"),
    ],
)
def test_a_folder_of_another_director_or_fleet_is_refused(tmp_path, identity, fault):
    persist(tmp_path)
    with pytest.raises(StateError, match=fault):
        Disk(tmp_path, identity)
    assert read(tmp_path)[1].boot_number == 2, "a refused start takes no boot number"


def test_a_folder_in_use_and_one_of_a_newer_schema_are_refused(tmp_path, monkeypatch):
    held = Disk(tmp_path, ME)
    with pytest.raises(StateError, match="in use by another process"):
        Disk(tmp_path, ME)
    held.close()
    monkeypatch.setattr(disk_module, "SCHEMA", 7)
    monkeypatch.setattr(disk_module, "MIGRATIONS", dict.fromkeys(range(1, 7), "CREATE TABLE IF NOT EXISTS x(y)"))
    assert read(tmp_path)[1].boot_number == 2, "migrated"
    monkeypatch.undo()
    with pytest.raises(StateError, match="schema 7, newer than 1"):
        Disk(tmp_path, ME)


@pytest.mark.parametrize(
    "spoil", [faults.corrupt_database, lambda folder: (folder / "state.db").write_bytes(b"no database" * 500)]
)
def test_a_damaged_file_is_moved_aside_and_the_start_continues(tmp_path, spoil):
    persist(tmp_path, a=b"1")
    spoil(tmp_path)
    rows, disk = read(tmp_path)
    assert rows == {} and disk.boot_number == 1 and disk.moved_aside.startswith("state.db.damaged-1: ")
    assert (tmp_path / "state.db.damaged-1").exists()


def test_a_folder_that_can_not_be_written_is_refused(tmp_path):
    (tmp_path / "file").write_text("x")
    with pytest.raises(StateError, match="can't be used"):
        Disk(tmp_path / "file" / "state", ME)


def test_apsw_is_installed():
    assert apsw.sqlite_lib_version() and Row(b"", 1).size == 64
