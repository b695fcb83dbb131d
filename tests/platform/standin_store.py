"""Stand-in of the platform's store, in the process of the test."""

import base64
import dataclasses
import functools
import struct
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

import gevent
import msgspec
from gevent.pywsgi import WSGIHandler, WSGIServer

READ_HEADER = struct.Struct('>QQ')
RECORD_LENGTH = struct.Struct('>I')
POLL_INTERVAL_SECONDS = 0.02
WITHHELD_SECONDS = 10.0

Partition = tuple[str, int]
Record = tuple[str, bytes]
# Changes the content of an entry of the list of backend servers.
Rewrite = Callable[[bytes], bytes]
Handler = Callable[[dict[str, str], bytes], tuple[str, bytes]]


@dataclasses.dataclass(kw_only=True)
class StoreView:
    """What one port of the store shows, and its failures.

    With ``is_refusing`` it answers 503 and does nothing. With ``is_withholding``
    it does not answer reads that wait for new configurations.
    """

    rewrite: Rewrite
    address: str = ''
    is_refusing: bool = False
    is_withholding: bool = False


class UnloggedHandler(WSGIHandler):
    """A request handler without an access log."""

    def log_request(self) -> None:
        """Log nothing."""


class StandinStore:
    """Keyed topics over HTTP, with switches for the store's failures.

    With ``is_down`` it answers 503 and does nothing. With ``loses_appends`` it
    executes appends and does not answer them. Otherwise it executes all appends
    and answers one of ``appends_per_answer``. Each answer is delayed by
    ``delay_seconds``. Calls that name one of ``refused_topics`` get 503.
    """

    def __init__(self) -> None:
        """Listen on a free port of the loopback interface."""
        self.is_down = False
        self.loses_appends = False
        self.appends_per_answer = 1
        self.delay_seconds: float = 0
        self.refused_topics: set[str] = set()
        self.records: dict[Partition, list[Record]] = {}
        self._append_count = 0
        self._servers: list[WSGIServer] = []
        self.views_by_address: dict[str, StoreView] = {}
        self.address = self.open_view(bytes)

    def open_view(self, rewrite: Rewrite) -> str:
        """Listen on one more port, where entries of servers are rewritten.

        Return the address. A VM that reads the list there has links of its own.
        """
        view = StoreView(rewrite=rewrite)
        server = WSGIServer(
            ('127.0.0.1', 0),
            functools.partial(self._handle_request, view),
            log=None,
            handler_class=UnloggedHandler,
        )
        server.start()
        self._servers.append(server)
        view.address = f'127.0.0.1:{server.server_port}'
        self.views_by_address[view.address] = view
        return view.address

    def put(self, topic: str, key: str, body: Any) -> None:
        """Append a record as the operator or a backend server does."""
        content = body if isinstance(body, bytes) else msgspec.json.encode(body)
        self.records.setdefault((topic, 0), []).append((key, content))

    def list_keys(self, prefix: str) -> set[str]:
        """Return the keys of the topics whose names begin with a prefix."""
        newest = {
            key: content
            for (name, _), records in self.records.items()
            if name.startswith(prefix)
            for key, content in records
        }
        return {key for key, content in newest.items() if content}

    def end_failures(self) -> None:
        """End all failures."""
        self.is_down = False
        self.loses_appends = False
        self.appends_per_answer = 1
        self.delay_seconds = 0
        for view in self.views_by_address.values():
            view.is_refusing = False
            view.is_withholding = False

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.stop()

    def _handle_request(
        self, view: StoreView, environ: dict[str, Any], start: Any
    ) -> list[bytes]:
        query = {
            name: texts[0]
            for name, texts in parse_qs(environ['QUERY_STRING']).items()
        }
        body = environ['wsgi.input'].read()
        gevent.sleep(self.delay_seconds)
        is_refused = query['topicName'] in self.refused_topics
        if self.is_down or view.is_refusing or is_refused:
            start('503 Down', [])
            return [b'']
        rewrite = view.rewrite
        if query['topicName'] != 'keyed.servers':
            rewrite = bytes
        handlers: dict[str, Handler] = {
            '/api/log-append': self._append,
            '/api/log-newest': functools.partial(self._list_newest, rewrite),
            '/api/log-read': functools.partial(self._read, rewrite),
        }
        status, content = handlers[environ['PATH_INFO']](query, body)
        if view.is_withholding and query['topicName'] == 'keyed.op':
            # Longer than clients wait.
            gevent.sleep(WITHHELD_SECONDS)
        start(status, [('Content-Length', str(len(content)))])
        return [content]

    def _find_records(self, query: dict[str, str]) -> list[Record]:
        partition = (query['topicName'], int(query['part']))
        return self.records.setdefault(partition, [])

    def _append(self, query: dict[str, str], body: bytes) -> tuple[str, bytes]:
        records = self._find_records(query)
        if 'at' in query and int(query['at']) != len(records):
            return '412 No', msgspec.json.encode({'endOffset': len(records)})
        first = len(records)
        position = 0
        while position < len(body):
            size = RECORD_LENGTH.unpack_from(body, position)[0]
            position += RECORD_LENGTH.size
            records.append(split_key(body[position : position + size]))
            position += size
        self._append_count += 1
        if self.loses_appends or self._append_count % self.appends_per_answer:
            gevent.sleep(10)
        answer = {'logOffset': first, 'endOffset': len(records)}
        return '200 OK', msgspec.json.encode(answer)

    def _list_newest(
        self, rewrite: Rewrite, query: dict[str, str], _body: bytes
    ) -> tuple[str, bytes]:
        records = self._find_records(query)
        newest = {
            key: (offset, content)
            for offset, (key, content) in enumerate(records)
        }
        listed = [
            {
                'key': key,
                'value': base64.b64encode(rewrite(content)).decode(),
                'logOffset': offset,
            }
            for key, (offset, content) in sorted(newest.items())
            if content and key > query.get('after', '')
        ]
        answer = {
            'items': listed,
            'hasMore': False,
            'endOffset': len(records),
        }
        return '200 OK', msgspec.json.encode(answer)

    def _read(
        self, rewrite: Rewrite, query: dict[str, str], _body: bytes
    ) -> tuple[str, bytes]:
        records = self._find_records(query)
        start = int(query['fromRev'])
        remaining_seconds = int(query['waitTimeoutMs']) / 1000
        while len(records) <= start and remaining_seconds > 0:
            gevent.sleep(POLL_INTERVAL_SECONDS)
            remaining_seconds -= POLL_INTERVAL_SECONDS
        blocks = [READ_HEADER.pack(len(records), 0)]
        for key, content in records[start:]:
            record = bytes((len(key),)) + key.encode() + rewrite(content)
            blocks.append(RECORD_LENGTH.pack(len(record)) + record)
        return '200 OK', b''.join(blocks)


def split_key(record: bytes) -> tuple[str, bytes]:
    """Return the key and the value of a record of a keyed topic."""
    size = record[0]
    return record[1 : size + 1].decode(), record[size + 1 :]
