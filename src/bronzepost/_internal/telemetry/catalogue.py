"""Catalogue of the metrics that a node sends to statsd."""

import enum


class Kind(enum.StrEnum):
    """How a statsd server combines the values of a metric."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    TIMING = 'timing'


COUNTER = Kind.COUNTER
GAUGE = Kind.GAUGE
TIMING = Kind.TIMING

# Units of the metrics.
CALLS = 'calls'
RECORDS = 'records'
TOKENS = 'tokens'
BYTES = 'bytes'
MILLISECONDS = 'ms'


class Metric(enum.Enum):
    """Every metric that a node sends: kind, unit and description."""

    # One of the two measures of the scheduler's quality. The other, cache that
    # is filled and evicted unused, is counted by the engines.
    PROGRAM_LATENCY = (
        TIMING,
        MILLISECONDS,
        'Time from start to end of a program.',
    )

    CALLS_ANSWERED = COUNTER, CALLS, 'Calls answered in full.'
    CALLS_REFUSED = COUNTER, CALLS, 'Calls refused, by code.'
    CALLS_FORWARDED = COUNTER, CALLS, 'Calls forwarded to the owner.'
    CALLS_RETRIED = COUNTER, CALLS, 'Calls sent to a second server.'
    CALLS_RUNNING = GAUGE, CALLS, 'Calls of owned programs in progress.'
    FIRST_TOKEN = (
        TIMING,
        MILLISECONDS,
        'Time from a request to its first token.',
    )
    STREAMS_RESUMED = COUNTER, 'streams', 'Streams resumed at an offset.'
    TOKENS_PROMPT = COUNTER, TOKENS, 'Prompt tokens.'
    TOKENS_OUTPUT = COUNTER, TOKENS, 'Output tokens.'
    TOKENS_CACHED = COUNTER, TOKENS, 'Prompt tokens found in a cache.'

    PROGRAMS_LIVE = GAUGE, 'programs', 'Programs of the owned partitions.'
    PROGRAMS_ENDED = COUNTER, 'programs', 'Programs ended, by reason.'
    PARTITIONS_OWNED = GAUGE, 'partitions', 'Partitions with a claim in force.'
    PARTITIONS_LOST = COUNTER, 'partitions', 'Claims lost to another node.'

    LOG_APPENDS = (
        COUNTER,
        'appends',
        'Appends sent to the log, failed ones too.',
    )
    LOG_ERRORS = COUNTER, 'requests', 'Failed appends to and reads of the log.'
    LOG_APPEND_TIME = TIMING, MILLISECONDS, 'Time from an append to its answer.'
    BYTES_PENDING = GAUGE, BYTES, 'Size of the records not yet in the log.'
    RECORDS_PENDING = GAUGE, RECORDS, 'Records not yet in the log.'
    RECORDS_INVALID = COUNTER, RECORDS, 'Records whose epoch was not in force.'

    MEMBERS_LIVE = GAUGE, 'nodes', 'Nodes not considered dead.'
    MEMBERS_SUSPECTED = GAUGE, 'nodes', 'Nodes suspected of a failure.'
    PEER_MESSAGES = GAUGE, 'messages', 'Messages sent to peers since the start.'
    PEER_REJECTED = (
        GAUGE,
        'messages',
        'Messages without a valid key since the start.',
    )

    CONFIGURATION_OFFSET = (
        GAUGE,
        'offset',
        'Offset of the next record to apply.',
    )

    RUNNERS_LIVE = GAUGE, 'runners', 'Backend servers that accept new work.'
    RUNNERS_LEAVING = GAUGE, 'runners', 'Backend servers that are leaving.'
    SESSIONS_SWEPT = COUNTER, 'sessions', 'Unused engine sessions released.'

    TICK_TIME = TIMING, MILLISECONDS, 'Duration of a tick.'
    TICK_DELAY = TIMING, MILLISECONDS, 'Delay of a tick after its due time.'
    MEMORY = GAUGE, BYTES, 'Peak resident size of the process.'
    SPANS_EXPORTED = COUNTER, 'spans', 'Spans that the endpoint accepted.'
    SPANS_DROPPED = (
        COUNTER,
        'spans',
        'Spans dropped because the queue was full.',
    )
    SPANS_FAILED = COUNTER, 'spans', 'Spans that could not be exported.'

    def __init__(self, kind: Kind, unit: str, description: str) -> None:
        """Set the attributes from the value of a member."""
        self.kind = kind
        self.unit = unit
        self.description = description

    @property
    def metric_name(self) -> str:
        """Return the name as it is sent, without the prefix."""
        return self.name.lower()
