"""Dispatches each type of router action to its handler."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from rookbend import interface as api
from rookbend.core.attempts import AttemptRunner
from rookbend.core.model import Answer, FinalOutcome
from rookbend.core.open_request import OpenRequestTable
from rookbend.core.rejection import rejection
from rookbend.core.router_driver import RouterDriver
from rookbend.core.timers import TimerKind, TimerQueue


class ActionHandlers:
    """Carries out final answers, timers, log lines and messages to peers; actions on attempts go to `AttemptRunner`."""

    def __init__(
        self,
        requests: OpenRequestTable,
        attempts: AttemptRunner,
        timers: TimerQueue,
        driver: RouterDriver,
        log: Callable[..., None],
        send_to_peer: Callable[[int | None, bytes], None],
    ) -> None:
        self._requests = requests
        self._attempts = attempts
        self._timers = timers
        self._driver = driver
        self._log = log
        self._send_to_peer = send_to_peer

    def by_type(self) -> dict[type[api.Action], Callable[[Any], None]]:
        """The handler of each type of action."""
        return {
            api.Fetch: self._attempts.start,
            api.FetchCached: self._attempts.start,
            api.Fail: self._fail,
            api.Reject: self._reject,
            api.CancelAttempt: self._attempts.cancel,
            api.SetTimer: self._set_timer,
            api.CloseIdleConnections: self._close_idle,
            api.SendPeerMessage: self._send_peer_message,
            api.WriteLog: self._write_log,
            api.InternalError: self._log_internal_error,
            # The membership is pushed by the coordinator, and caches may not be probed.
            api.SubscribeMembership: self._ignore,
            api.ReloadMembership: self._ignore,
            api.StartHealthCheck: self._ignore,
        }

    def _fail(self, action: api.Fail) -> None:
        self._answer(action.request, Answer(FinalOutcome.FAILED))

    def _reject(self, action: api.Reject) -> None:
        open_request = self._requests.by_id.get(action.request)
        if open_request is not None:
            self._answer(action.request, rejection(open_request, action.retry_after_us))

    def _answer(self, number: int, answer: Answer) -> None:
        open_request = self._requests.by_id.get(number)
        if open_request is not None:
            self._requests.answer(open_request, answer)
            self._attempts.abandon(open_request)

    def _set_timer(self, action: api.SetTimer) -> None:
        self._timers.schedule(self._driver.now_us + action.delay_us, TimerKind.ROUTER, action.token)

    def _close_idle(self, action: api.CloseIdleConnections) -> None:
        self._attempts.backend.close_idle(action.server)

    def _send_peer_message(self, action: api.SendPeerMessage) -> None:
        self._send_to_peer(action.peer, action.data)

    def _write_log(self, action: api.WriteLog) -> None:
        self._log("module", text=action.text)

    def _log_internal_error(self, action: api.InternalError) -> None:
        self._log("module_fault", "error", text=action.text)

    def _ignore(self, action: api.Action) -> None:
        """Does nothing: the director does not need this action."""
