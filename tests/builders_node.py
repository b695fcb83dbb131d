"""Builders of the components of a node."""

from bronzepost._internal.node.callers.http_exchange import ExchangeClient
from bronzepost._internal.node.ledger.journal_keeper import JournalKeeper
from bronzepost._internal.node.ledger.log_client import LogClient
from bronzepost._internal.node.ledger.mirroring import Mirroring
from bronzepost._internal.node.ledger.settlements import Settlements
from bronzepost._internal.node.ledger.waiting_records import WaitingRecords
from tests.builders_telemetry import build_telemetry

UNUSED_ADDRESS = '127.0.0.1:1'


def build_log_client(address: str = UNUSED_ADDRESS) -> LogClient:
    """Return a log client; at the default address no server listens."""
    return LogClient(
        exchange_client=ExchangeClient(address=address, idle_timeout_seconds=5)
    )


def build_keeper(
    node: str, log: LogClient, *, boot: str = 'a1'
) -> JournalKeeper:
    """Return a journal keeper whose node mirrors no other node's records."""
    settlements = Settlements()
    mirroring = Mirroring(
        node=node,
        peer_address=UNUSED_ADDRESS,
        settlements=settlements,
        limit_bytes=0,
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
