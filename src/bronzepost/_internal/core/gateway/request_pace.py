"""Space the requests to a server so that they keep to a rate.

This is the generic cell rate algorithm (ITU-T I.371), with turns that may be
reserved ahead: a request whose turn comes soon enough waits for it.
"""

import dataclasses
from typing import Final

# The turns of so many seconds may be used late and at once. In 4 s this admits
# four and a half seconds' worth of requests, and one.
BURST_SECONDS: Final = 0.5
# Requests that could go elsewhere use the late turns of this time only, so that
# there are turns for those that could not.
SPARE_SECONDS: Final = 0.25
# The longest time after which a request without a turn is told to come back.
MAX_RETRY_SECONDS: Final = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pace:
    """The next free turn, and the last time told to a request without a turn.

    Both in monotonic seconds.
    """

    next_at: float
    told_at: float = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TurnDecision:
    """Whether a request has a turn, and the seconds until then.

    Without a turn it may ask again after ``wait_seconds``.
    """

    pace: Pace
    is_granted: bool
    wait_seconds: float


def start_pace(*, rate: float, at: float) -> Pace:
    """Return the pace of a VM that does not know what others have sent."""
    return Pace(next_at=at + 1 / rate)


def take_turn(
    pace: Pace, *, rate: float, at: float, max_wait_seconds: float
) -> TurnDecision:
    """Give a request the next turn if it comes within ``max_wait_seconds``.

    If these are negative, the turn has to have been free for as long.
    Requests without a turn are told different times, so that they do not ask
    again at the same moment.
    """
    turn_at = max(pace.next_at, at - BURST_SECONDS)
    interval = 1 / rate
    if turn_at - at <= max_wait_seconds:
        return TurnDecision(
            pace=dataclasses.replace(pace, next_at=turn_at + interval),
            is_granted=True,
            wait_seconds=max(turn_at - at, 0),
        )
    told_at = max(pace.told_at, turn_at, at) + interval
    if told_at > at + MAX_RETRY_SECONDS:
        told_at = max(turn_at, at + interval)
    return TurnDecision(
        pace=dataclasses.replace(pace, told_at=told_at),
        is_granted=False,
        wait_seconds=told_at - at,
    )
