"""Recovery of a director, and with it of the fleet, from a power loss; a state machine without I/O.

    machine                 wires the parts; fed `(now, event)`, answers with actions
    events, actions         what it is fed, and what it answers
    config                  configuration and identity of one director
    state_validity          what persisted state is good for after a power loss, as one table
    peers                   what is known of the other directors, and which messages are believed
    failure_classification  what failed: this director, a part of the fleet, all of it, or the network
    missed_purges           purges of the outage that may be missing
    replicated_rows         rows that directors replicate: orders, purges, drains
    purge_replication, order_replication, membership   what each kind of rows means for this director
    origin_ramp             slow start towards the origin, and this director's quota of it
    startup_stages          the order in which service returns
    admission_control       the limits that follow from stage, ramp and missed purges
    gossip_sender, gossip_receiver, peer_rows   the exchange with the other directors
    status                  what operators read
    issued_names            names that the DNS front issued for writes

docs/RECOVERY.md has the promises in words. Nothing of this is imported where `[recovery]` is off, but `issued_names`
and `state_validity` with `[state]`.
"""
