"""Choose the servers that have seen the subject of a request lately.

The servers of a subject are the first of its rendezvous order whose load is
below a bound, as in consistent hashing with bounded loads (Mirrokni et al.,
2018). All VMs rank alike, so none has to tell which servers are warm. A subject
that one server cannot carry has several, so that it does not wait for reports to
show the first one full. Among its servers a request goes to that of the lowest
cost, and elsewhere if all of them are too busy.
"""

import collections
import dataclasses
import enum
import math
from collections.abc import Callable, Iterable, Iterator, Sequence, Set
from typing import Final

import xxhash

from bronzepost._internal.core.gateway.candidates import draw_servers
from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.core.gateway.warm_gain import Group
from bronzepost._internal.core.rendezvous import first_members

# Time constant of the exponential decay by which older requests count less.
# Reports are up to two seconds old, and a subject that begins to be popular has
# to spread before its servers are full for long.
USE_DECAY_SECONDS: Final = 5.0
# That of the count which grows with a burst. It is noisy, and where it is too high a
# subject has more servers than it needs for a few requests.
BURST_DECAY_SECONDS: Final = 1.0
# Bounds the table of subjects. Popular ones are used again before this many
# others have been, and unpopular ones need no count.
MAX_SUBJECTS: Final = 4096
# The part of a server's slots that one subject may fill. The rest is left to other
# subjects that the server is the first for.
SUBJECT_SHARE: Final = 0.25
# A subject with more servers is sent to all of them: each sees it all the time.
MAX_COPIES: Final = 16
# Servers after those of a subject that are tried instead of busy or lost ones.
SPARE_SERVERS: Final = 2
# A subject loses servers only if it needs less than this part of one fewer:
# counts at one of a hundred VMs vary by a third.
SHRINK_SHARE: Final = 0.6
# A server that has just started takes its subjects back over this time, since at
# first all of them are slow.
RAMP_SECONDS: Final = 10.0
# Servers that are compared for a subject that all servers have seen.
TWO_CHOICES: Final = 2
_HASH_BITS: Final = 64
_MILLISECONDS: Final = 1000

FindNumber = Callable[[BackendServer], float]


