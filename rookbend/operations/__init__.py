"""Running day by day, pure: what operators ask of a running director and what two of its processes agree on.

figures      what the door says in figures, in the operators' format
bans         members left out by hand: who is, and what of the membership that leaves
change       settings that change: whether a file is whole, and what of it takes effect
handover   two processes of one director: who takes, who ends, which part is whose
kept         what one process leaves for the next
"""
