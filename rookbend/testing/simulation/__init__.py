"""A fleet in simulated time: up to hundreds of real engines and routers, with modelled caches, parents and origin.

`deployment`   sizes and parameters
`cache`, `sources`, `links`   models of the members and of their links
`catalogue`   popularity of the requested objects
`node`, `fleet`, `clock`   directors, clients and results, in simulated time
`planted_fault`   a router without origin protection, for comparison

The directors run the program's own `Engine` and `Router`; only sockets and time are modelled for them. The origin fails
for some seconds when it is overloaded.
"""

from rookbend.testing.simulation.deployment import Deployment as Deployment
from rookbend.testing.simulation.fleet import SimulatedFleet as SimulatedFleet
