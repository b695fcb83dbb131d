"""Choose the backend servers that are compared for a request.

Reports of the load of servers are up to seconds old, so VMs that compare all
servers send to the same one until the reports show it, and its prompts are
evicted. Each request therefore compares a few servers that a hash of its program
draws, as in the power of two choices (Mitzenmacher, 2001). A decision then takes
no longer with more servers.
"""

from collections.abc import Iterable, Iterator, Sequence, Set
from typing import Final

import xxhash

from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.core.rendezvous import first_members

# All servers of a service are compared up to this number. Services that small
# have few VMs before them, whose reports are a fraction of a second old.
MAX_COMPARED_SERVERS: Final = 8
# Servers that are drawn from larger services, and from those of them that keep
# the shared part.
DRAWN_SERVERS: Final = 3
# A ranking of more servers takes longer than the rest of the decision.
MAX_RANKED_SERVERS: Final = 64
# Servers of a large plain service to which a VM sends most of its requests, so
# that it can use its connections again.
SUBSET_SERVERS: Final = 4


def choose_candidates(
    servers: Sequence[BackendServer],
    *,
    holders: Sequence[BackendServer],
    avoided_ids: Set[str],
    excluded_ids: Set[str],
    key: str,
) -> Sequence[BackendServer]:
    """Return the servers to compare.

    They are a few of all ``servers`` and a few of the ``holders``: the servers
    that keep the shared part, or the subset of this VM. Servers in
    ``avoided_ids`` are compared only if there is no other, those in
    ``excluded_ids`` never. Requests with the same ``key`` compare the same
    servers at all VMs.
    """
    unwanted = avoided_ids | excluded_ids
    usable = drop_servers(servers, unwanted)
    if not usable:
        return drop_servers(servers, excluded_ids)
    if len(servers) <= MAX_COMPARED_SERVERS:
        return usable
    drawn = {server.server_id: server for server in draw_servers(usable, key)}
    if holders is not servers:
        for server in rank_servers(drop_servers(holders, unwanted), key):
            drawn[server.server_id] = server
    return tuple(drawn.values())


def drop_servers(
    servers: Sequence[BackendServer], unwanted_ids: Set[str]
) -> Sequence[BackendServer]:
    """Return the servers without those in ``unwanted_ids``."""
    if not unwanted_ids:
        return servers
    return [
        server for server in servers if server.server_id not in unwanted_ids
    ]


def draw_servers(
    servers: Sequence[BackendServer], key: str
) -> Iterator[BackendServer]:
    """Yield ``DRAWN_SERVERS`` servers, some of them perhaps twice.

    They differ between keys and are the same for one key.
    """
    for seed in range(DRAWN_SERVERS):
        number = xxhash.xxh64_intdigest(key.encode(), seed=seed)
        yield servers[number % len(servers)]


def rank_servers(
    servers: Sequence[BackendServer], key: str
) -> Iterable[BackendServer]:
    """Return ``DRAWN_SERVERS`` servers, or all if there are fewer.

    Most of those for one key stay the same when a server comes or goes.
    """
    if len(servers) <= DRAWN_SERVERS:
        return servers
    if len(servers) > MAX_RANKED_SERVERS:
        return draw_servers(servers, key)
    servers_by_id = {server.server_id: server for server in servers}
    ranked_ids = first_members(servers_by_id, key, DRAWN_SERVERS)
    return [servers_by_id[server_id] for server_id in ranked_ids]


def choose_subset(
    servers: Sequence[BackendServer], *, vm_name: str, availability_zone: str
) -> Sequence[BackendServer]:
    """Return the servers of a plain service that a VM uses most.

    They are in its availability zone. Each VM has others, so that all servers
    are used.
    """
    if len(servers) <= MAX_COMPARED_SERVERS:
        return servers
    near = {
        server.server_id
        for server in servers
        if server.availability_zone == availability_zone
    }
    chosen_ids = first_members(near, vm_name, SUBSET_SERVERS)
    return tuple(server for server in servers if server.server_id in chosen_ids)
