"""Build the parts of a node from its settings."""

import dataclasses
import secrets
from typing import Final

from bronzepost._internal.core.retry_budget import RetryBudget
from bronzepost._internal.core.scheduling.tables import SchedulingTables
from bronzepost._internal.node.answers import AnswerStore
from bronzepost._internal.node.backend_directory import BackendDirectory
from bronzepost._internal.node.chat_calls import ChatCalls
from bronzepost._internal.node.cluster import Cluster
from bronzepost._internal.node.engine_memory import EngineMemory
from bronzepost._internal.node.forwarding import Forwarder
from bronzepost._internal.node.http_exchange import HttpPeer
from bronzepost._internal.node.journal_keeper import JournalKeeper
from bronzepost._internal.node.log_client import LogClient
from bronzepost._internal.node.model_call import ModelCallRunner
from bronzepost._internal.node.partitions import Partitions
from bronzepost._internal.node.program_calls import ProgramCalls
from bronzepost._internal.node.program_ends import ProgramEnds
from bronzepost._internal.node.service_calls import ServiceCalls
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Runners:
    """The parts that know the backend servers."""

    directory: BackendDirectory
    memory: EngineMemory


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallPaths:
    """The parts that move calls."""

    chats: ChatCalls
    services: ServiceCalls
    partitions: Partitions
    ends: ProgramEnds
    forwarder: Forwarder


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
    keeper = JournalKeeper(
        node=settings.node.name,
        boot=boot,
        log=log,
        metrics=telemetry.metrics,
    )
    programs = ProgramCalls(keeper=keeper, answers=AnswerStore(log=log))
    return Storage(log=log, keeper=keeper, programs=programs)


def build_runners(
    settings: Settings, telemetry: Telemetry, storage: Storage
) -> Runners:
    """Return the parts that watch the backend servers."""
    tables = SchedulingTables(zone_seconds_by_pair=_read_distances(settings))
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
    return Runners(directory=directory, memory=memory)


def build_call_paths(
    settings: Settings,
    telemetry: Telemetry,
    storage: Storage,
    runners: Runners,
    cluster: Cluster,
) -> CallPaths:
    """Return the parts that move calls."""
    retries = RetryBudget()
    zone = settings.node.availability_zone
    runner = ModelCallRunner(
        directory=runners.directory, retries=retries, telemetry=telemetry
    )
    chats = ChatCalls(
        programs=storage.programs,
        runner=runner,
        directory=runners.directory,
        memory=runners.memory,
        availability_zone=zone,
    )
    services = ServiceCalls(
        programs=storage.programs,
        directory=runners.directory,
        retries=retries,
        availability_zone=zone,
    )
    return CallPaths(
        chats=chats,
        services=services,
        partitions=Partitions(
            node=settings.node.name,
            keeper=storage.keeper,
            list_serving=cluster.list_serving,
            list_live=cluster.list_live,
            list_running=lambda: storage.programs.running_by_program,
        ),
        ends=ProgramEnds(keeper=storage.keeper, memory=runners.memory),
        forwarder=Forwarder(
            find_address=cluster.find_forward_address,
            is_live=lambda member: member in cluster.list_live(),
            find_peer_key=lambda: next(iter(settings.peers.keys), ''),
        ),
    )


def list_models(directory: BackendDirectory) -> list[tuple[str, str]]:
    """Return the pairs of model and service that runners serve."""
    servers = directory.tables.backend_servers_by_id.values()
    pairs = {
        (server.model, server.service) for server in servers if server.model
    }
    return sorted(pairs)


def _read_distances(settings: Settings) -> dict[tuple[str, str], float]:
    seconds_by_pair: dict[tuple[str, str], float] = {}
    for distance in settings.distances:
        first, second = distance.between
        seconds = distance.milliseconds / _MILLISECONDS
        seconds_by_pair[first, second] = seconds
        seconds_by_pair[second, first] = seconds
    return seconds_by_pair
