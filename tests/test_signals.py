"""Signals to a director's process: before it is ready, and repeated."""

import os
import signal

from tests.test_cli import GOOD, run


def test_sigterm_before_the_director_is_ready_exits_at_once_with_0(tmp_path):
    pipe = tmp_path / "held.json"
    os.mkfifo(pipe)  # as its configuration: the director waits until the pipe is written
    process = run(tmp_path, GOOD, NODE_CONFIG=str(pipe))
    writer = os.open(pipe, os.O_WRONLY)  # returns once the director has opened the pipe and waits for bytes
    process.send_signal(signal.SIGTERM)
    out, err = process.communicate(timeout=20)
    os.close(writer)
    assert (process.returncode, out, err) == (0, "", "")


def test_repeated_signals_cause_one_shutdown_that_exits_with_0(tmp_path):
    process = run(tmp_path, GOOD)
    assert "event=ready" in process.stderr.readline()
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGTERM)
    lines = []
    for line in process.stderr:  # the last signal arrives while the event loop ends
        lines.append(line)
        process.send_signal(signal.SIGTERM)
    assert process.wait(timeout=20) == 0
    assert [sum(f"event={word} " in line for line in lines) for word in ("reloaded", "draining", "stopped")] == [
        1,
        1,
        1,
    ]
