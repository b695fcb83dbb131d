"""Stand-in of the log service: append-only streams in memory."""

from argparse import ArgumentParser, Namespace
from collections import deque
from itertools import islice

import msgspec

from standins.faults import Switches
from standins.pacing import RateLimit
from standins.web import (
    Application,
    Reply,
    Request,
    RequestError,
    get,
    json_reply,
    post,
)

DEFAULT_READ_LIMIT = 1000
# A read ends after the record with which the answer reaches this size.
MAX_READ_BYTES = 8388608


class AppendBody(msgspec.Struct):
    """Body of an append; records are stored as the bytes received."""

    records: list[msgspec.Raw]


class Stream:
    """Retained records of one stream."""

    def __init__(self) -> None:
        """Start empty at offset 0."""
        self.first_offset = 0
        self.records: deque[bytes] = deque()

    @property
    def next_offset(self) -> int:
        """Return the offset that the next record will have."""
        return self.first_offset + len(self.records)

    def append(self, records: list[bytes], *, retained: int) -> None:
        """Add records and drop the oldest beyond ``retained`` records."""
        self.records.extend(records)
        while len(self.records) > max(retained, 1):
            self.records.popleft()
            self.first_offset += 1

    def read(self, *, start: int, limit: int) -> bytes:
        """Return the JSON answer for the records from an offset on."""
        start = max(start, self.first_offset)
        skipped = start - self.first_offset
        entries: list[bytes] = []
        size = 0
        for record in islice(self.records, skipped, skipped + limit):
            offset = start + len(entries)
            entries.append(b'{"offset":%d,"record":%b}' % (offset, record))
            size += len(record)
            if size >= MAX_READ_BYTES:
                break
        return b'{"records":[%b],"first_offset":%d,"next_offset":%d}' % (
            b','.join(entries),
            self.first_offset,
            self.next_offset,
        )


class LogService:
    """HTTP handlers of the log service."""

    def __init__(self, *, switches: Switches, rate_limit: RateLimit) -> None:
        """Start without streams; the first append creates one."""
        self.switches = switches
        self.rate_limit = rate_limit
        self.streams_by_name: dict[str, Stream] = {}

    def append_records(self, request: Request) -> Reply:
        """Append all records of one request at consecutive offsets."""
        self.rate_limit.acquire()
        records = decode_records(request.body)
        stream = self.streams_by_name.setdefault(
            request.captured['stream'], Stream()
        )
        first_offset = stream.next_offset
        stream.append(records, retained=self.switches.retention_records)
        return json_reply({
            'first_offset': first_offset,
            'next_offset': stream.next_offset,
        })

    def read_records(self, request: Request) -> Reply:
        """Return records from an offset on; an unknown stream is empty."""
        stream = self.streams_by_name.get(request.captured['stream'], Stream())
        return Reply(
            content=stream.read(
                start=request.parse_whole_number('from', 0),
                limit=request.parse_whole_number('limit', DEFAULT_READ_LIMIT),
            )
        )

    def list_streams(self, request: Request) -> Reply:
        """Return the next offset of each stream, for tests."""
        return json_reply({
            name: stream.next_offset
            for name, stream in self.streams_by_name.items()
        })


def decode_records(body: bytes) -> list[bytes]:
    """Return the records of an append as JSON texts.

    Raises:
        RequestError: if the body is invalid or a record is not an object.
    """
    try:
        decoded = msgspec.json.decode(body, type=AppendBody)
    except msgspec.MsgspecError as error:
        raise RequestError(400, f'body: {error}') from error
    records = [bytes(record).strip() for record in decoded.records]
    if not all(record.startswith(b'{') for record in records):
        raise RequestError(400, 'records: each record must be an object')
    return records


def add_options(parser: ArgumentParser) -> None:
    """Declare the options of this stand-in."""
    parser.add_argument('--retention-records', type=int, default=200000)
    parser.add_argument('--appends-per-second', type=float, default=500)


def build_application(options: Namespace) -> Application:
    """Return the log service that the options describe."""
    switches = Switches(retention_records=options.retention_records)
    service = LogService(
        switches=switches,
        rate_limit=RateLimit(per_second=options.appends_per_second),
    )
    records = '/streams/(?P<stream>[^/]+)/records'
    return Application(
        switches=switches,
        routes=(
            post(records, service.append_records),
            get(records, service.read_records),
            get('/streams', service.list_streams, is_exempt=True),
        ),
    )
