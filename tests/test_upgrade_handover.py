"""What one process of a director leaves for the next, what they send one another, and who takes connections."""

import pytest

from rookbend.operations import persisted_state
from rookbend.operations.handover import HandoverPhase, ProcessHandover
from rookbend.protocol import upgrade as messages


def test_a_kept_file_is_whole_or_none():
    data = persisted_state.encode(persisted_state.PersistedState("n0", excluded=["c1"], included_us={"c2": 7}))
    assert persisted_state.decode(data, "n0").excluded == ["c1"] and persisted_state.decode(data, "n0").included_us == {
        "c2": 7
    }
    spoilt = [data[:n] for n in range(len(data))]
    spoilt += [data[:i] + bytes([data[i] ^ 1]) + data[i + 1 :] for i in range(len(data))]
    for bad in spoilt:
        with pytest.raises(persisted_state.PersistedStateError):
            persisted_state.decode(bad, "n0")
    with pytest.raises(persisted_state.PersistedStateError):
        persisted_state.decode(data, "n1")
    with pytest.raises(persisted_state.PersistedStateError):
        persisted_state.decode(persisted_state.encode(persisted_state.PersistedState("n0", version=2)), "n0")


def test_the_words_between_two_processes_come_in_pieces_and_nonsense_is_named():
    said = [
        messages.RequestListeners(1, "n0"),
        messages.GiveListeners(["tcp 1 2"]),
        messages.Serving(),
        messages.SetExclusion("c1", True),
    ]
    data, reader, heard = b"".join(map(messages.encode, said)), messages.MessageReader(), []
    for i in range(len(data)):
        heard += reader.feed(data[i : i + 1])
    assert heard == said
    for bad in (b"x\n", b'{"type":"other"}\n', b'{"type":"ban"}\n', b"x" * (messages.MAX_LINE_BYTES + 1)):
        with pytest.raises(messages.UpgradeError):
            messages.MessageReader().feed(bad)


def test_the_parts_of_both_processes_never_add_up_to_more_than_one():
    predecessor, successor = ProcessHandover(), ProcessHandover()
    assert (predecessor.phase, predecessor.active_processes, predecessor.processes) == (HandoverPhase.ALONE, 1, 1)
    predecessor.listeners_requested(1)
    successor.listeners_inherited()
    assert (
        predecessor.phase is HandoverPhase.OFFERED and predecessor.active_processes == 1 and predecessor.processes == 2
    )
    assert not predecessor.taken_over, "a process that does not serve yet takes nothing over"
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


def test_a_word_of_a_process_that_never_asked_takes_nothing_over():
    predecessor = ProcessHandover()
    predecessor.successor_serving(1)
    assert not predecessor.taken_over
    predecessor.listeners_requested(2)
    predecessor.successor_ended(2)
    predecessor.successor_serving(2)
    assert not predecessor.taken_over and predecessor.phase is HandoverPhase.ALONE
