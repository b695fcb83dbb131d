"""Documents of the platform: settings, configurations and server entries."""

from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Any, Final

import msgspec

HOST = 'ficu95.example'
TOKENS_PER_EVENT = 25


def make_settings(**changes: Any) -> bytes:
    """Return a settings file of the platform."""
    fields: dict[str, Any] = {
        'nodeName': 'edge-hall-a-1',
        'role': 'gateway',
        'ip': '127.0.0.1',
        'zone': 'hall-a',
        'region': 'pl-central',
        'listen': {
            'front': '127.0.0.1:8149',
            'readiness': '127.0.0.1:8141',
            'control': '127.0.0.1:8144',
            'directory': '127.0.0.1:8143',
        },
        'portRange': [7380, 7395],
        'seedNodes': ['127.0.0.2:8144'],
        'heartbeatMs': 1200,
        'platform': {'address': '127.0.0.1:8142', 'parts': 2},
        'contractParams': {'gracePeriodS': 8},
        'unknownField': [1],
    }
    return msgspec.json.encode({**fields, **changes})


def make_configuration(version: int = 7) -> dict[str, Any]:
    """Return a configuration with one route of each kind."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'r-chat',
                'host': HOST,
                'pathPrefix': '/chat/',
                'routeType': 'streaming',
                'timeoutMs': 3000,
                'targetLatencyMs': 200,
                'priority': 0,
                'upstream': 'engines',
                'attempts': 2,
                'retainHistory': True,
                'retentionS': 60.0,
                'resumable': False,
            },
            {
                'name': 'r-look',
                'host': HOST,
                'pathPrefix': '/look/',
                'routeType': 'idempotent',
                'timeoutMs': 1200,
                'weightedUpstreams': [
                    {'upstream': 'desks', 'weight': 90},
                    {'upstream': 'desks2', 'weight': 10},
                ],
            },
        ],
        'upstreams': [
            {
                'name': 'engines',
                'maxConnections': 250,
                'inferenceEngine': {
                    'slotCount': 32,
                    'kvCapacityTokens': 1022409,
                    'tokensPerEvent': TOKENS_PER_EVENT,
                    'pinMs': 4000.0,
                },
            },
            {'name': 'desks', 'maxConnections': 110},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }


def make_keyed_configuration(
    version: int, keys_by_tenant: Mapping[str, Sequence[str]]
) -> dict[str, Any]:
    """Return a published configuration whose requests need keys."""
    return {
        **make_configuration(version),
        'tenants': [
            {'name': name, 'apiKeys': keys}
            for name, keys in keys_by_tenant.items()
        ],
    }


def make_large_configuration(routes: int) -> dict[str, Any]:
    """Return a published configuration with ``routes`` routes on ten hosts."""
    document = make_configuration()
    first = document['routes'][0]
    document['routes'] = [
        {
            **first,
            'name': f'r-{number}',
            'host': f'host{number % 10}.example',
            'pathPrefix': f'/path{number}/',
        }
        for number in range(routes)
    ]
    return document


# Deeper than Python's recursion limit.
NESTING: Final = 5000
ODD_FIELDS_BY_NAME: Final[Mapping[str, Any]] = MappingProxyType({
    'port': {'address': '127.0.0.1:65536'},
    'no-port': {'address': '127.0.0.1:0'},
    'long-port': {'address': f'127.0.0.1:{"9" * NESTING}'},
    'other-digits': {'address': '127.0.0.1:\u0663'},
    'host': {'address': 'nowhere.invalid:80'},
    'lines': {'address': '127.0.0.1\r\n:80'},
    'slots': {'slotCount': 10**30},
    'no-slots': {'slotCount': 0},
    'born': {'born': 10**30},
    'state': {'state': 'resting'},
    'type': {'zone': 7},
})


def make_entry(**changes: Any) -> dict[str, Any]:
    """Return the entry of a backend server."""
    fields: dict[str, Any] = {
        'upstream': 'engines',
        'address': '127.0.0.1:8080',
        'zone': 'hall-a',
        'version': 'v1',
        'slotCount': 32,
        'state': 'ready',
        'coldRemainingMs': 0,
        'seq': 4,
        'born': 1780000000000,
    }
    return {**fields, **changes}


def make_odd_entries() -> dict[str, bytes]:
    """Return entries that another writer may have left, by what is odd."""
    whole = msgspec.json.encode(make_entry())
    nested = b''.join((b'[' * NESTING, b']' * NESTING))
    odd = {
        name: msgspec.json.encode(make_entry(**changes))
        for name, changes in ODD_FIELDS_BY_NAME.items()
    }
    return {
        **odd,
        'nested': b'{"x":%b,%b' % (nested, whole[1:]),
        'nested-field': whole.replace(b'"v1"', nested),
        'long-number': whole.replace(b'32', b'9' * NESTING),
        'float-number': whole.replace(b'32', b'1e999'),
        'not-text': b'\xff%b' % whole,
        'bad-text': whole.replace(b'v1', b'\xff'),
        'cut': whole[:-1],
        'list': b'[]',
    }
