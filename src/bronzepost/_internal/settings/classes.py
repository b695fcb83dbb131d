"""Classes of the settings file; the reference page is generated from them."""

import dataclasses
from typing import Annotated, Literal

from bronzepost._internal.settings.rules import (
    Address,
    ByteCount,
    Description,
    Key,
    Milliseconds,
    Name,
    OptionalAddress,
    OptionalEndpoint,
    PeerKeys,
    Rule,
    ZonePair,
)

# A history of 490,000 tokens is about 2 MB, and JSON escapes may double that.
DEFAULT_BODY_BYTES = 4194304
DEFAULT_PENDING_BYTES = 8388608

LOG_FORMATS = ('json', 'console')
LogFormat = Annotated[
    Literal['json', 'console'],
    Rule(expected='"json" or "console"', accepts=LOG_FORMATS.__contains__),
]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeSettings:
    """Identity of the node and the addresses it listens on."""

    name: Annotated[
        Name, Description('Name of the node, unique among all nodes.')
    ]
    organisation: Annotated[
        Name, Description('Organisation that runs the node.')
    ]
    region: Annotated[Name, Description('Region of the entry VM.')]
    availability_zone: Annotated[
        Name, Description('Availability zone of the entry VM.')
    ]
    caller_address: Annotated[
        Address, Description('Listens for callers (HTTP).')
    ]
    operator_address: Annotated[
        Address, Description('Listens for operators (HTTP).')
    ]
    peer_address: Annotated[
        Address, Description('Listens for messages of other nodes (pynng).')
    ]
    forward_address: Annotated[
        Address,
        Description('Listens for calls that other nodes forward (HTTP).'),
    ]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerSettings:
    """How the node finds its peers and authenticates to them."""

    seeds: Annotated[
        tuple[Address, ...],
        Description(
            'Peer addresses of nodes to join through; empty: new cluster.'
        ),
    ] = ()
    keys: Annotated[
        PeerKeys,
        Description(
            'Keys shared by all nodes. The first one signs, all are accepted.'
        ),
    ] = dataclasses.field(default=(), repr=False)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OperatorSettings:
    """Who may use the operator port."""

    keys: Annotated[
        tuple[Key, ...],
        Description('Keys that operators present in the Authorization header.'),
    ] = dataclasses.field(default=(), repr=False)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlatformSettings:
    """Addresses of the services of the platform."""

    log_address: Annotated[Address, Description('Log service (HTTP).')]
    vm_list_address: Annotated[Address, Description('VM list (HTTP).')]
    weight_store_address: Annotated[
        OptionalAddress, Description('Weight store (HTTP); empty: none.')
    ] = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LimitSettings:
    """Limits on the memory that the node uses."""

    body_bytes: Annotated[
        ByteCount,
        Description('Largest request body, in bytes; a larger one gets 413.'),
    ] = DEFAULT_BODY_BYTES
    pending_bytes: Annotated[
        ByteCount,
        Description(
            'Largest total size of records not yet in the log, in bytes.'
        ),
    ] = DEFAULT_PENDING_BYTES


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TelemetrySettings:
    """Where log lines, metrics and spans go."""

    log_format: Annotated[
        LogFormat, Description('Format of the log lines.')
    ] = 'json'
    statsd_address: Annotated[
        OptionalAddress, Description('statsd server (UDP); empty: off.')
    ] = ''
    trace_endpoint: Annotated[
        OptionalEndpoint, Description('OTLP over HTTP; empty: off.')
    ] = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Distance:
    """One-way network latency between two availability zones."""

    between: Annotated[ZonePair, Description('The two availability zones.')]
    milliseconds: Annotated[
        Milliseconds, Description('One-way network latency, in milliseconds.')
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
