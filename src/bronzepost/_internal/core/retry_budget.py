"""Bound on retries as a share of calls.

Retries of an overloaded service add to its load, so they are paid for by
calls: each call earns a tenth of a retry.
"""

import dataclasses
from typing import Final

RETRY_SHARE: Final = 0.1
# A node that has just started may retry this many calls.
INITIAL_RETRIES: Final = 3.0
MAX_SAVED_RETRIES: Final = 10.0


@dataclasses.dataclass(kw_only=True, slots=True)
class RetryBudget:
    """Retries that may be made now."""

    available: float = INITIAL_RETRIES

    def add_call(self) -> None:
        """Earn the share of a retry that one call is worth."""
        earned = self.available + RETRY_SHARE
        self.available = min(MAX_SAVED_RETRIES, earned)

    def take_retry(self) -> bool:
        """Use one retry; return whether there was one."""
        if self.available < 1:
            return False
        self.available -= 1
        return True
