"""The parts of a gateway that reach backend servers."""

from bronzepost._internal.gateway.callers.header_names import HeaderNames
from bronzepost._internal.gateway.links.backend_connections import (
    ConnectionPool,
)
from bronzepost._internal.gateway.links.relay_server import RelayServer
from bronzepost._internal.gateway.links.relays import Relays
from bronzepost._internal.gateway.links.server_links import ServerLinks
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.gateway.servers.placement_explainer import (
    PlacementExplainer,
)
from bronzepost._internal.gateway.servers.server_calls import ServerCalls
from bronzepost._internal.gateway.servers.server_permits import ServerPermits
from bronzepost._internal.gateway.servers.suspect_requests import (
    SuspectRequests,
)
from bronzepost._internal.gateway.settings import GatewaySettings


class ServerAccess:
    """Links to backend servers, relays, and what decides who may use them."""

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        fleet: Fleet,
        reports: PeerReports,
        peer_calls: PeerCalls,
        directory: Directory,
        pool: ConnectionPool,
        names: HeaderNames,
    ) -> None:
        """Build the parts; ``start`` opens the relay address."""
        self.suspects = SuspectRequests(fleet=fleet, directory=directory)
        self._links = ServerLinks(
            directory=directory,
            pool=pool,
            relays=Relays(
                fleet=fleet,
                reports=reports,
                pool=pool,
                own_address=settings.relay_address,
                availability_zone=settings.availability_zone,
            ),
        )
        self._relay_server = RelayServer(
            address=settings.relay_address,
            fleet=fleet,
            directory=directory,
            probes=self._links.probes,
        )
        self.calls = ServerCalls(
            directory=directory,
            reports=reports,
            permits=ServerPermits(
                fleet=fleet,
                reports=reports,
                calls=peer_calls,
                directory=directory,
            ),
            suspects=self.suspects,
            links=self._links,
            names=names,
            vm_name=settings.name,
            availability_zone=settings.availability_zone,
        )

        self.explainer = PlacementExplainer(
            directory=directory, plans=self.calls.plans, suspects=self.suspects
        )

    def start(self) -> None:
        """Start all parts.

        Raises:
            OSError: if the relay address cannot be bound.
        """
        self.suspects.start()
        self._links.start()
        self._relay_server.start()
