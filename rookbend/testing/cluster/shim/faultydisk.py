"""A disk that loses unsynced writes: an apsw VFS below SQLite, for a cluster's directors. Loaded by `sitecustomize`.

Writes stay in this process's memory and in a file beside the real one (`.unsynced`) until they are synced; only then
do they reach the real file. A process that is killed therefore loses exactly its unsynced writes, like a machine that
loses its power. The test can then apply a part of `.unsynced` with the last write torn (`disk.apply_torn_writes`).
The text of the file `disk` in the folder `ROOKBEND_STAGE` makes writes fail: `full` or `read-only`.
"""

import contextlib
import mmap
import os
import signal
import struct

import apsw

WRITE_HEADER = struct.Struct("=qi")  # offset, length; -1: a truncation to the offset
FLAGS = apsw.SQLITE_OPEN_MAIN_DB | apsw.SQLITE_OPEN_WAL | apsw.SQLITE_OPEN_MAIN_JOURNAL
_stop_point = b"\0"
if os.path.exists(os.path.join(os.environ["ROOKBEND_STAGE"], "stops")):
    with open(os.path.join(os.environ["ROOKBEND_STAGE"], "stops"), "rb") as _file:
        _stop_point = mmap.mmap(_file.fileno(), 1, prot=mmap.PROT_READ)
_fault_file = os.path.join(os.environ["ROOKBEND_STAGE"], "disk")


def _raise_disk_fault():
    try:
        with open(_fault_file, encoding="ascii") as file:
            fault = file.read().strip()
    except OSError:
        return
    if fault == "full":
        raise apsw.FullError("the test has set the disk to full")
    if fault == "read-only":
        raise apsw.ReadOnlyError("the test has set the disk to read-only")


class UnsyncedLossFile(apsw.VFSFile):
    def __init__(self, name, flags):
        super().__init__("unix", name, flags)
        self.path = name.filename() if isinstance(name, apsw.URIFilename) else name
        with open(self.path, "rb") as file:
            self.image = bytearray(file.read())
        self.unsynced = []
        self.unsynced_log = open(self.path + ".unsynced", "wb", buffering=0)  # noqa: SIM115 - closed in xClose

    def xRead(self, amount, offset):
        return bytes(self.image[offset : offset + amount])

    def xWrite(self, data, offset):
        _raise_disk_fault()
        self.unsynced_log.write(WRITE_HEADER.pack(offset, len(data)) + bytes(data))
        if len(self.image) < offset:
            self.image.extend(bytes(offset - len(self.image)))
        self.image[offset : offset + len(data)] = data
        self.unsynced.append((offset, bytes(data)))

    def xTruncate(self, size):
        self.unsynced_log.write(WRITE_HEADER.pack(size, -1))
        del self.image[size:]
        self.unsynced.append((size, None))

    def xFileSize(self):
        return len(self.image)

    def xSync(self, flags):
        if self.unsynced:
            _raise_disk_fault()
            if _stop_point[0] == 3:
                os.kill(os.getpid(), signal.SIGSTOP)
        for offset, data in self.unsynced:
            if data is None:
                super().xTruncate(offset)
            else:
                super().xWrite(data, offset)
        self.unsynced.clear()
        super().xSync(flags)
        self.unsynced_log.seek(0)
        self.unsynced_log.truncate()

    def xClose(self):
        self.unsynced_log.close()
        super().xClose()


class Vfs(apsw.VFS):
    def __init__(self):
        super().__init__("forgetful", "unix", makedefault=True)

    def xOpen(self, name, flags):
        if name is not None and flags[0] & FLAGS:
            return UnsyncedLossFile(name, flags)
        return super().xOpen(name, flags)

    def xDelete(self, filename, syncdir):
        super().xDelete(filename, syncdir)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(filename + ".unsynced")


VFS = Vfs()
