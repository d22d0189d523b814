"""Loaded by Python at the start of a cluster's director: lets the test set its Unix clock and stop it at chosen points.

`ROOKBEND_STAGE` names a folder. `clock` in it holds two doubles, seconds ahead and rate minus one; `stops` holds one
byte, the point at which the process stops itself (`process.BEFORE_SEND` and so on). The test changes both while the
process runs. The program itself is unchanged and reads `time.time` as usual.
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
    _since = [_system_time(), 0.0, 0.0]  # true time of the last change of the setting, seconds ahead and rate set then

    def _now():
        system_s = _system_time()
        ahead, rate = _unpack(_clock_setting)
        if (ahead, rate) != (_since[1], _since[2]):
            _since[:] = system_s, ahead, rate
        return system_s + ahead + (system_s - _since[0]) * rate

    time.time = _now

if _folder and os.path.exists(os.path.join(_folder, "stops")):
    import signal
    import socket

    with open(os.path.join(_folder, "stops"), "rb") as _file:
        _stop_point = mmap.mmap(_file.fileno(), 1, prot=mmap.PROT_READ)
    _send = socket.socket.send

    def _send_or_stop(self, data, *more):
        is_append = _stop_point[0] and bytes(data[:7]) == b"append "
        if is_append and _stop_point[0] == 1:
            os.kill(os.getpid(), signal.SIGSTOP)
        sent = _send(self, data, *more)
        if is_append and _stop_point[0] == 2:
            os.kill(os.getpid(), signal.SIGSTOP)
        return sent

    socket.socket.send = _send_or_stop

if _folder and os.environ.get("ROOKBEND_STAGE_DISK"):
    import faultydisk  # noqa: F401 - registers its VFS on import

if _folder and os.path.exists(os.path.join(_folder, "calls")):
    import faultycalls

    faultycalls.install(_folder)
