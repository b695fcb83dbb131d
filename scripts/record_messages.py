"""Record one example of each message and record of a build, or decode them.

    PYTHONPATH=CHECKOUT/src python scripts/record_messages.py record FILE
    PYTHONPATH=CHECKOUT/src python scripts/record_messages.py check FILE

``check`` prints the kinds that the build in CHECKOUT cannot decode, or of which it
loses a part that it knows, as JSON by kind with the reason. The script runs with
builds from 01a0da3 on.
"""

import contextlib
import importlib
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, get_args

from msgspec import DecodeError, inspect, msgpack

# The folders of modules differ between builds.
MESSAGES: Final = ('gateway.peers.messages', 'gateway.messages')
SNAPSHOTS: Final = ('gateway.peers.snapshots', 'gateway.snapshots')
ACCOUNTS: Final = (
    'gateway.programs.allowance_writer',
    'gateway.allowance_writer',
)
TURNS: Final = ('gateway.programs.turn_store', 'gateway.turn_store')
TUNNELS: Final = ('gateway.links.tunnel_frames', 'gateway.tunnel_frames')
PROGRAMS: Final = ('core.gateway.program_account',)
# By the name in recordings: the modules of a type of record, and its name there.
RECORDS: Final = (
    ('stored_account', ACCOUNTS, 'StoredAccount'),
    ('stored_turn', TURNS, '_StoredTurn'),
    ('directory_copy', SNAPSHOTS, 'DirectoryCopy'),
    ('program_account', PROGRAMS, 'ProgramAccount'),
    ('open_tunnel', TUNNELS, 'OpenTunnel'),
    ('tunnel_answer', TUNNELS, 'TunnelAnswer'),
)
_NUMBER: Final = 3


def import_first(names: tuple[str, ...]) -> Any:
    """Return the first of some modules that the build has, None without any."""
    for name in names:
        with contextlib.suppress(ModuleNotFoundError):
            return importlib.import_module(f'bronzepost._internal.{name}')
    return None


def list_types() -> Iterator[tuple[str, Any]]:
    """Yield each type of message and record of the build, with its kind."""
    messages = import_first(MESSAGES)
    for message_type in get_args(messages.GatewayMessage):
        yield str(message_type.__struct_config__.tag), message_type
    for kind, modules, name in RECORDS:
        module = import_first(modules)
        if module is not None:
            yield kind, getattr(module, name)


def make_example(shape: inspect.Type) -> Any:
    """Return a value of a type in which every field is set."""
    if isinstance(shape, inspect.StructType | inspect.DataclassType):
        return shape.cls(**{
            field.name: make_example(field.type) for field in shape.fields
        })
    if isinstance(shape, inspect.DictType):
        key = make_example(shape.key_type)
        return {key: make_example(shape.value_type)}
    if isinstance(shape, inspect.UnionType):
        return make_example(_find_filled(shape))
    if isinstance(shape, inspect.EnumType):
        return list(shape.cls)[-1]
    return _make_plain(shape)


def _make_plain(shape: inspect.Type) -> Any:
    if isinstance(shape, inspect.TupleType):
        return tuple(map(make_example, shape.item_types))
    if isinstance(shape, inspect.VarTupleType | inspect.ListType):
        return (make_example(shape.item_type),)
    if isinstance(shape, inspect.SetType | inspect.FrozenSetType):
        return frozenset((make_example(shape.item_type),))
    plain: dict[type, Any] = {
        inspect.IntType: _NUMBER,
        inspect.FloatType: _NUMBER / 2,
        inspect.StrType: 'text',
        inspect.BoolType: True,
        inspect.BytesType: b'bytes',
    }
    return plain[type(shape)]


def _find_filled(shape: inspect.UnionType) -> inspect.Type:
    return next(
        part for part in shape.types if not isinstance(part, inspect.NoneType)
    )


def record() -> dict[str, Any]:
    """Return the examples of the build that is imported, in hexadecimal."""
    messages = import_first(MESSAGES)
    return {
        'protocol': getattr(messages, 'PROTOCOL', 0),
        'examples': {
            kind: msgpack.encode(make_example(inspect.type_info(shape))).hex()
            for kind, shape in list_types()
        },
    }


def find_failures(recording: dict[str, Any]) -> dict[str, str]:
    """Return the kinds that the build cannot decode whole, with the reasons.

    A field that the build does not know may be lost, and one that the recording
    lacks has its default. What both know is equal.
    """
    types = dict(list_types())
    failures = {}
    for kind, encoded in recording['examples'].items():
        reason = _check(types.get(kind), bytes.fromhex(encoded))
        if reason:
            failures[kind] = reason
    return failures


def _check(shape: Any, content: bytes) -> str:
    if shape is None:
        return 'unknown kind'
    try:
        decoded = msgpack.decode(content, type=shape)
    except DecodeError as error:
        return str(error)
    sent = msgpack.decode(content)
    taken = msgpack.decode(msgpack.encode(decoded))
    return '' if agree(sent, taken) else f'{sent} became {taken}'


def agree(sent: Any, taken: Any) -> bool:
    """Return whether two decoded values are equal in all that both have."""
    if isinstance(sent, dict) and isinstance(taken, dict):
        return all(agree(sent[key], taken[key]) for key in sent.keys() & taken)
    if isinstance(sent, list) and isinstance(taken, list):
        return all(
            agree(*pair) for pair in zip(sent, taken, strict=False)
        ) and bool(sent) == bool(taken)
    return bool(sent == taken)


def main(action: str, path: Path) -> None:
    """Write a recording, or check one."""
    if action == 'record':
        text = json.dumps(record(), indent=1, sort_keys=True)
        path.write_text(f'{text}\n', encoding='utf-8')
    else:
        recording = json.loads(path.read_text(encoding='utf-8'))
        print(json.dumps(find_failures(recording)))


if __name__ == '__main__':
    main(sys.argv[1], Path(sys.argv[2]))
