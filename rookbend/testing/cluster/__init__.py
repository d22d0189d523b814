"""A test cluster of real processes: directors run as in production, stand-ins for every system they talk to, relays
between them that inject faults, and a record of the traffic that the invariant checker judges. See `process_cluster`.

    process          a director's process, its log lines and its clock
    relay            TCP and UDP relays between any two processes, with faults for each direction
    traffic_classes  the classes of requests
    shared_state     the state that all members share, and the profile of each role
    members          caches, parents and the origin: memory, warm-up, limits, overload
    member_wire      the members' side of the platform's line protocol
    coordinator      the membership stream and the purges
    dns_names        a resolver, and a client of the directors' DNS fronts
    clients          open-loop clients, and the front that admits directors
    workload         the clients' requests and the front's connections
    record           observed events on one clock, passed to the invariant checker
    director_config  the configuration and settings of directors
    faults           power losses, partitions, frozen processes
    disk             the effects of a power loss on a director's state folder
    admin_client     requests to a director's listeners
    upgrades         a second process of one director
    report_ledger    the ledger that receives the fleet's report
    address_block    the loopback addresses that a cluster uses
    process_cluster  the cluster that combines these parts
    cluster_runner   opens and closes a cluster
    failure_record   the files kept of a failed cluster
    soak             seeded events under load, with checks
    soak_crowds      its crowds of clients, and the memory of the directors
    soak_result      what one seed of it has shown
"""

from rookbend.testing.cluster.cluster_runner import open_cluster
from rookbend.testing.cluster.director_config import allow_probes
from rookbend.testing.cluster.process import HungProcessError
from rookbend.testing.cluster.process_cluster import ProcessCluster

__all__ = ["HungProcessError", "ProcessCluster", "allow_probes", "open_cluster"]
