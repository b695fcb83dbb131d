"""Classes of the settings file; the reference page is made from them."""

import dataclasses
from typing import Annotated, Literal

from bronzepost._internal.settings.rules import (
    Address,
    ByteCount,
    Help,
    Key,
    Milliseconds,
    Name,
    OptionalAddress,
    OptionalEndpoint,
    PeerKeys,
    Rule,
    ZonePair,
)

# A history of 490,000 tokens is about 2 MB, and JSON escapes may double it.
BODY_BYTES = 4194304
PENDING_BYTES = 8388608

LOG_FORMATS = ('json', 'console')
LogFormat = Annotated[
    Literal['json', 'console'],
    Rule(expected='"json" or "console"', accepts=LOG_FORMATS.__contains__),
]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeSettings:
    """Who this process is and where it listens."""

    name: Annotated[Name, Help('Name of the node, unique among all nodes.')]
    organisation: Annotated[Name, Help('Organisation that runs the node.')]
    region: Annotated[Name, Help('Region of the entry VM.')]
    availability_zone: Annotated[
        Name, Help('Availability zone of the entry VM.')
    ]
    caller_address: Annotated[Address, Help('Listens for callers (HTTP).')]
    operator_address: Annotated[Address, Help('Listens for operators (HTTP).')]
    peer_address: Annotated[
        Address, Help('Listens for messages of other nodes (pynng).')
    ]
    forward_address: Annotated[
        Address, Help('Listens for calls that other nodes forward (HTTP).')
    ]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerSettings:
    """How the node finds its peers and proves that it is one."""

    seeds: Annotated[
        tuple[Address, ...],
        Help('Peer addresses of nodes to join through; empty: start alone.'),
    ] = ()
    keys: Annotated[
        PeerKeys,
        Help('Keys shared by all nodes. The first signs, each is accepted.'),
    ] = dataclasses.field(default=(), repr=False)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OperatorSettings:
    """Who may use the operator port."""

    keys: Annotated[
        tuple[Key, ...],
        Help('Keys that operators present in the Authorization header.'),
    ] = dataclasses.field(default=(), repr=False)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlatformSettings:
    """Where the services of the platform are."""

    log_address: Annotated[Address, Help('Log service (HTTP).')]
    vm_list_address: Annotated[Address, Help('VM list (HTTP).')]
    weight_store_address: Annotated[
        OptionalAddress, Help('Weight store (HTTP); empty: none.')
    ] = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LimitSettings:
    """Bounds on what the node holds in memory."""

    body_bytes: Annotated[
        ByteCount, Help('Largest request body, in bytes; above it: 413.')
    ] = BODY_BYTES
    pending_bytes: Annotated[
        ByteCount,
        Help('Largest size of records that wait for the log, in bytes.'),
    ] = PENDING_BYTES


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TelemetrySettings:
    """Where log lines, metrics and spans go."""

    log_format: Annotated[LogFormat, Help('Format of the log lines.')] = 'json'
    statsd_address: Annotated[
        OptionalAddress, Help('statsd server (UDP); empty: off.')
    ] = ''
    trace_endpoint: Annotated[
        OptionalEndpoint, Help('OTLP over HTTP; empty: off.')
    ] = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Distance:
    """One-way distance between two availability zones."""

    between: Annotated[ZonePair, Help('The two availability zones.')]
    milliseconds: Annotated[
        Milliseconds, Help('One-way network distance, in milliseconds.')
    ]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Settings:
    """All settings of one process."""

    node: NodeSettings
    platform: PlatformSettings
    peers: PeerSettings = PeerSettings()
    operators: OperatorSettings = OperatorSettings()
    limits: LimitSettings = LimitSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    distances: tuple[Distance, ...] = ()
