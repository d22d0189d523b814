"""Keeps an unexpected exception in the task of one client, check, lookup or datagram from ending the director.

The task ends, the exception is counted and logged with its traceback, and the director continues. Cancellation and
exit are not contained. Neither is the platform's port: an exception there ends the director, which its clients notice
at once.
"""

from __future__ import annotations

import traceback
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rookbend.core.counters import Counters
    from rookbend.logs import Log

EVENT = "component_fault"


class FaultContainment:
    """`counters.component_faults` counts the contained exceptions."""

    def __init__(self, counters: Counters, log: Log):
        self._counters = counters
        self._log = log

    @contextmanager
    def contain(self, component: str, **log_fields: object) -> Iterator[None]:
        """Contains an exception raised in the block. `log_fields` name the peer, member or check in its log line."""
        try:
            yield
        except Exception as fault:
            self._counters.component_faults += 1
            lines = "".join(traceback.format_exception(fault))
            self._log(EVENT, "error", component=component, fault=repr(fault), traceback=lines, **log_fields)
