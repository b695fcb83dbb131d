"""The limits that backend servers name, in requests a second of all VMs.

A server in need names its limit in each answer, for as long as it holds. When the
limit has ended, the rate rises step by step: if all VMs sent what they have at
once, the server would soon be in need again.
"""

import dataclasses
import math
import re
from collections.abc import Iterable, Mapping
from typing import Final

# Some request has to reach a server for its answer to say that the limit is over.
MIN_RATE: Final = 0.5
# Above what all VMs together send to one server, so such a limit has no effect.
MAX_RATE: Final = 10000.0
# After the end of a limit the rate doubles each second for this long.
RAMP_SECONDS: Final = 5.0
# A limit that no answer has named or ended for this long is forgotten.
RETENTION_SECONDS: Final = 60.0
_DECIMAL: Final = re.compile(rb'[0-9]+(\.[0-9]+)?')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerLimit:
    """The last limit of a server: ``rate`` requests a second.

    The newest answer that says something about it came at ``heard_at``, and the
    first one without it at ``ended_at``, both in monotonic seconds.
    """

    rate: float
    heard_at: float
    ended_at: float | None = None


LimitTable = Mapping[str, ServerLimit]


def parse_limit(texts: Iterable[bytes]) -> float | None:
    """Return the lowest of the limits in the values of a header.

    None if no value is a decimal number.

    >>> parse_limit([b'9.5', b'12'])
    9.5
    """
    numbers = [
        float(number)
        for text in texts
        for number in map(bytes.strip, text.split(b','))
        if _DECIMAL.fullmatch(number)
    ]
    return min(numbers, default=None)


def record_limit(
    table: LimitTable, server_id: str, *, rate: float, at: float
) -> LimitTable:
    """Return the table after an answer that came at a time and named a limit."""
    known = table.get(server_id)
    if known is not None and known.heard_at > at:
        return table
    return {**table, server_id: ServerLimit(rate=rate, heard_at=at)}


def record_no_limit(
    table: LimitTable, server_id: str, *, at: float
) -> LimitTable:
    """Return the table after an answer that came at a time without a limit."""
    known = table.get(server_id)
    if known is None or known.heard_at > at:
        return table
    ended_at = at if known.ended_at is None else known.ended_at
    ended = dataclasses.replace(known, heard_at=at, ended_at=ended_at)
    return {**table, server_id: ended}


def drop_old_limits(table: LimitTable, *, at: float) -> LimitTable:
    """Return the table without limits that no answer has named for long."""
    oldest = at - RETENTION_SECONDS
    return {
        server_id: limit
        for server_id, limit in table.items()
        if limit.heard_at >= oldest
    }


def find_rate(table: LimitTable, server_id: str, *, at: float) -> float:
    """Return the requests a second that a server takes, infinity without limit."""
    limit = table.get(server_id)
    if limit is None or limit.rate >= MAX_RATE:
        return math.inf
    rate = max(limit.rate, MIN_RATE)
    if limit.ended_at is None:
        is_known = at - limit.heard_at <= RETENTION_SECONDS
        return rate if is_known else math.inf
    elapsed = at - limit.ended_at
    return rate * 2**elapsed if elapsed < RAMP_SECONDS else math.inf
