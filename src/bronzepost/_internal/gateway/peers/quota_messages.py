"""Messages between gateway processes about the quotas of workspaces."""

import msgspec


class LendShares(msgspec.Struct, frozen=True, kw_only=True, tag='lend_shares'):
    """Lend the sender's share of the quotas of some partitions, or renew it.

    ``share`` is the part of all quotas, for ``seconds``. ``number`` grows with
    each message of a sender. ``recalled`` partitions are to be returned at once.
    The owner counts the loan from its clock reading ``echo`` on, which its last
    answer to the sender had; not at all without one, or if its ``epoch`` was
    another.
    """

    number: int
    partitions: tuple[int, ...]
    share: float
    seconds: float
    recalled: tuple[int, ...] = ()
    epoch: int = 0
    echo: float | None = None


class SharesHeld(msgspec.Struct, frozen=True, kw_only=True, tag='shares_held'):
    """Answer to ``LendShares``, or an owner that stops and returns all loans.

    ``clock`` is read by the owner, in a process that ``epoch`` names. The owner
    no longer counts the loans of the partitions ``returned``, as of the message
    ``number`` of the lender.
    """

    number: int
    epoch: int
    clock: float
    returned: tuple[int, ...] = ()


class RequestQuota(
    msgspec.Struct, frozen=True, kw_only=True, tag='request_quota'
):
    """Ask the owner of a workspace's quota for a token of one request.

    The token has to be free within ``max_wait_seconds``. ``rate``, ``burst`` and
    ``version`` are the quota as the sender's configuration has it.
    """

    call_id: int
    workspace: str
    rate: float
    burst: float
    version: int
    is_first_turn: bool = False
    max_wait_seconds: float = 0


class QuotaDecided(
    msgspec.Struct, frozen=True, kw_only=True, tag='quota_decided'
):
    """Answer to ``RequestQuota``.

    The request may be sent after ``wait_seconds`` if it ``is_granted``, otherwise
    its caller may ask again then. A VM that holds no share is no owner, and
    decides nothing.
    """

    call_id: int
    is_owner: bool
    is_granted: bool = False
    wait_seconds: float = 0


class SpendQuota(msgspec.Struct, frozen=True, kw_only=True, tag='spend_quota'):
    """Tell the owner of a quota of a send that took no token before it.

    ``tokens`` is negative for a request that was not run: its token returns.
    """

    workspace: str
    tokens: int


QuotaMessage = (
    LendShares | SharesHeld | RequestQuota | QuotaDecided | SpendQuota
)
