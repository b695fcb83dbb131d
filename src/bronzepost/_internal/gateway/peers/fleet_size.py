"""How many VMs may use backend servers and quotas."""

from bronzepost._internal.gateway.peers.fleet import Fleet


def count_vms(fleet: Fleet) -> int:
    """Return the number of VMs that may send requests.

    VMs that were lost lately may run, and so may those that are named to this VM
    and that it has not met.
    """
    others = len(fleet.list_serving_peers())
    unmet = len(fleet.unmet.list_names())
    return 1 + others + unmet + fleet.lost_members.count()
