"""The simulator's wire format: valid and malformed frames, and settings texts."""

import struct
import subprocess
import sys
from pathlib import Path

import pytest

from rookbend import interface as api
from rookbend import simulator_actions, simulator_codec, simulator_settings

ROOT = Path(__file__).parent.parent
SETTINGS = """\
lanes.count=1
lanes.0.name=media
lanes.0.aimUs=500000
lanes.0.hardLimitUs=6000000
lanes.0.effect=free
zone=1
siblings=2
invariants.startCapacity=0.2
invariants.warmUpUs=15000000
invariants.tipMultiple=2.0
invariants.fallUs=2000000
limits.maxAttempts=4
limits.maxOpen=1000
limits.connectTimeoutUs=400000
familyInfo.secondTierKind=1
familyInfo.sourceKind=2
familyInfo.somethingNew=7
"""


def start_record(instance, text=SETTINGS):
    data = text.encode()
    return struct.pack(">BIQI", 2, instance, 11, len(data)) + data


def membership_record(instance, rows):
    body = b"".join(struct.pack(">fIHHBQBH", w, a, p, 0, zone, 0, 1, kind) for w, a, p, zone, kind in rows)
    return struct.pack(">BIBQI", 4, instance, 1, 1, len(rows)) + body


def request_record(instance, request, item, deadline):
    return struct.pack(">BIIBIQQfffB", 6, instance, request, 0, 0, item, deadline, 10.0, 1.0, 0.0, 0)


def frame(now, number, *records):
    body = b"".join(records)
    return struct.pack(">QIII", now, 20 + len(body), len(records), number) + body


START = frame(
    10_000_000, 1, start_record(3), membership_record(3, [(4.0, 7, 80, 1, 0), (9.0, 8, 80, 0, 1), (1.0, 9, 80, 0, 2)])
)


def run(data):
    return subprocess.run(
        [sys.executable, "-m", "rookbend.simhost"], input=data, capture_output=True, cwd=ROOT, timeout=60
    )


def test_a_request_becomes_a_fetch_frame():
    done = run(START + frame(10_002_000, 2, request_record(3, 77, 5, 16_002_000)))
    assert done.returncode == 0 and done.stderr == b""
    assert done.stdout[:8] == struct.pack(">II", 8, 1)
    reply = done.stdout[8:]
    size, number = struct.unpack_from(">II", reply)
    assert (size, number) == (len(reply), 2)
    assert struct.pack(">BIIIH", 8, 3, 77, 7, 80) in reply and struct.pack(">IH", 8, 80) in reply


@pytest.mark.parametrize(
    "data",
    [
        START[:-3],
        START[:10],
        frame(1, 1, b"\xff" + bytes(8)),
        frame(1, 1, request_record(9, 1, 1, 1)),
        struct.pack(">QIII", 1, 3, 0, 1),
        frame(1, 1, start_record(1, "zone=1")),
        struct.pack(">QIII", 1, 21, 0, 1) + b"x",
        frame(1, 1, start_record(1, SETTINGS.replace("free", "odd"))),
    ],
)
def test_malformed_input_ends_with_a_one_line_error(data):
    done = run(data)
    assert done.returncode != 0
    assert done.stderr.startswith(b"rookbend: ") and done.stderr.count(b"\n") == 1


def test_missing_setting_is_named():
    with pytest.raises(simulator_codec.WireError, match="limits.maxAttempts"):
        simulator_settings.parse_settings(SETTINGS.replace("limits.maxAttempts=4\n", ""))


def test_settings_are_read_and_unknown_keys_skipped():
    s = simulator_settings.parse_settings(SETTINGS)
    assert (s.zone, s.router_count, s.parent_kind, s.classes[0].idempotency) == (1, 2, 1, api.Idempotency.IDEMPOTENT)


def test_events_are_decoded():
    record = struct.pack(">BIIBIHBIBBIBf", 0, 3, 77, 1, 7, 80, 1, 500, 1, 2, 40, 1, 2.5)
    ((instance, event),) = simulator_codec.read_batch(record, 1)
    assert instance == 3
    assert event == api.AttemptFinished(
        77, 1, 7 << 16 | 80, api.AttemptStatus.OK, 500, True, api.AttemptDetail.FILLED, 40, (2.5,)
    )
    purge = struct.pack(">BIQIH", 1, 3, 9, 100, 4)
    assert simulator_codec.read_batch(purge, 1) == [(3, api.PurgeReceived(9, 4, 100))]


def test_every_action_has_a_record():
    server = 7 << 16 | 80
    for action, code in (
        (api.FetchCached(1, server, 5), 5),
        (api.Fetch(1, server, 5, server, join_fill=True), 8),
        (api.Fail(1), 2),
        (api.Reject(1, 5), 7),
        (api.CancelAttempt(1, 0), 9),
        (api.SetTimer(5, 1), 11),
        (api.StartHealthCheck(server), 12),
        (api.CloseIdleConnections(server), 3),
        (api.ReloadMembership(), 10),
        (api.SubscribeMembership(True), 0),
        (api.SendPeerMessage(None, b"hi"), 6),
        (api.WriteLog("x"), 1),
        (api.InternalError("x"), 4),
    ):
        data = simulator_actions.write_action(3, action)
        assert data[0] == code and data[1:5] == struct.pack(">I", 3)


def test_instances_act_the_same_in_one_process_and_in_several():
    rows = [(4.0, 7, 80, 1, 0), (9.0, 8, 80, 0, 1), (1.0, 9, 80, 0, 2)]

    def actions(*instances):
        start = frame(10_000_000, 1, *(r for i in instances for r in (start_record(i), membership_record(i, rows))))
        work = frame(
            10_002_000, 2, *(request_record(i, 70 + n, 5 + n, 16_002_000) for i in instances for n in range(4))
        )
        return run(start + work).stdout[16:]  # after the first reply and the header of the second

    assert actions(3, 4, 5) == actions(3) + actions(4) + actions(5)
    assert len(actions(3)) > 100
