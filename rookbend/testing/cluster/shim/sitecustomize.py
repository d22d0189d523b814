"""Loaded by Python itself at the start of a process of the stage: its Unix clock is the stage's to set.

`ROOKBEND_STAGE` names the folder; `clock` in it holds two doubles, seconds ahead and rate less one, which the
stage changes while the process runs. The program is not changed: it reads `time.time`, as ever.
"""

import mmap
import os
import struct
import time

_folder = os.environ.get("ROOKBEND_STAGE")
if _folder and os.path.exists(os.path.join(_folder, "clock")):
    with open(os.path.join(_folder, "clock"), "rb") as _file:
        _clock_setting = mmap.mmap(_file.fileno(), 16, prot=mmap.PROT_READ)
    _unpack, _system_time = struct.Struct("=dd").unpack_from, time.time
    _since = [_system_time(), 0.0, 0.0]  # true time, seconds ahead there, the setting that was in force

    def _now():
        true = _system_time()
        ahead, rate = _unpack(_clock_setting)
        if (ahead, rate) != (_since[1], _since[2]):
            _since[:] = true, ahead, rate
        return true + ahead + (true - _since[0]) * rate

    time.time = _now

if _folder and os.path.exists(os.path.join(_folder, "stops")):
    import signal
    import socket

    with open(os.path.join(_folder, "stops"), "rb") as _file:
        _stop_point = mmap.mmap(_file.fileno(), 1, prot=mmap.PROT_READ)
    _send = socket.socket.send

    def _send_or_stop(self, data, *more):
        mine = _stop_point[0] and bytes(data[:7]) == b"append "
        if mine and _stop_point[0] == 1:
            os.kill(os.getpid(), signal.SIGSTOP)
        sent = _send(self, data, *more)
        if mine and _stop_point[0] == 2:
            os.kill(os.getpid(), signal.SIGSTOP)
        return sent

    socket.socket.send = _send_or_stop

if _folder and os.environ.get("ROOKBEND_STAGE_DISK"):
    import faultydisk  # noqa: F401 - it registers itself
