"""Status of the leases for operators: the JSON of `rookbend fleet owners`."""

from __future__ import annotations

from rookbend.leases.leader_tasks import rendezvous_ranking, scope_name
from rookbend.leases.parts import LeaseParts


def lease_status(now_us: int, parts: LeaseParts, without: int) -> dict[str, object]:
    """Returns all scopes and their holders as this director knows them; times are in milliseconds.

    `next` is the preferred holder of each scope among the live directors other than `without`.
    """
    voters = parts.voters
    live_directors = parts.placement.live_directors
    candidates = live_directors - {without}
    return {
        "me": parts.config.director,
        "voters": sorted(voters.current),
        "voters_before": sorted(voters.previous) if voters.previous else None,
        "voters_differ": voters.disagreeing(),
        "living": sorted(live_directors),
        "quiet_ms": max(0, parts.voter.quarantine_until_us - now_us) // 1000,
        "owners": [_scope_status(now_us, scope, candidates, parts) for scope in parts.leases.scopes],
        "orders": {"stand": parts.orders.log.committed, "in_effect": parts.orders.log.applied},
        "changes": parts.election.leases_acquired,
        "turned_away": parts.fenced.rejected,
    }


def _scope_status(
    now_us: int,
    scope: int,
    candidates: frozenset[int],
    parts: LeaseParts,
) -> dict[str, object]:
    lease = parts.leases.leases[scope]
    candidacy = parts.leases.candidacies[scope]
    is_held = lease.is_held(now_us)
    leaderless_since_us = 0 if is_held else candidacy.leaderless_since_us
    return {
        "scope": scope_name(scope),
        "owner": parts.config.director if is_held else candidacy.known_holder,
        "token": lease.token if is_held else parts.fenced.highest_token(scope),
        "left_ms": (lease.expires_us - now_us) // 1000 if is_held else None,
        "ours": is_held,
        "pinned": parts.placement.pins.get(scope),
        "next": rendezvous_ranking(scope, candidates)[:1],
        "ownerless_ms": (now_us - leaderless_since_us) // 1000 if leaderless_since_us else None,
    }
