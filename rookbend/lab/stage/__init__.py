"""The stage of real processes: directors as the program runs them, stand-ins of all they talk to, relays
between them, faults, and a record of what crossed. See `scene`.

    process      a director's process, its log lines, its clock
    relay        TCP and UDP between any two, with faults a directed pair
    boxes        caches, parents, the origin: memory, warmth, limits, falls
    coordinator  the list and the purges
    names        a resolver, and a client of the directors' DNS fronts
    clients      open-loop clients behind a front
    record       what was seen, on one clock, fed to the rules' checker
    scene        all of it together
"""

from rookbend.lab.stage.process import Hung
from rookbend.lab.stage.scene import Scene, allow_probes, stage

__all__ = ["Hung", "Scene", "allow_probes", "stage"]
