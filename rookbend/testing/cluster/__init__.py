"""A cluster of real processes: directors as the program runs them, stand-ins of all they talk to, relays between them,
faults, and a record of what crossed. See `process_cluster`.

    process          a director's process, its log lines, its clock
    relay            TCP and UDP between any two, with faults for each direction
    traffic_classes  the classes of requests
    shared_state     what all members share, and how each is made
    members          caches, parents, the origin: memory, warm-up, limits, overload
    member_wire      the platform's lines as members speak them
    coordinator      the membership stream and the purges
    dns_names        a resolver, and a client of the directors' DNS fronts
    clients          open-loop clients, and the front that admits directors
    workload         what clients request, and their connections
    record           what was seen, on one clock, fed to the invariant checker
    director_config  the configuration and settings of directors
    faults           power losses, partitions, processes that stand still
    disk             what a power loss leaves of a director's folder
    admin_client     calls at a director's listeners
    upgrades         a second process of one director
    report_ledger    the ledger of the fleet's report
    address_block    the addresses that a scenario uses
    process_cluster  all of it together
    cluster_runner   opens and ends a scenario
    failure_record   what a failed one leaves behind
    soak             seeded events under load, judged
"""

from rookbend.testing.cluster.cluster_runner import open_cluster
from rookbend.testing.cluster.director_config import allow_probes
from rookbend.testing.cluster.process import HungProcessError
from rookbend.testing.cluster.process_cluster import ProcessCluster

__all__ = ["HungProcessError", "ProcessCluster", "allow_probes", "open_cluster"]
