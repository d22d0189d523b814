"""Explicit-state model checking of the program's own state machines, with models of network, clocks and disks.

`search`   breadth-first search of any model
`lease`    the model of the lease protocol; its states and steps are in `lease_state`, `candidate_steps`,
           `voter_steps` and `receiver_steps`, its limits in `bounds` and `rules`
`faults`   planted faults that the search must find; `faulty_behaviour` has the replacement methods
"""
