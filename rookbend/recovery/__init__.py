"""Recovery of a director, and with it of the fleet, from a power loss. Pure: fed `(now, event)`, answers
actions.

    trust       what of the past is trusted, as one table
    peers       what is known of the other directors, and whom to believe
    happened    what happened: I alone restarted, a part of the fleet, all of it, or I am cut off
    gap         purges that were told while this director was dark
    rows        what is asked of others, and given: orders, purges, drains
    share       how much all directors together may ask of the origin, and this one's part
    sequence    in which order service returns: stages with conditions, floors and deadlines
    director    the machine of one director, made of these; it runs in the program and in simulated time

docs/RECOVERY.md tells the promises in words. Nothing of this is imported where `[recovery]` is off.
"""
