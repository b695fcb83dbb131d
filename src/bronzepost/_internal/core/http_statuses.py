"""The numbers that are statuses of HTTP."""

from typing import Final

_FIRST: Final = 100
_LAST: Final = 599


def is_status(number: int) -> bool:
    """Return whether a number is a status (RFC 9110, 15).

    A server that sends another number is in trouble, and has not answered.

    >>> is_status(200), is_status(0), is_status(600)
    (True, False, False)
    """
    return _FIRST <= number <= _LAST
