"""Limit retries to a share of the calls.

Retries add to the load of an overloaded service, so their number is limited:
each call earns a tenth of a retry.
"""

import dataclasses
from typing import Final

RETRIES_PER_CALL: Final = 0.1
# Retries that a node may make before it has made any call.
INITIAL_RETRIES: Final = 3.0
MAX_SAVED_RETRIES: Final = 10.0


@dataclasses.dataclass(kw_only=True, slots=True)
class RetryBudget:
    """Budget of retries; ``available`` is a fractional number of retries."""

    available: float = INITIAL_RETRIES

    def credit_call(self) -> None:
        """Add the share of a retry that a call earns."""
        earned = self.available + RETRIES_PER_CALL
        self.available = min(MAX_SAVED_RETRIES, earned)

    def spend_retry(self) -> bool:
        """Spend one retry; return False if none is available."""
        if self.available < 1:
            return False
        self.available -= 1
        return True
