"""Durable state: what a director keeps on disk, where `[state]` names a folder.

    model       what may be persisted: kinds, bounds, identity, errors
    ledger      the rows in memory, changes that wait to be written, and their outcome; does no I/O
    disk        the one place that accesses a disk: SQLite by apsw
    writer      the thread that writes batches

A row is durable once `disk` has synced it; the ledger notifies whoever asked for that. The event loop never waits for
the disk. Nothing of this is imported where `[state]` is off.
"""
