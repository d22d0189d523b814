"""Recovery of a director, and of the whole fleet, from a power loss: a state machine without I/O.

    machine                 the state machine: takes `(now, event)` and returns actions
    events, actions         its input and its output
    config                  configuration and identity of one director
    state_validity          table of which persisted state is still valid after a power loss
    peers                   the state of the other directors, and the checks on their messages
    failure_classification  what failed: this director, a part of the fleet, all of it, or the network
    missed_purges           purges issued during the outage that this director may have missed
    replicated_rows         rows that directors replicate: orders, purges, drains
    purge_replication, director_orders, membership   how this director applies each kind of row
    origin_ramp             slow start towards the origin, and this director's quota of the rate
    startup_stages          the stages in which a director returns to service
    startup_admission       the limits that follow from the stage, the ramp and the missed purges
    gossip_sender, gossip_receiver, peer_rows   the exchange with the other directors
    status                  the status shown to operators
    issued_names            names that the DNS front issued for writes

docs/RECOVERY.md states the guarantees. None of these modules is imported while `[recovery]` is off, except
`issued_names` and `state_validity`, which `[state]` uses.
"""
