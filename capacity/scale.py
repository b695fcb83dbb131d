"""The design scale and the bounds, from docs/design.md sections 1 and 2."""

from typing import Final

NODES: Final = 410
RUNNERS: Final = 600
REQUESTS_PER_SECOND: Final = 4900
TOKENS_PER_SECOND: Final = 1_100_000
PROGRAMS: Final = 67_000
TURNS: Final = 400
WORKSPACES: Final = 2700
ZONES: Final = 6
REGIONS: Final = 3
CHANGES_PER_DAY: Final = 1800
FAILURES_PER_DAY: Final = 19
RESTARTS_PER_DAY: Final = 57
PARTITIONS: Final = 48
DAY_SECONDS: Final = 86_400
HISTORY_BYTES: Final = 2_000_000

CORE_PERCENT: Final = 4.9
MEMORY_BYTES: Final = 67_108_864
BYTES_PER_SECOND: Final = 3000
APPENDS_PER_SECOND: Final = 240
CONFIGURATION_SECONDS: Final = 3.0
TAKEOVER_SECONDS: Final = 3.0
FIRST_TOKEN_MILLISECONDS: Final = 5.0
TOKEN_MILLISECONDS: Final = 0.2

# At most one node in 8.5 owns a partition, and 48 of them relay as owners.
PROGRAMS_PER_PARTITION: Final = PROGRAMS / PARTITIONS
