"""Build the components of a node from its settings."""

import dataclasses
import secrets
from collections.abc import Callable
from typing import Final

from bronzepost._internal.core.rendezvous import PARTITION_COUNT
from bronzepost._internal.core.retry_budget import RetryBudget
from bronzepost._internal.core.scheduling.tables import SchedulingTables
from bronzepost._internal.node.callers.answers import AnswerStore
from bronzepost._internal.node.callers.chat_calls import ChatCalls
from bronzepost._internal.node.callers.http_exchange import ExchangeClient
from bronzepost._internal.node.engines.backend_directory import BackendDirectory
from bronzepost._internal.node.engines.cache_events import CacheEventReader
from bronzepost._internal.node.engines.engine_memory import EngineMemory
from bronzepost._internal.node.engines.forwarding import Forwarder, OwnerLookup
from bronzepost._internal.node.engines.model_call import ModelCallRunner
from bronzepost._internal.node.engines.service_calls import ServiceCalls
from bronzepost._internal.node.ledger.journal_keeper import JournalKeeper
from bronzepost._internal.node.ledger.log_client import LogClient
from bronzepost._internal.node.ledger.mirroring import Mirroring
from bronzepost._internal.node.ledger.partitions import Partitions
from bronzepost._internal.node.ledger.settlements import Settlements
from bronzepost._internal.node.ledger.waiting_records import WaitingRecords
from bronzepost._internal.node.pauses import Pauses
from bronzepost._internal.node.peers.cluster import Cluster
from bronzepost._internal.node.programs.program_calls import ProgramCalls
from bronzepost._internal.node.programs.program_ends import ProgramEnds
from bronzepost._internal.settings import Settings
from bronzepost._internal.telemetry.start import Telemetry

PLATFORM_IDLE_TIMEOUT_SECONDS: Final = 2.0
_MILLISECONDS_PER_SECOND: Final = 1000
_BOOT_ID_BYTES: Final = 6


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StorageComponents:
    """The components that write records to the log."""

    log_client: LogClient
    journal_keeper: JournalKeeper
    program_calls: ProgramCalls
    mirroring: Mirroring


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendComponents:
    """The components that follow the backend servers and their caches."""

    directory: BackendDirectory
    engine_memory: EngineMemory
    pauses: Pauses
    cache_event_reader: CacheEventReader


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallComponents:
    """The components that run calls or forward them to other nodes."""

    chat_calls: ChatCalls
    service_calls: ServiceCalls
    partitions: Partitions
    program_ends: ProgramEnds
    forwarder: Forwarder


@dataclasses.dataclass(kw_only=True, slots=True)
class ActiveKeys:
    """The keys in use; ``Node.replace_keys`` changes them."""

    peers: tuple[str, ...]
    operators: tuple[str, ...]


def generate_boot_id() -> str:
    """Return an identifier that is unique to this run of the process."""
    return secrets.token_hex(_BOOT_ID_BYTES)


def build_storage_components(
    settings: Settings, telemetry: Telemetry, boot: str
) -> StorageComponents:
    """Return the components that write records to the log."""
    log_client = LogClient(
        exchange_client=ExchangeClient(
            address=settings.platform.log_address,
            idle_timeout_seconds=PLATFORM_IDLE_TIMEOUT_SECONDS,
        )
    )
    settlements = Settlements()
    mirroring = Mirroring(
        node=settings.node.name,
        peer_address=settings.node.peer_address,
        settlements=settlements,
        limit_bytes=settings.limits.pending_bytes,
    )
    journal_keeper = JournalKeeper(
        node=settings.node.name,
        boot=boot,
        log=log_client,
        telemetry=telemetry,
        settlements=settlements,
        mirroring=mirroring,
        waiting=WaitingRecords(limit_bytes=settings.limits.pending_bytes),
    )
    program_calls = ProgramCalls(
        journal_keeper=journal_keeper,
        answers=AnswerStore(log=log_client),
        mirroring=mirroring,
    )
    return StorageComponents(
        log_client=log_client,
        journal_keeper=journal_keeper,
        program_calls=program_calls,
        mirroring=mirroring,
    )


