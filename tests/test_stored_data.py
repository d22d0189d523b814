"""Files written by an earlier version are read by this one with the same values.

The files in `data/stored` were written by the code of commit abc9770: a state database with the rows of every kind that
simulated directors and the DNS front persisted, and the file that a process of a director leaves for its successor.
`expected.json` holds the values that this earlier version stored.
"""

import json
import shutil
from pathlib import Path

import msgspec
import pytest

from rookbend.leases import state as lease_state
from rookbend.operations import persisted_state
from rookbend.recovery import replicated_rows
from rookbend.recovery.actions import ApplyOrder, ApplyPurge, SetAdmissionLimits
from rookbend.recovery.config import RecoveryConfig, TrafficClassCost
from rookbend.recovery.issued_names import IssuedNames
from rookbend.recovery.machine import RecoveryMachine
from rookbend.recovery.state_validity import PersistedRow
from rookbend.state.disk import Disk
from rookbend.state.ledger import Ledger
from rookbend.state.model import KINDS, Identity

STORED = Path(__file__).parent / "data" / "stored"
EXPECTED = json.loads((STORED / "expected.json").read_text())
ROWS = [(kind, key, stored_us, bytes.fromhex(data), value) for kind, key, stored_us, data, value in EXPECTED["rows"]]
NOW = max(stored_us for _, _, stored_us, _, _ in ROWS) + 1


def values_of(kind):
    return {key: value for k, key, _, _, value in ROWS if k == kind}


@pytest.fixture
def disk(tmp_path):
    shutil.copy(STORED / "state.db", tmp_path / "state.db")
    disk = Disk(tmp_path, Identity(EXPECTED["name"], EXPECTED["fleet"]))
    yield disk
    disk.close()


@pytest.fixture
def persisted(disk):
    ledger = Ledger(1 << 20, disk.rows)
    return tuple(
        PersistedRow(kind, key, row.value, row.stored_us) for kind in KINDS for key, row in ledger.all(kind).items()
    )


def test_the_database_has_rows_of_every_kind_and_each_is_read_as_it_was_written(disk):
    assert {kind for kind, *_ in ROWS} == set(KINDS)
    assert disk.moved_aside == "" and disk.boot_number == EXPECTED["boot"] + 1
    found = {(kind, key): (row.stored_us, row.value) for (kind, key), row in disk.rows.items()}
    assert found == {(kind, key): (stored_us, data) for kind, key, stored_us, data, _ in ROWS}


def test_the_file_for_the_successor_is_read_and_encoded_to_the_same_bytes():
    data = (STORED / "rookbend.n0.kept").read_bytes()
    state = persisted_state.decode(data, "n0")
    assert state.excluded == EXPECTED["kept"]["out"] and state.included_us == EXPECTED["kept"]["back_us"]
    assert persisted_state.encode(state) == data


def test_replicated_rows_hold_the_same_values_and_are_encoded_to_the_same_bytes():
    checked = 0
    for rows in replicated_rows.ReplicatedState().by_name.values():
        for kind, key, _, data, value in ROWS:
            if kind == rows.kind.name:
                assert rows.put(key, data)
                found = rows.get(key)
                assert (list(found) if isinstance(found, tuple) else found) == value
                assert replicated_rows.encode_value(found) == data
                checked += 1
    assert checked == len(values_of("order")) + len(values_of("purge")) + len(values_of("drain")) == 8


def test_recovery_restores_all_of_its_rows(persisted):
    classes = (TrafficClassCost(True, 8.0, 1.0), TrafficClassCost(False, 1.0, 1.0))
    # The age of the oldest purge, so that every purge is still valid.
    propagation_us = NOW - min(values_of("purge").values()) * 1000
    config = RecoveryConfig(0, 3, "sim", 7, classes, 0, 1, 2, propagation_us)
    recovery = RecoveryMachine(config, NOW, EXPECTED["boot"] + 1, 5, persisted)
    actions = recovery.begin(NOW)
    orders = values_of("order")
    assert [a for a in actions if isinstance(a, ApplyOrder)] == [
        ApplyOrder(key.split("/")[1], order, by) for key, (order, by, _) in orders.items() if key.startswith("0/")
    ]
    assert {key: list(recovery.rows.orders.get(key)) for key in recovery.rows.orders.rows} == orders
    purges = [a.purge for a in actions if isinstance(a, ApplyPurge)]
    assert {(p.object_id, p.group, p.unix_us // 1000) for p in purges} == {
        (None, 17, values_of("purge")["g 17"]),
        (0xFEDCBA98, 0, values_of("purge")["o fedcba98"]),
    }
    assert {name: list(recovery.rows.drains.get(name)) for name in recovery.rows.drains.rows} == values_of("drain")
    assert recovery.membership.drained_since_us == {key: at for kind, key, at, _, _ in ROWS if kind == "drain"}
    boot_numbers = {str(number): peer.boot_number for number, peer in recovery.peers.rows.items()}
    assert boot_numbers == values_of("peer")
    # The ramp starts at half of the rate that the origin sustained.
    assert recovery.ramp.fleet_rate == values_of("hint")["origin"] / 2
    assert len([a for a in actions if isinstance(a, SetAdmissionLimits)]) == 1


def test_issued_names_are_restored(persisted):
    rows = {row.key: (row.value, row.stored_us) for row in persisted if row.kind == "write"}
    names = IssuedNames(NOW, lambda *_: None, lambda request_id: None, rows)
    found = {key: list(msgspec.structs.astuple(names.find(key))) for key in names.restored}
    assert found == values_of("write") and names.unreadable == 0


def test_leases_restore_all_of_their_rows_and_encode_them_to_the_same_bytes(persisted):
    rows = {(row.kind, row.key): row.value for row in persisted if row.kind in lease_state.ROW_KINDS}
    state = lease_state.restore((kind, key, value) for (kind, key), value in rows.items())
    grants, tokens, log = values_of("promise"), values_of("token"), values_of("log")
    assert {str(scope): [*grant.holder, grant.token] for scope, grant in state.grants.items()} == grants
    assert {str(scope): token for scope, token in state.tokens.items()} == tokens
    assert state.committed == log.pop("stands") and state.has_log
    entries = {key: [*entry[:-1], list(entry.origin)] for key, entry in zip(log, state.entries.values(), strict=True)}
    assert entries == log
    written = [lease_state.grant_row(scope, grant) for scope, grant in state.grants.items()]
    written += [lease_state.token_row(scope, token) for scope, token in state.tokens.items()]
    written += [lease_state.entry_row(entry) for entry in state.entries.values()]
    written.append(lease_state.committed_row(state.committed))
    assert {(row.kind, row.key): row.value for row in written} == rows
