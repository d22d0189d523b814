"""A whole fleet in simulated time: real engines and modules, up to hundreds, before modelled caches, parents
and one origin that tips over.

`world` says how large everything is; `cache`, `sources` and `links` what the members do; `catalogue` what is
asked for; `node` and `fleet` run it and count what comes of it; `careless` is what the module was before. The
directors' part is the program's own (`Engine` with its `Router`); only sockets and time are modelled.
"""

from rookbend.testing.simulation.deployment import Deployment as Deployment
from rookbend.testing.simulation.fleet import SimulatedFleet as SimulatedFleet
