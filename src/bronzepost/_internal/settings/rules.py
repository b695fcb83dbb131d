"""Types of the values in a settings file.

Each is an annotated type: its ``Rule`` describes and checks what is expected
beyond the Python type. A field adds a ``Description`` of what the value is for.
"""

import dataclasses
import ipaddress
import math
import re
from collections.abc import Callable
from typing import Annotated, Any
from urllib.parse import urlsplit

MAX_PORT = 65535
# Two keys are valid at a time, so that nodes can change keys one by one.
MAX_PEER_KEYS = 2

_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9_.-]{0,63}')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rule:
    """The expected value in words, and a function that checks a value."""

    expected: str
    accepts: Callable[[Any], bool]
    secret: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Description:
    """What a setting is for, and its unit; shown on the reference page."""

    text: str


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of ``IP:port``.

    An IPv6 address is in square brackets, such as ``[::1]:8001``.

    Raises:
        ValueError: if the host is not an IP address or the port is not within
            1 to 65535.
    """
    host, separator, port_text = address.rpartition(':')
    if host.startswith('[') and host.endswith(']'):
        host = str(ipaddress.IPv6Address(host[1:-1]))
    else:
        host = str(ipaddress.IPv4Address(host))
    if not (separator and port_text.isascii() and port_text.isdigit()):
        raise ValueError(f'no port in {address}')
    port = int(port_text)
    if not 1 <= port <= MAX_PORT:
        raise ValueError(f'port {port} is not within 1 to {MAX_PORT}')
    return host, port


def is_address(value: str) -> bool:
    """Return whether the value is an IP address with a port."""
    try:
        split_address(value)
    except ValueError:
        return False
    return True


def is_loopback(address: str) -> bool:
    """Return whether only this machine can reach a valid ``IP:port``."""
    host, _port = split_address(address)
    return ipaddress.ip_address(host).is_loopback


def _is_empty_or_address(value: str) -> bool:
    return not value or is_address(value)


def _is_empty_or_endpoint(value: str) -> bool:
    try:
        parts = urlsplit(value)
    except ValueError:
        return False
    return not value or (parts.scheme == 'http' and is_address(parts.netloc))


def _is_name(value: str) -> bool:
    return _NAME.fullmatch(value) is not None


def _is_key(value: str) -> bool:
    return value.isascii() and value.isprintable() and len(value.split()) == 1


def _is_positive(value: int) -> bool:
    return value > 0


def _is_distance(value: float) -> bool:
    return math.isfinite(value) and value >= 0


def _is_zone_pair(value: tuple[str, str]) -> bool:
    return value[0] != value[1] and all(_is_name(zone) for zone in value)


def _is_key_list(value: tuple[str, ...]) -> bool:
    return len(value) <= MAX_PEER_KEYS


Name = Annotated[
    str,
    Rule(
        expected=(
            'a name of 1 to 64 letters, digits, dots, dashes and underscores'
        ),
        accepts=_is_name,
    ),
]
Address = Annotated[
    str,
    Rule(
        expected='an IP address with a port, such as 127.0.0.1:8001',
        accepts=is_address,
    ),
]
OptionalAddress = Annotated[
    str,
    Rule(
        expected='an IP address with a port, or an empty string for off',
        accepts=_is_empty_or_address,
    ),
]
OptionalEndpoint = Annotated[
    str,
    Rule(
        expected=(
            'a URL such as http://127.0.0.1:4318/v1/traces with an IP address'
            ' and a port, or an empty string for off'
        ),
        accepts=_is_empty_or_endpoint,
    ),
]
Key = Annotated[
    str,
    Rule(
        expected='a key of printable ASCII characters without spaces',
        accepts=_is_key,
        secret=True,
    ),
]
PeerKeys = Annotated[
    tuple[Key, ...],
    Rule(
        expected='a list of one key, or two during key rotation',
        accepts=_is_key_list,
        secret=True,
    ),
]
ByteCount = Annotated[
    int, Rule(expected='a whole number of bytes above 0', accepts=_is_positive)
]
Milliseconds = Annotated[
    float,
    Rule(
        expected='a finite number of milliseconds, 0 or more',
        accepts=_is_distance,
    ),
]
ZonePair = Annotated[
    tuple[str, str],
    Rule(
        expected='a list of two different availability zones',
        accepts=_is_zone_pair,
    ),
]
