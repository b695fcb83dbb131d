"""What this VM last heard of the owners that it lends to."""

import dataclasses
import math

from bronzepost._internal.gateway.peers.quota_messages import SharesHeld


@dataclasses.dataclass(kw_only=True, slots=True)
class Contact:
    """The exchange of messages with an owner, in this VM's monotonic seconds.

    ``clock`` is the last reading of the owner's clock, received at ``heard_at``,
    in its process ``epoch``. ``unanswered_at`` is the time of the first message
    that it has not answered; no loan is renewed until it has. Once it answers, a
    renewal may be due at once.
    """

    sent_at: float = -math.inf
    heard_at: float = -math.inf
    unanswered_at: float = math.inf
    epoch: int = 0
    clock: float | None = None
    is_renewal_due: bool = False

    @property
    def is_answered(self) -> bool:
        """Return whether the owner has answered the last message."""
        return math.isinf(self.unanswered_at)

    def record_sent(self, at: float, *, oldest_echo_at: float) -> None:
        """Record a message to the owner, with its last reading as the echo."""
        self.sent_at = at
        is_echo_old = self.heard_at < oldest_echo_at
        self.is_renewal_due = is_echo_old or not self.is_answered
        self.unanswered_at = min(self.unanswered_at, at)

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
