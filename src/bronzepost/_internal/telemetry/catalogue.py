"""Catalogue of the metrics."""

import enum


class Kind(enum.StrEnum):
    """How a statsd server combines the values of a metric."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    TIMING = 'timing'


COUNTER = Kind.COUNTER
GAUGE = Kind.GAUGE
TIMING = Kind.TIMING

# Units.
CALLS = 'calls'
RECORDS = 'records'
TOKENS = 'tokens'
BYTES = 'bytes'
MILLISECONDS = 'ms'


class Metric(enum.Enum):
    """Every metric that a node sends: kind, unit and description."""

    # One of the two figures that the scheduler is judged by. The other, cache
    # that was filled and evicted unused, is counted by the engines.
    PROGRAM_LATENCY = TIMING, MILLISECONDS, 'Start to end of a program.'

    CALLS_ANSWERED = COUNTER, CALLS, 'Calls answered in full.'
    CALLS_REFUSED = COUNTER, CALLS, 'Calls refused, by code.'
    CALLS_FORWARDED = COUNTER, CALLS, 'Calls sent on to the owner.'
    CALLS_RETRIED = COUNTER, CALLS, 'Calls sent to a second server.'
    CALLS_RUNNING = GAUGE, CALLS, 'Calls that have been sent.'
    FIRST_TOKEN = TIMING, MILLISECONDS, 'Request to first token.'
    STREAMS_RESUMED = COUNTER, 'streams', 'Streams continued at an offset.'
    TOKENS_PROMPT = COUNTER, TOKENS, 'Prompt tokens.'
    TOKENS_OUTPUT = COUNTER, TOKENS, 'Output tokens.'
    TOKENS_CACHED = COUNTER, TOKENS, 'Prompt tokens found in a cache.'

    PROGRAMS_LIVE = GAUGE, 'programs', 'Programs of the owned partitions.'
    PROGRAMS_ENDED = COUNTER, 'programs', 'Programs ended, by reason.'
    PARTITIONS_OWNED = GAUGE, 'partitions', 'Partitions with a claim in force.'
    PARTITIONS_LOST = COUNTER, 'partitions', 'Claims lost to another node.'

    LOG_APPENDS = COUNTER, 'appends', 'Appends accepted by the log.'
    LOG_ERRORS = COUNTER, 'appends', 'Appends without a good answer.'
    LOG_APPEND_TIME = TIMING, MILLISECONDS, 'Append to its answer.'
    BYTES_PENDING = GAUGE, BYTES, 'Size of the records that wait.'
    RECORDS_PENDING = GAUGE, RECORDS, 'Records that wait for the log.'
    RECORDS_INVALID = COUNTER, RECORDS, 'Records of another epoch.'

    MEMBERS_LIVE = GAUGE, 'nodes', 'Nodes taken for alive.'
    MEMBERS_SUSPECTED = GAUGE, 'nodes', 'Nodes suspected.'
    PEER_MESSAGES = GAUGE, 'messages', 'Messages sent to peers since the start.'
    PEER_REJECTED = (
        GAUGE,
        'messages',
        'Messages without a valid key since the start.',
    )

    CONFIGURATION_OFFSET = GAUGE, 'offset', 'Last record in force.'

    RUNNERS_LIVE = GAUGE, 'runners', 'Runners that take work.'
    RUNNERS_LEAVING = GAUGE, 'runners', 'Runners that are leaving.'
    SESSIONS_SWEPT = COUNTER, 'sessions', 'Sessions freed by the sweep.'

    TICK_TIME = TIMING, MILLISECONDS, 'Time that a tick takes.'
    TICK_DELAY = TIMING, MILLISECONDS, 'Time by which a tick is late.'
    MEMORY = GAUGE, BYTES, 'Resident size of the process.'
    SPANS_EXPORTED = COUNTER, 'spans', 'Spans that the endpoint accepted.'
    SPANS_DROPPED = COUNTER, 'spans', 'Spans dropped by a full queue.'
    SPANS_FAILED = COUNTER, 'spans', 'Spans that the endpoint did not accept.'

    def __init__(self, kind: Kind, unit: str, description: str) -> None:
        """Take the columns of the catalogue."""
        self.kind = kind
        self.unit = unit
        self.description = description

    @property
    def metric_name(self) -> str:
        """Return the name that follows the prefix."""
        return self.name.lower()
