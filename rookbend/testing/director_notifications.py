"""Records the notifications that each director has received: members out of service, and purges."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.testing.invariant_events import MembershipSent, MemberStatus, PurgeSent

ANY_OBJECT = ""
ANY_GROUP = -1


@dataclass(frozen=True, slots=True)
class OutOfService:
    """When a director was first notified that a member drains or has gone, and the member's latest state."""

    since_us: int
    status: MemberStatus


@dataclass(frozen=True, slots=True)
class PurgeNotification:
    """When a director was notified of a purge, and when the purge was created."""

    notified_us: int
    created_us: int


class DirectorNotifications:
    """The notifications by director; a purge is discarded `purge_retention_us` after its notification."""

    def __init__(self, purge_retention_us: int) -> None:
        self._purge_retention_us = purge_retention_us
        self._out_of_service: dict[tuple[str, str], OutOfService] = {}  # by director and member
        self._purges: dict[tuple[str, str, int], list[PurgeNotification]] = {}  # by director, object and group

    def add_membership(self, event: MembershipSent) -> None:
        """Records a member's state; the first notification that it is out of service sets the time."""
        key = event.director, event.member
        if event.status is MemberStatus.SERVING:
            self._out_of_service.pop(key, None)
            return
        known = self._out_of_service.get(key)
        since_us = event.at_us if known is None else known.since_us
        self._out_of_service[key] = OutOfService(since_us, event.status)

    def add_purge(self, event: PurgeSent) -> None:
        """Adds a purge, and discards expired ones of the same object or group."""
        key = event.director, event.object_name, event.group
        recent = [
            purge for purge in self._purges.get(key, ()) if event.at_us - purge.notified_us < self._purge_retention_us
        ]
        self._purges[key] = [*recent, PurgeNotification(event.at_us, event.created_us)]

    def out_of_service(self, director: str, member: str) -> OutOfService | None:
        """Returns the director's record of a member that is out of service, or None if the member serves."""
        return self._out_of_service.get((director, member))

    def purges(self, director: str, object_name: str, group: int) -> list[PurgeNotification]:
        """Returns the purges of the object that the director was notified of, then those of its group."""
        of_object = self._purges.get((director, object_name, ANY_GROUP), [])
        of_group = self._purges.get((director, ANY_OBJECT, group), [])
        return [*of_object, *of_group]
