"""Two VMs of a test: one without links, and one that relays for it."""

import dataclasses
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import msgspec

from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.core.membership import Member
from bronzepost._internal.gateway.links.backend_connections import (
    BackendConnection,
    ConnectionPool,
)
from bronzepost._internal.gateway.links.link_probes import LinkProbes
from bronzepost._internal.gateway.links.relay_server import RelayServer
from bronzepost._internal.gateway.links.relays import Relays
from bronzepost._internal.gateway.links.server_links import ServerLinks
from bronzepost._internal.gateway.peers.messages import LoadReport
from bronzepost._internal.gateway.peers.received_reports import ReceivedReports
from bronzepost._internal.gateway.servers.directory import Directory
from tests.builders_gateway import make_member, make_server
from tests.builders_gateway_servers import find_port

OWN_NAME = 'hall-a-1'
RELAY_NAME = 'hall-a-2'


class PairFleet:
    """The fleet of two VMs, as both see it."""

    own_name = OWN_NAME

    def __init__(self, *, relay_address: str) -> None:
        """Start with both VMs serving."""
        self.members: tuple[Member, ...] = (
            make_member(OWN_NAME),
            dataclasses.replace(
                make_member(RELAY_NAME), forward_address=relay_address
            ),
        )

    def list_serving(self) -> tuple[Member, ...]:
        """Return the VMs that take work."""
        return self.members

    def is_member_ip(self, ip: str) -> bool:
        """Return whether one of the VMs has an IP."""
        return ip == '127.0.0.1'

    def list_serving_peers(self) -> tuple[str, ...]:
        """Return the names of the VMs but the first."""
        return tuple(
            member.name for member in self.members if member.name != OWN_NAME
        )


class PairReports:
    """What the first VM has heard of the second one."""

    def __init__(self) -> None:
        """Start with a report of a VM that reaches all servers."""
        self.received = ReceivedReports(own_name=OWN_NAME)
        self.put()

    def put(self, **changes: Any) -> None:
        """Receive a report of the second VM."""
        report = LoadReport(
            in_flight={}, has_store=True, is_ready=True, version=1
        )
        self.received.put(
            RELAY_NAME, msgspec.structs.replace(report, **changes)
        )


@dataclasses.dataclass(kw_only=True)
class VmPair:
    """The relay of the second VM, and what the first one knows of it."""

    fleet: PairFleet
    reports: PairReports
    relays: Relays
    directory: Directory
    server: BackendServer

    def open(self) -> BackendConnection:
        """Open a tunnel from the first VM to the server."""
        return self.relays.open(self.server, request_id='q-1')

    def make_links(self) -> ServerLinks:
        """Return the links of the first VM, with a directory of its own."""
        directory = Directory(pool=self.relays.pool)
        directory.put_servers([self.server])
        return ServerLinks(
            directory=directory, pool=self.relays.pool, relays=self.relays
        )


@contextmanager
def open_pair(server_address: str) -> Iterator[VmPair]:
    """Run the relay of a VM that knows one server."""
    relay_address = f'127.0.0.1:{find_port()}'
    fleet = PairFleet(relay_address=relay_address)
    reports = PairReports()
    pool = ConnectionPool()
    directory = Directory(pool=pool)
    server = make_server('i-1', address=server_address)
    directory.put_servers([server])
    relay_server = RelayServer(
        address=relay_address,
        fleet=fleet,  # type: ignore[arg-type]
        directory=directory,
        probes=LinkProbes(directory=directory, pool=pool),
    )
    relay_server.start()
    relays = Relays(
        fleet=fleet,  # type: ignore[arg-type]
        reports=reports,  # type: ignore[arg-type]
        pool=ConnectionPool(),
        own_address='127.0.0.1:0',
        availability_zone='hall-a',
    )
    yield VmPair(
        fleet=fleet,
        reports=reports,
        relays=relays,
        directory=directory,
        server=server,
    )
    relay_server.stop()
