"""Build the parts of a node from its settings."""

import dataclasses
import secrets
from collections.abc import Callable
from typing import Final

from bronzepost._internal.core.rendezvous import PARTITION_COUNT
from bronzepost._internal.core.retry_budget import RetryBudget
from bronzepost._internal.core.scheduling.tables import SchedulingTables
from bronzepost._internal.node.answers import AnswerStore
from bronzepost._internal.node.backend_directory import BackendDirectory
from bronzepost._internal.node.cache_events import CacheEventReader
from bronzepost._internal.node.chat_calls import ChatCalls
from bronzepost._internal.node.cluster import Cluster
from bronzepost._internal.node.engine_memory import EngineMemory
from bronzepost._internal.node.forwarding import Forwarder, OwnerLookup
from bronzepost._internal.node.http_exchange import HttpPeer
from bronzepost._internal.node.journal_keeper import JournalKeeper
from bronzepost._internal.node.log_client import LogClient
from bronzepost._internal.node.mirroring import Mirroring
from bronzepost._internal.node.model_call import ModelCallRunner
from bronzepost._internal.node.partitions import Partitions
from bronzepost._internal.node.pauses import Pauses
from bronzepost._internal.node.program_calls import ProgramCalls
from bronzepost._internal.node.program_ends import ProgramEnds
from bronzepost._internal.node.service_calls import ServiceCalls
from bronzepost._internal.node.settlements import Settlements
from bronzepost._internal.node.waiting_records import WaitingRecords
from bronzepost._internal.settings import Settings
from bronzepost._internal.telemetry.start import Telemetry

PLATFORM_IDLE_SECONDS: Final = 2.0
_MILLISECONDS: Final = 1000
_BOOT_BYTES: Final = 6


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Storage:
    """The parts that keep what must last."""

    log: LogClient
    keeper: JournalKeeper
    programs: ProgramCalls
    mirroring: Mirroring


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Runners:
    """The parts that know the backend servers."""

    directory: BackendDirectory
    memory: EngineMemory
    pauses: Pauses
    cache_events: CacheEventReader


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallPaths:
    """The parts that move calls."""

    chats: ChatCalls
    services: ServiceCalls
    partitions: Partitions
    ends: ProgramEnds
    forwarder: Forwarder


@dataclasses.dataclass(kw_only=True, slots=True)
class Keys:
    """The keys in force; they can be replaced while the node runs."""

    peers: tuple[str, ...]
    operators: tuple[str, ...]


def make_boot() -> str:
    """Return a name that no other process of the system has."""
    return secrets.token_hex(_BOOT_BYTES)


def build_storage(
    settings: Settings, telemetry: Telemetry, boot: str
) -> Storage:
    """Return the parts that write to the log."""
    log = LogClient(
        peer=HttpPeer(
            address=settings.platform.log_address,
            idle_seconds=PLATFORM_IDLE_SECONDS,
        )
    )
    settlements = Settlements()
    mirroring = Mirroring(
        node=settings.node.name,
        peer_address=settings.node.peer_address,
        settlements=settlements,
        limit_bytes=settings.limits.pending_bytes,
    )
    keeper = JournalKeeper(
        node=settings.node.name,
        boot=boot,
        log=log,
        telemetry=telemetry,
        settlements=settlements,
        mirroring=mirroring,
        waiting=WaitingRecords(limit_bytes=settings.limits.pending_bytes),
    )
    programs = ProgramCalls(
        keeper=keeper, answers=AnswerStore(log=log), mirroring=mirroring
    )
    return Storage(
        log=log, keeper=keeper, programs=programs, mirroring=mirroring
    )


def build_runners(
    settings: Settings, telemetry: Telemetry, storage: Storage
) -> Runners:
    """Return the parts that watch the backend servers."""
    tables = SchedulingTables(
        zone_latency_seconds_by_pair=_read_distances(settings)
    )
    directory = BackendDirectory(
        tables=tables,
        vm_list=HttpPeer(
            address=settings.platform.vm_list_address,
            idle_seconds=PLATFORM_IDLE_SECONDS,
        ),
    )
    memory = EngineMemory(
        directory=directory,
        keeper=storage.keeper,
        node=settings.node.name,
        metrics=telemetry.metrics,
    )
    return Runners(
        directory=directory,
        memory=memory,
        pauses=Pauses(tables=tables, memory=memory),
        cache_events=CacheEventReader(directory=directory),
    )


def build_call_paths(
    settings: Settings,
    telemetry: Telemetry,
    storage: Storage,
    runners: Runners,
    cluster: Cluster,
    keys: Keys,
) -> CallPaths:
    """Return the parts that move calls."""
    retry_budget = RetryBudget()
    zone = settings.node.availability_zone
    runner = ModelCallRunner(
        directory=runners.directory,
        retry_budget=retry_budget,
        telemetry=telemetry,
    )
    chats = ChatCalls(
        programs=storage.programs,
        runner=runner,
        directory=runners.directory,
        memory=runners.memory,
        pauses=runners.pauses,
        find_memory_share=_memory_share_finder(storage.keeper),
        availability_zone=zone,
    )
    services = ServiceCalls(
        programs=storage.programs,
        directory=runners.directory,
        retry_budget=retry_budget,
        tracer=telemetry.tracer,
        availability_zone=zone,
    )
    partitions = Partitions(
        node=settings.node.name,
        keeper=storage.keeper,
        list_serving=cluster.list_serving,
        list_boots=cluster.list_boots,
        may_claim=cluster.may_claim,
        list_running=lambda: storage.programs.running_by_program,
    )
    owner_lookup = OwnerLookup(
        find_owner=partitions.find_owner,
        find_address=cluster.find_forward_address,
        is_live=lambda member: member in cluster.list_boots(),
        find_peer_key=lambda: next(iter(keys.peers), ''),
    )
    return CallPaths(
        chats=chats,
        services=services,
        partitions=partitions,
        ends=ProgramEnds(
            keeper=storage.keeper,
            memory=runners.memory,
            programs=storage.programs,
        ),
        forwarder=Forwarder(owner_lookup=owner_lookup, telemetry=telemetry),
    )


def list_models(directory: BackendDirectory) -> list[tuple[str, str]]:
    """Return the pairs of model and service that runners serve."""
    servers = directory.tables.backend_servers_by_id.values()
    pairs = {
        (server.model, server.service) for server in servers if server.model
    }
    return sorted(pairs)


def _memory_share_finder(keeper: JournalKeeper) -> Callable[[], float]:
    def find_memory_share() -> float:  # noqa: WPS430
        owned = max(1, len(keeper.list_owned_journals()))
        return owned / PARTITION_COUNT

    return find_memory_share


def _read_distances(settings: Settings) -> dict[tuple[str, str], float]:
    seconds_by_pair: dict[tuple[str, str], float] = {}
    for distance in settings.distances:
        first, second = distance.between
        seconds = distance.milliseconds / _MILLISECONDS
        seconds_by_pair[first, second] = seconds
        seconds_by_pair[second, first] = seconds
    return seconds_by_pair
