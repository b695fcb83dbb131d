"""Builders of the parts of a node."""

from bronzepost._internal.node.http_exchange import HttpPeer
from bronzepost._internal.node.journal_keeper import JournalKeeper
from bronzepost._internal.node.log_client import LogClient
from bronzepost._internal.node.mirroring import Mirroring
from bronzepost._internal.node.settlements import Settlements
from bronzepost._internal.node.waiting_records import WaitingRecords
from tests.builders_telemetry import build_telemetry

NOWHERE = '127.0.0.1:1'


def build_log_client(address: str = NOWHERE) -> LogClient:
    """Return a client of the log, of one that does not answer by default."""
    return LogClient(peer=HttpPeer(address=address, idle_seconds=5))


def build_keeper(
    node: str, log: LogClient, *, boot: str = 'a1'
) -> JournalKeeper:
    """Return a node's keeper, whose node is a mirror for nobody."""
    settlements = Settlements()
    mirroring = Mirroring(
        node=node, peer_address=NOWHERE, settlements=settlements, limit_bytes=0
    )
    return JournalKeeper(
        node=node,
        boot=boot,
        log=log,
        telemetry=build_telemetry(),
        settlements=settlements,
        mirroring=mirroring,
        waiting=WaitingRecords(limit_bytes=1000),
    )
