"""Why the director ended a client's connection."""

from __future__ import annotations

from enum import Enum


class DropReason(Enum):
    """The cause of a `client_dropped` event, as written in the log."""

    INVALID_BYTES = "invalid-bytes"  # a frame that breaks the protocol
    INCOMPLETE_FRAME = "incomplete-frame"  # a frame whose rest did not arrive in time
    INACTIVE = "inactive"  # no request open for too long
    EVICTED = "evicted"  # no request open, and its place was needed for a new client
    UNREAD_REJECTIONS = "unread-rejections"  # too many requests from a client that reads no answers
    STALLED_READER = "stalled-reader"  # it read none of its answers for too long
    UNSENT_BYTES = "unsent-bytes"  # the unsent answers of all clients exceed the limit, and it had the most
