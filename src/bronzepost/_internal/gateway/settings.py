"""Settings of a gateway process."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GatewaySettings:
    """The addresses of a gateway, its store and its seeds.

    Other gateways reach backend servers through ``relay_address``.
    Addresses are ``IP:PORT``. ``grace_seconds`` is the time from the signal to
    stop until the process is killed. ``seeds`` are peer addresses, some of
    which may be out of date. The store takes ``store_writes_per_second`` and
    ``store_reads_per_second`` calls a second of all VMs together. The process is
    killed if it uses more than ``memory_bytes``. Backend servers write their
    entries about once in ``server_heartbeat_seconds``; 0 if that is not known.
    """

    name: str
    availability_zone: str
    region: str
    caller_address: str
    readiness_address: str
    directory_address: str
    peer_address: str
    relay_address: str
    metrics_address: str
    store_address: str
    store_partitions: int
    seeds: tuple[str, ...] = ()
    grace_seconds: float = 8.0
    store_writes_per_second: float = 500.0
    store_reads_per_second: float = 500.0
    memory_bytes: int = 128_000_000
    server_heartbeat_seconds: float = 0