def build_backend_components(
    settings: Settings, telemetry: Telemetry, storage: StorageComponents
) -> BackendComponents:
    """Return the components that follow the backend servers."""
    tables = SchedulingTables(
        zone_latency_seconds_by_pair=_index_zone_latencies(settings)
    )
    directory = BackendDirectory(
        tables=tables,
        vm_list_client=ExchangeClient(
            address=settings.platform.vm_list_address,
            idle_timeout_seconds=PLATFORM_IDLE_TIMEOUT_SECONDS,
        ),
    )
    engine_memory = EngineMemory(
        directory=directory,
        journal_keeper=storage.journal_keeper,
        node=settings.node.name,
        metrics=telemetry.metrics,
    )
    return BackendComponents(
        directory=directory,
        engine_memory=engine_memory,
        pauses=Pauses(tables=tables, engine_memory=engine_memory),
        cache_event_reader=CacheEventReader(directory=directory),
    )


def build_call_components(
    settings: Settings,
    telemetry: Telemetry,
    storage: StorageComponents,
    backends: BackendComponents,
    cluster: Cluster,
    active_keys: ActiveKeys,
) -> CallComponents:
    """Return the components that run or forward calls."""
    retry_budget = RetryBudget()
    availability_zone = settings.node.availability_zone
    model_call_runner = ModelCallRunner(
        directory=backends.directory,
        retry_budget=retry_budget,
        telemetry=telemetry,
    )
    chat_calls = ChatCalls(
        program_calls=storage.program_calls,
        model_call_runner=model_call_runner,
        directory=backends.directory,
        engine_memory=backends.engine_memory,
        pauses=backends.pauses,
        find_memory_share=_make_memory_share_lookup(storage.journal_keeper),
        availability_zone=availability_zone,
    )
    service_calls = ServiceCalls(
        program_calls=storage.program_calls,
        directory=backends.directory,
        retry_budget=retry_budget,
        tracer=telemetry.tracer,
        availability_zone=availability_zone,
    )
    partitions = Partitions(
        node=settings.node.name,
        journal_keeper=storage.journal_keeper,
        list_serving=cluster.list_serving,
        list_boots=cluster.list_boots,
        may_claim=cluster.may_claim,
        list_running=lambda: storage.program_calls.running_by_program,
    )
    owner_lookup = OwnerLookup(
        find_owner=partitions.find_owner,
        find_address=cluster.find_forward_address,
        is_live=lambda member: member in cluster.list_boots(),
        find_peer_key=lambda: next(iter(active_keys.peers), ''),
    )
    return CallComponents(
        chat_calls=chat_calls,
        service_calls=service_calls,
        partitions=partitions,
        program_ends=ProgramEnds(
            journal_keeper=storage.journal_keeper,
            engine_memory=backends.engine_memory,
            program_calls=storage.program_calls,
        ),
        forwarder=Forwarder(owner_lookup=owner_lookup, telemetry=telemetry),
    )


def list_models(directory: BackendDirectory) -> list[tuple[str, str]]:
    """Return the sorted pairs of model and service of all backend servers."""
    servers = directory.tables.backend_servers_by_id.values()
    pairs = {
        (server.model, server.service) for server in servers if server.model
    }
    return sorted(pairs)


def _make_memory_share_lookup(
    journal_keeper: JournalKeeper,
) -> Callable[[], float]:
    def find_memory_share() -> float:  # noqa: WPS430
        owned_count = max(1, len(journal_keeper.list_owned_journals()))
        return owned_count / PARTITION_COUNT

    return find_memory_share


def _index_zone_latencies(settings: Settings) -> dict[tuple[str, str], float]:
    seconds_by_pair: dict[tuple[str, str], float] = {}
    for distance in settings.distances:
        first, second = distance.between
        seconds = distance.milliseconds / _MILLISECONDS_PER_SECOND
        seconds_by_pair[first, second] = seconds
        seconds_by_pair[second, first] = seconds
    return seconds_by_pair
