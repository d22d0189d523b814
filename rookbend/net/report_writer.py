"""Writes lines of the fleet's report to a ledger or a file, before the lease on the report ends."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import trio

from rookbend.core.decimal_text import is_decimal
from rookbend.leases.actions import WriteReportLine
from rookbend.leases.events import ReportLineWritten
from rookbend.leases.leader_tasks import REPORT_SCOPE
from rookbend.leases.lease_table import LeaseTable
from rookbend.logs import Log
from rookbend.net.connector import open_socket

FILE_MARGIN_US = 200_000  # a file can't reject stale tokens, so a write starts at least this long before the lease ends
MAX_REPLY_BYTES = 4096


class ReportWriter:
    """`ledger` is an address; without one, `file` is a path. `now` reads the lease machine's clock in µs.

    `on_written` is called with the outcome of each line.
    """

    def __init__(
        self,
        ledger: tuple[str, int] | None,
        file: str | Path,
        leases: LeaseTable,
        now: Callable[[], int],
        log: Log,
        on_written: Callable[[ReportLineWritten], None],
    ):
        self._ledger = ledger
        self._file = file
        self._leases = leases
        self._now = now
        self._log = log
        self._on_written = on_written
        self._current: trio.CancelScope | None = None  # of the latest write

    def cancel(self) -> None:
        """Cancels the write in progress, as the lease is lost."""
        if self._current is not None:
            current = self._current
            self._current = None
            current.cancel()

    def extend(self) -> None:
        """Lets the write in progress run until the new end of the lease, which may have been renewed."""
        if self._current is not None:
            self._current.deadline = self._monotonic_at(self._leases.leases[REPORT_SCOPE].expires_us)

    def _monotonic_at(self, time_us: int) -> float:
        return trio.current_time() + (time_us - self._now()) / 1e6

    def _holds(self, token: int) -> bool:
        return self._leases.held_token(self._now(), REPORT_SCOPE) == token

    async def write(self, line: WriteReportLine) -> None:
        """Writes one line; a line that can't be written in time counts as not accepted."""
        accepted = False
        highest_token = 0
        with trio.CancelScope() as scope:
            self._current = scope
            scope.deadline = self._monotonic_at(line.expires_us)
            try:
                if self._ledger is not None:
                    accepted, highest_token = await self._append_to_ledger(self._ledger, line)
                else:
                    accepted = await trio.to_thread.run_sync(self._append_to_file, line, abandon_on_cancel=True)
            except OSError as error:
                self._log("report_failed", "warning", number=line.number, reason=error.strerror or str(error))
        if self._current is scope:
            self._current = None
        if highest_token:
            self._log("report_refused", "warning", number=line.number, token=line.token, highest=highest_token)
        self._on_written(ReportLineWritten(line.number, accepted, highest_token))

    async def _append_to_ledger(self, address: tuple[str, int], line: WriteReportLine) -> tuple[bool, int]:
        """Returns whether the ledger has the line, and its highest token if it rejected this one. Raises OSError."""
        with await open_socket(address) as sock:
            if not self._holds(line.token):
                return False, 0
            # Sent right after the check of the lease. If the process is suspended between the two, the lease may
            # expire before the send; the ledger then rejects the older token.
            sock.send(f"append {line.token} {line.number} {line.line}\n".encode())
            reply = b""
            while not reply.endswith(b"\n"):
                await trio.lowlevel.wait_readable(sock)
                data = sock.recv(MAX_REPLY_BYTES)
                if not data:
                    raise ConnectionError("the ledger closed the connection")
                reply += data
        words = reply.decode("ascii", "replace").split()
        if words[:1] == ["old"] and len(words) == 2 and is_decimal(words[1]):
            return False, int(words[1])
        return words[:1] in (["ok"], ["have"]), 0

    def _append_to_file(self, line: WriteReportLine) -> bool:
        """Appends the line in one write, which must end well before the lease does. Runs in a thread.

        A line that is written too late all the same shows its token and number. Raises OSError.
        """
        if self._now() >= line.expires_us - FILE_MARGIN_US or not self._holds(line.token):
            return False
        file = os.open(self._file, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            os.write(file, f"{line.line}\n".encode())
        finally:
            os.close(file)
        return True
