"""Durable state: what a director keeps on disk, where `[state]` names a folder.

    model       what may be kept: kinds, bounds, identity
    ledger      pure: the rows in memory, what waits to be written, what became of it
    disk        the one place that touches a disk: SQLite by apsw, one writer thread

A row is kept once `disk` has synced it; the ledger says so to whoever asked. The loop never waits for the
disk. Nothing of this is imported where `[state]` is off.
"""
