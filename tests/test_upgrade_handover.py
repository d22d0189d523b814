"""Upgrade hand-over: the file for the successor, the messages between the processes, and their phases."""

import pytest

from rookbend.operations import persisted_state
from rookbend.operations.handover import HandoverPhase, ProcessHandover
from rookbend.protocol import upgrade as messages


def test_a_damaged_or_foreign_file_is_rejected():
    data = persisted_state.encode(persisted_state.PersistedState("n0", excluded=["c1"], included_us={"c2": 7}))
    assert persisted_state.decode(data, "n0").excluded == ["c1"] and persisted_state.decode(data, "n0").included_us == {
        "c2": 7
    }
    damaged = [data[:n] for n in range(len(data))]
    damaged += [data[:i] + bytes([data[i] ^ 1]) + data[i + 1 :] for i in range(len(data))]
    for bad in damaged:
        with pytest.raises(persisted_state.PersistedStateError):
            persisted_state.decode(bad, "n0")
    with pytest.raises(persisted_state.PersistedStateError):
        persisted_state.decode(data, "n1")
    with pytest.raises(persisted_state.PersistedStateError):
        persisted_state.decode(persisted_state.encode(persisted_state.PersistedState("n0", version=2)), "n0")


def test_messages_between_processes_are_reassembled_and_malformed_ones_raise():
    sent = [
        messages.RequestListeners(1, "n0"),
        messages.GiveListeners(["tcp 1 2"]),
        messages.Serving(),
        messages.SetExclusion("c1", True),
    ]
    data, reader, received = b"".join(map(messages.encode, sent)), messages.MessageReader(), []
    for i in range(len(data)):
        received += reader.feed(data[i : i + 1])
    assert received == sent
    for bad in (b"x\n", b'{"type":"other"}\n', b'{"type":"ban"}\n', b"x" * (messages.MAX_LINE_BYTES + 1)):
        with pytest.raises(messages.UpgradeError):
            messages.MessageReader().feed(bad)


def test_the_shares_of_both_processes_never_add_up_to_more_than_one():
    predecessor, successor = ProcessHandover(), ProcessHandover()
    assert (predecessor.phase, predecessor.active_processes, predecessor.processes) == (HandoverPhase.ALONE, 1, 1)
    predecessor.listeners_requested(1)
    successor.listeners_inherited()
    assert (
        predecessor.phase is HandoverPhase.OFFERED and predecessor.active_processes == 1 and predecessor.processes == 2
    )
    assert not predecessor.taken_over, "a successor that does not serve yet has not taken over"
    predecessor.successor_serving(1)
    assert predecessor.taken_over and 1 / predecessor.active_processes + 1 / successor.active_processes <= 1
    predecessor.shutdown_requested()
    assert predecessor.phase is HandoverPhase.LEAVING
    successor.listeners_requested(1)  # a second upgrade, while the first is ending
    successor.successor_serving(1)
    assert successor.active_processes == 3
    successor.predecessor_ended()
    assert successor.active_processes == 2
    predecessor.successor_ended(1)
    assert not predecessor.taken_over and predecessor.active_processes == 1


def test_a_message_from_a_process_that_never_requested_listeners_is_ignored():
    predecessor = ProcessHandover()
    predecessor.successor_serving(1)
    assert not predecessor.taken_over
    predecessor.listeners_requested(2)
    predecessor.successor_ended(2)
    predecessor.successor_serving(2)
    assert not predecessor.taken_over and predecessor.phase is HandoverPhase.ALONE
