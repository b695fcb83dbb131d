"""Load for gateway processes: turns, tool calls and servers to answer them."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from http import HTTPStatus
from typing import Any, Final

import gevent

from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
)
from tests.builders_gateway_servers import (
    CallerSocket,
    ScriptedServer,
    answer_with,
    make_answer,
)
from tests.platform.builders_platform import (
    HOST,
    make_configuration,
    make_entry,
)
from tests.platform.standin_store import StandinStore

# Servers in the list of the grown deployments, which get no requests here.
OTHER_SERVER_COUNT: Final = 30
FRONT_PORT: Final = 8149
# The events of a turn and the interval between them.
EVENTS_PER_TURN: Final = 10
EVENT_INTERVAL_SECONDS: Final = 0.01
TOOL_ANSWER_BYTES: Final = 800
EVENT: Final = b'one token of an answer, in a dozen words'
PROMPT: Final = 'How long is the wait? '
TURNS_PER_PROGRAM: Final = 4


def send_turn(address: str, number: int) -> None:
    """Send the turn with this number and read its answer."""
    program, turn = divmod(number, TURNS_PER_PROGRAM)
    headers = [
        'Token-Usage: 1460,80',
        'Token-Budget: 100000',
        'Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250',
        f'Program-Id: p{program}',
    ]
    # Turns of a program are sent a second apart, so the previous one has ended.
    if turn:
        headers.append(f'Previous-Turn: turn-{number - 1}')
    _send_request(address, f'POST /chat/{number}', f'turn-{number}', headers)


def send_tool_call(address: str, number: int) -> None:
    """Send a call of a tool and read its answer."""
    _send_request(address, f'POST /look/{number}', f'tool-{number}', [])


def _send_request(
    address: str, request_line: str, request_id: str, headers: list[str]
) -> None:
    lines = [
        f'{request_line} HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {request_id}',
        'Deadline-Ms: 3000',
        f'Content-Length: {len(PROMPT)}',
        *headers,
        '',
        PROMPT,
    ]
    caller = CallerSocket(address=(address, FRONT_PORT))
    caller.sock.sendall('\r\n'.join(lines).encode())
    answer = caller.read_answer()
    caller.sock.close()
    if answer.head is None or answer.head.status != HTTPStatus.OK:
        raise RuntimeError(f'{request_id} ended with {answer.head}')


@contextmanager
def start_standins() -> Iterator[StandinStore]:
    store = StandinStore()
    engine = ScriptedServer(script=answer_turn)
    tool = ScriptedServer(
        script=answer_with(make_answer(b'x' * TOOL_ANSWER_BYTES))
    )
    with ExitStack() as stack:
        for standin in (engine, tool, store):
            stack.callback(standin.close)
        store.put('keyed.op', 'config', make_configuration())
        _put_server(store, 'engines', engine.address)
        _put_server(store, 'desks', tool.address)
        _put_server(store, 'desks2', tool.address)
        for number in range(OTHER_SERVER_COUNT):
            # They only make the list longer: no route leads to them.
            _put_server(store, f'other-{number}', f'127.0.0.1:{number}')
        yield store


def _put_server(store: StandinStore, service: str, address: str) -> None:
    entry = make_entry(address=address, upstream=service)
    store.put('keyed.servers', f'i-{service}', entry)


def answer_turn(sock: Any, _request: HttpRequest) -> bool:
    """Answer a turn with one event per interval."""
    sock.sendall(
        b'HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n'
        b'Content-Type: text/event-stream\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n'
    )
    for number in range(1, EVENTS_PER_TURN + 1):
        event = b'id: %d\ndata: %b\n\n' % (number, EVENT)
        sock.sendall(b'%x\r\n%b\r\n' % (len(event), event))
        gevent.sleep(EVENT_INTERVAL_SECONDS)
    sock.sendall(b'0\r\n\r\n')
    return True
