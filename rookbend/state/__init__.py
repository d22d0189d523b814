"""Durable state: the rows that a director persists on disk if `[state]` names a folder.

    model       kinds of rows with their bounds, the identity of a folder, errors
    ledger      the rows in memory, the changes to be written, and their outcome; does no I/O
    disk        the only module that accesses the disk: SQLite through apsw
    writer      the thread that writes batches

A row is durable once `disk` has synced it; the ledger then calls the callback given with the change. The event loop
never waits for the disk. None of these modules is imported while `[state]` is off.
"""
