"""Explicit-state search over the program's own state machines, under a model of network, clocks and disks.

`search`   breadth-first search of any model
`lease`    the model of the lease protocol; its states and steps are in `lease_state`, `candidate_steps`,
           `voter_steps` and `receiver_steps`, how far it goes in `bounds` and `rules`
`faults`   faults that the search must find; `faulty_behaviour` has the wrong methods
"""
