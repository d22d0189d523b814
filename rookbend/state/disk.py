"""The state folder on disk: a SQLite database, accessed through apsw.

No other module accesses the disk while the program runs. The database is in WAL mode with `synchronous=FULL`, so a
commit returns only after its frames are synced. Its lock is held until the process ends. A folder that is in use, that
belongs to another director or fleet, or that has a newer schema is refused. A damaged file is moved aside and logged,
and the start continues as after a total loss of the disk.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Any

import apsw

from rookbend.state.ledger import Batch, Key
from rookbend.state.model import (
    SCHEMA,
    FolderInUseError,
    FolderUnusableError,
    ForeignFolderError,
    Identity,
    NewerSchemaError,
    Row,
    StateError,
)

DATABASE_FILE, LOCK_FILE = "state.db", "lock"
DATABASE_SUFFIXES = "", "-wal", "-shm", "-journal"
MIGRATIONS: dict[int, str] = {}  # by schema: the statements that migrate it to the next one
CREATE_TABLES = """
CREATE TABLE meta(name TEXT PRIMARY KEY, value) WITHOUT ROWID;
CREATE TABLE rows(kind TEXT, key TEXT, at INTEGER, value BLOB, PRIMARY KEY(kind, key)) WITHOUT ROWID;
"""
META_NAMES = frozenset(("schema", "name", "fleet", "boot"))
FAULTS = (apsw.FullError, "disk full"), (apsw.ReadOnlyError, "read-only")
CHECKPOINT_PAGES = 256  # bounds the size of the WAL file
PRAGMAS = (
    "locking_mode=EXCLUSIVE",
    "journal_mode=WAL",
    "synchronous=FULL",
    f"wal_autocheckpoint={CHECKPOINT_PAGES}",
)


class Disk:
    """An open state folder. `boot_number` is that of this start; `rows` are the rows found; `moved_aside` names a
    damaged file that was moved aside and the reason, or is empty."""

    def __init__(self, folder: Path, identity: Identity):
        """Opens the folder. Blocks, so it is called only during the start. Raises StateError."""
        self.folder = folder
        self.identity = identity
        self.boot_number = 0
        self.moved_aside = ""
        self.rows: dict[Key, Row] = {}
        self._db: apsw.Connection | None = None
        self._lock = self._lock_folder()
        try:
            self._open_or_move_aside()
        except StateError:
            self.close()
            raise
        except apsw.Error as error:
            self.close()
            raise FolderUnusableError(folder, "written", str(error)) from None

    def _lock_folder(self) -> int:
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            lock = os.open(self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise FolderUnusableError(self.folder, "used", str(error.strerror)) from None
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(lock)
            raise FolderInUseError(self.folder) from None
        return lock

    @property
    def _connection(self) -> apsw.Connection:
        assert self._db is not None, "state folder is closed"
        return self._db

    def _open_or_move_aside(self) -> None:
        try:
            self._load()
        except (apsw.CorruptError, apsw.NotADBError) as error:
            self.moved_aside = self._move_aside(str(error))
            self._load()

    def _load(self) -> None:
        self._db = db = apsw.Connection(str(self.folder / DATABASE_FILE))
        db.set_busy_timeout(0)
        for pragma in PRAGMAS:  # one per call: a cursor stops at the first statement that returns a row
            db.execute(f"PRAGMA {pragma}").fetchall()
        found = db.execute("PRAGMA quick_check(1)").fetchall()
        if found != [("ok",)]:
            raise apsw.CorruptError(str(found[0][0]))
        with db:
            self._load_meta(db)
        rows = db.execute("SELECT kind, key, at, value FROM rows")
        self.rows = {(kind, key): Row(value, stored_us) for kind, key, stored_us, value in rows}

    def _load_meta(self, db: apsw.Connection) -> None:
        """Creates or migrates the tables, checks the identity, and stores the next boot number."""
        if not db.execute("SELECT 1 FROM sqlite_master WHERE name='meta'").fetchall():
            db.execute(CREATE_TABLES)
            self._put_meta(schema=SCHEMA, name=self.identity.name, fleet=self.identity.fleet, boot=0)
        meta = dict(db.execute("SELECT name, value FROM meta"))
        self._check(meta)
        for schema in range(meta["schema"], SCHEMA):
            db.execute(MIGRATIONS[schema])
        self.boot_number = meta["boot"] + 1
        self._put_meta(schema=SCHEMA, boot=self.boot_number)

    def _check(self, meta: dict[str, Any]) -> None:
        if not meta.keys() >= META_NAMES:
            raise apsw.CorruptError("identity in table meta is incomplete")
        if meta["schema"] > SCHEMA:
            raise NewerSchemaError(self.folder, meta["schema"], SCHEMA)
        if meta["name"] != self.identity.name:
            raise ForeignFolderError(self.folder, "director", meta["name"], self.identity.name)
        if meta["fleet"] != self.identity.fleet:
            raise ForeignFolderError(self.folder, "fleet", meta["fleet"], self.identity.fleet)

    def _put_meta(self, **values: int | str) -> None:
        self._connection.executemany("INSERT OR REPLACE INTO meta VALUES(?, ?)", values.items())

    def _move_aside(self, reason: str) -> str:
        self._connection.close()
        number = 1
        while (aside := self.folder / f"{DATABASE_FILE}.damaged-{number}").exists():
            number += 1
        for suffix in DATABASE_SUFFIXES:
            part = self.folder / (DATABASE_FILE + suffix)
            if part.exists():
                part.rename(f"{aside}{suffix}")
        return f"{aside.name}: {reason}"

    # Called in the writer thread while the director runs

    def raise_boot_number(self, boot_number: int) -> None:
        """Stores a higher boot number for this start, because a peer knew one as high. Raises apsw.Error."""
        with self._connection:
            self._put_meta(boot=boot_number)
        self.boot_number = boot_number

    def write(self, batch: Batch) -> str:
        """Writes a batch in one transaction and syncs it; returns "", or why it failed."""
        db = self._connection
        stored = [(*key, row.stored_us, row.value) for key, row in batch.changes.items() if row is not None]
        deleted = [key for key, row in batch.changes.items() if row is None]
        try:
            db.execute("BEGIN IMMEDIATE")
            db.executemany("INSERT OR REPLACE INTO rows VALUES(?, ?, ?, ?)", stored)
            db.executemany("DELETE FROM rows WHERE kind=? AND key=?", deleted)
            db.execute("COMMIT")
            return ""
        except apsw.Error as error:
            # SQLite rolls back on its own if the disk is full. A second rollback would then fail and hide the reason.
            if db.in_transaction:
                # If the rollback fails, the next batch begins by rolling back the remaining transaction.
                with contextlib.suppress(apsw.Error):
                    db.execute("ROLLBACK")
            return _fault(error)

    def close(self) -> None:
        """Closes the database and unlocks the folder."""
        if self._db is not None:
            with contextlib.suppress(apsw.Error):
                self._db.close()
        os.close(self._lock)


def _fault(error: apsw.Error) -> str:
    for kind, fault in FAULTS:
        if isinstance(error, kind):
            return fault
    return f"{type(error).__name__.removesuffix('Error').lower()}: {error}"