@dataclasses.dataclass(kw_only=True, slots=True)
class SubjectUse:
    """The requests for a subject at this VM, decayed to ``at``, in s.

    ``burst`` decays faster than ``uses``, by ``BURST_DECAY_SECONDS``.
    ``ranked`` is the beginning of the subject's order of ``servers``.
    """

    uses: float = 0
    burst: float = 0
    at: float = 0
    copies: int = 1
    servers: Sequence[BackendServer] = ()
    ranked: tuple[BackendServer, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Traffic:
    """What turns the requests for a service at one VM into the load of all.

    ``request_seconds`` is the mean time of a request at a server.
    """

    service: str
    vm_count: int
    request_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadLimits:
    """Which servers are too busy to be preferred.

    Servers in ``unwanted_ids`` are not used. ``utilization`` is the mean share of
    the service's slots in use. A server is too busy if its load is above the mean
    by more than the share ``gain`` of its time that a warm request saves, unless
    that share of its slots is more.
    """

    unwanted_ids: Set[str]
    count_in_flight: FindNumber
    find_slots: FindNumber
    utilization: float
    gain: float

    def is_usable(self, server: BackendServer) -> bool:
        """Return whether a server is not avoided."""
        return server.server_id not in self.unwanted_ids

    def is_below(self, server: BackendServer) -> bool:
        """Return whether the load of a server is below the bound."""
        share = max(self.gain, (1 + self.gain) * self.utilization)
        return self.count_in_flight(server) < share * self.find_slots(server)


class Placed(enum.StrEnum):
    """How a request with a subject is placed."""

    WARM = 'warm'
    COLD = 'cold'
    EXPLORED = 'explored'
    SPREAD = 'spread'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WarmChoice:
    """The servers that are compared for a request; all of them if it is empty.

    The time of the request is a sample of the gain if it ``teaches``.
    """

    servers: tuple[BackendServer, ...] = ()
    placed: Placed = Placed.COLD
    teaches: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class Warmth:
    """How a request about a subject is placed.

    ``group`` is None if the subject is not compared. ``choice`` is the last one,
    at whose server ``running`` requests were in flight.
    """

    subject: str
    request_id: str
    group: Group | None
    choice: WarmChoice | None = None
    running: float = 0

    @property
    def placed(self) -> str | None:
        """Return how the request was placed, None before that."""
        return self.choice.placed.value if self.choice else None


class SubjectTable:
    """The subjects of the last requests, at most ``MAX_SUBJECTS``."""

    def __init__(self) -> None:
        """Start without a subject."""
        self._use_by_subject: collections.OrderedDict[str, SubjectUse] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of subjects."""
        return len(self._use_by_subject)

    def find(
        self, subject: str, servers: Sequence[BackendServer]
    ) -> SubjectUse:
        """Return the known uses of a subject, ranked over ``servers``.

        The table stays as it is. ``servers`` is the same object until a server
        changes.
        """
        use = self._use_by_subject.get(subject) or SubjectUse()
        if use.servers is not servers:
            ranked = tuple(rank_servers(servers, subject))
            use = dataclasses.replace(use, servers=servers, ranked=ranked)
        return use

    def record(
        self,
        subject: str,
        servers: Sequence[BackendServer],
        traffic: Traffic,
        *,
        at: float,
    ) -> SubjectUse:
        """Count one request, and return the uses of its subject."""
        use = self.find(subject, servers)
        decay_use(use, at=at)
        # The request itself is left out: the earlier ones alone are an unbiased
        # measure of the rate.
        rate = max(
            use.uses / USE_DECAY_SECONDS, use.burst / BURST_DECAY_SECONDS
        )
        needed = count_needed(rate, servers, traffic)
        use.copies = adapt_copies(use.copies, needed)
        use.uses += 1
        use.burst += 1
        self._use_by_subject[subject] = use
        self._use_by_subject.move_to_end(subject)
        if len(self._use_by_subject) > MAX_SUBJECTS:
            self._use_by_subject.popitem(last=False)
        return use


def rank_servers(
    servers: Iterable[BackendServer], subject: str
) -> Iterator[BackendServer]:
    """Yield the first servers for a subject, in its rendezvous order."""
    servers_by_id = {server.server_id: server for server in servers}
    for server_id in first_members(
        servers_by_id, subject, MAX_COPIES + SPARE_SERVERS
    ):
        yield servers_by_id[server_id]


def decay_use(use: SubjectUse, *, at: float) -> None:
    """Let the counts of a subject decay to the time ``at``."""
    passed = max(at - use.at, 0)
    use.uses *= math.exp(-passed / USE_DECAY_SECONDS)
    use.burst *= math.exp(-passed / BURST_DECAY_SECONDS)
    use.at = at


def count_needed(
    rate: float, servers: Sequence[BackendServer], traffic: Traffic
) -> float:
    """Return how many servers carry a subject, by Little's law.

    ``rate`` counts its requests a second at this VM.

    >>> from tests.builders_gateway import make_servers
    >>> traffic = Traffic(service='tools', vm_count=60, request_seconds=0.1)
    >>> count_needed(1, make_servers(3), traffic)
    1.0
    """
    if not servers:
        return 1
    slots = sum(server.slots for server in servers) / len(servers)
    in_flight = traffic.vm_count * rate * traffic.request_seconds
    return in_flight / (SUBJECT_SHARE * max(slots, 1))


def adapt_copies(copies: int, needed: float) -> int:
    """Return the new number of servers of a subject.

    It grows at once and shrinks with hysteresis: too many servers are as warm,
    since the subject is requested often, and too few are a hot spot.

    >>> adapt_copies(2, 2.5), adapt_copies(3, 1.9), adapt_copies(3, 1)
    (3, 3, 1)
    """
    wanted = max(math.ceil(needed), 1)
    if wanted < copies and needed >= SHRINK_SHARE * (copies - 1):
        return copies
    return wanted


def choose_servers(
    use: SubjectUse,
    limits: LoadLimits,
    warmth: Warmth,
    *,
    unix_seconds: float,
) -> WarmChoice:
    """Return the servers that are compared for a request, with the reason."""
    if warmth.group is None:
        return WarmChoice()
    if is_everywhere(use):
        return WarmChoice(
            servers=draw_spread(
                use.servers,
                limits,
                request_id=warmth.request_id,
                count=TWO_CHOICES,
            ),
            placed=Placed.SPREAD,
        )
    if warmth.group is Group.CONTROL:
        return WarmChoice(
            servers=draw_spread(
                use.servers, limits, request_id=warmth.request_id, count=1
            ),
            placed=Placed.EXPLORED,
            teaches=use.copies == 1,
        )
    warm = list_warm(
        use, limits, unix_seconds=unix_seconds, subject=warmth.subject
    )
    if not warm:
        return WarmChoice()
    return WarmChoice(servers=warm, placed=Placed.WARM, teaches=use.copies == 1)


def is_everywhere(use: SubjectUse) -> bool:
    """Return whether a subject needs so many servers that all of them are warm."""
    return use.copies > min(MAX_COPIES, max(len(use.servers) // 2, 1))


def list_warm(
    use: SubjectUse, limits: LoadLimits, *, unix_seconds: float, subject: str
) -> tuple[BackendServer, ...]:
    """Return the servers to which the requests of a subject go, if any.

    The next ones in order stand in for servers that are lost or too busy, and for
    those that have just started.
    """
    usable = [
        server
        for server in use.ranked
        if limits.is_usable(server)
        and is_ramped_up(server, subject, unix_seconds)
    ]
    tried = usable[: use.copies + SPARE_SERVERS]
    return tuple(filter(limits.is_below, tried))[: use.copies]


def draw_spread(
    servers: Sequence[BackendServer],
    limits: LoadLimits,
    *,
    request_id: str,
    count: int,
) -> tuple[BackendServer, ...]:
    """Return up to ``count`` servers that follow from the request alone.

    They are below the same bound as warm servers, so both kinds of requests meet
    the same load.
    """
    drawn = {
        server.server_id: server
        for server in draw_servers(servers, request_id)
        if limits.is_usable(server) and limits.is_below(server)
    }
    return tuple(drawn.values())[:count]


def is_ramped_up(
    server: BackendServer, subject: str, unix_seconds: float
) -> bool:
    """Return whether a server takes a subject, by the time since its start.

    Its share of subjects grows evenly, and all VMs choose the same ones. A server
    without a known start takes all.
    """
    age_seconds = unix_seconds - server.born / _MILLISECONDS
    if age_seconds >= RAMP_SECONDS:
        return True
    number = xxhash.xxh64_intdigest(subject.encode(), seed=server.born)
    return number / (1 << _HASH_BITS) < max(age_seconds, 0) / RAMP_SECONDS
