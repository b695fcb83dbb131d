"""What this VM last heard of the owners that it lends to."""

import dataclasses
import math

from bronzepost._internal.gateway.peers.quota_messages import SharesHeld


@dataclasses.dataclass(kw_only=True, slots=True)
class Contact:
    """The exchange of messages with an owner, in this VM's monotonic seconds.

    ``clock`` is the last reading of the owner's clock, received at ``heard_at``,
    in its process ``epoch``. ``unanswered_at`` is the time of the first message
    that it has not answered.
    """

    sent_at: float = -math.inf
    heard_at: float = -math.inf
    unanswered_at: float = math.inf
    epoch: int = 0
    clock: float | None = None
    is_echo_old: bool = True

    def record_sent(self, at: float, *, oldest_echo_at: float) -> None:
        """Record a message to the owner, with its last reading as the echo."""
        self.sent_at = at
        self.unanswered_at = min(self.unanswered_at, at)
        self.is_echo_old = self.heard_at < oldest_echo_at

    def record_answer(self, message: SharesHeld, *, at: float) -> None:
        """Record an answer of the owner, unless a newer one came before it."""
        self.unanswered_at = math.inf
        is_other = self.clock is None or message.epoch != self.epoch
        if is_other or message.clock >= (self.clock or 0):
            self.epoch = message.epoch
            self.clock = message.clock
            self.heard_at = at


class OwnerContacts:
    """The contacts with owners by name."""

    def __init__(self) -> None:
        """Start without contacts."""
        self._contacts_by_owner: dict[str, Contact] = {}

    def find(self, owner: str) -> Contact:
        """Return the contact with an owner, a new one if there is none."""
        return self._contacts_by_owner.setdefault(owner, Contact())

    def pop_unanswered(self, *, before: float) -> list[str]:
        """Return the owners that have not answered since a time, once each."""
        silent = [
            owner
            for owner, contact in self._contacts_by_owner.items()
            if contact.unanswered_at <= before
        ]
        for owner in silent:
            self._contacts_by_owner[owner].unanswered_at = math.inf
        return silent
