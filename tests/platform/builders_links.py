"""Links of single VMs to backend servers, which tests can cut."""

import dataclasses
from typing import Any

import msgspec
import testtools

from tests.platform.gateway_vm import Vm
from tests.platform.standin_store import StandinStore
from tests.soak.links import Cut, Link


class ServerLinkSet:
    """The links of one VM to all backend servers.

    The VM reads the list of servers from a view of the store, in which each
    address is that of a link.
    """

    def __init__(self, *, store: StandinStore) -> None:
        """Open the view; links are opened as servers register."""
        self.store_address = store.open_view(self._rewrite)
        self.links_by_target: dict[str, Link] = {}

    def cut(self, how: Cut) -> None:
        """Cut all links."""
        for link in self.list_links():
            link.cut(how)

    def heal(self) -> None:
        """End the cut of all links."""
        for link in self.list_links():
            link.come_up()

    def lose_target(self, target: str) -> None:
        """Refuse connections to a server that has crashed."""
        link = self.links_by_target.get(target)
        if link is not None:
            link.cut(Cut.RESET, reason='crash')

    def regain_target(self, target: str) -> None:
        """Let connections to a server open again that has started again."""
        link = self.links_by_target.get(target)
        if link is not None:
            link.come_up(reason='crash')

    def list_links(self) -> list[Link]:
        """Return the links to the servers that are registered, or were."""
        return list(self.links_by_target.values())

    def close(self) -> None:
        """Close all links."""
        for link in self.links_by_target.values():
            link.close()

    def _rewrite(self, content: bytes) -> bytes:
        if not content:
            return content
        entry: dict[str, Any] = msgspec.json.decode(content)
        target = entry['address']
        if target not in self.links_by_target:
            self.links_by_target[target] = Link(target=target)
        entry['address'] = self.links_by_target[target].address
        return msgspec.json.encode(entry)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LinkedVms:
    """VMs, and the links of each to backend servers in the same order."""

    vms: list[Vm]
    links: list[ServerLinkSet]


def start_linked_vms(
    test: testtools.TestCase, store: StandinStore, count: int
) -> LinkedVms:
    """Start VMs with links of their own; return both once all VMs are ready."""
    links = [ServerLinkSet(store=store) for _ in range(count)]
    for link_set in links:
        test.addCleanup(link_set.close)
    vms = [
        Vm(test=test, number=21 + number, store=link_set.store_address)
        for number, link_set in enumerate(links)
    ]
    for vm in vms:
        vm.wait_until_ready()
    for vm in vms:
        vm.wait_for_vms(count)
    return LinkedVms(vms=vms, links=links)
