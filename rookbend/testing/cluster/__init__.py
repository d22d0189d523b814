"""The stage of real processes: directors as the program runs them, stand-ins of all they talk to, relays
between them, faults, and a record of what crossed. See `scene`.

    process      a director's process, its log lines, its clock
    relay        TCP and UDP between any two, with faults a directed pair
    kinds        the classes: the one place that names them
    world        what all members share, how each is made
    boxes        caches, parents, the origin: memory, warmth, limits, falls
    box_wire     the platform's lines as they speak them
    coordinator  the list and the purges
    names        a resolver, and a client of the directors' DNS fronts
    clients      open-loop clients behind a front
    record       what was seen, on one clock, fed to the rules' checker
    told         what directors are told
    faults       power, cuts, machines that stand still
    asking       calls at a director's listeners
    upgrades     a second process of one director
    scene        all of it together
"""

from rookbend.testing.cluster.director_config import allow_probes
from rookbend.testing.cluster.process import HungProcessError
from rookbend.testing.cluster.scenario import Scene
from rookbend.testing.cluster.scenario_runner import stage

__all__ = ["HungProcessError", "Scene", "allow_probes", "stage"]
