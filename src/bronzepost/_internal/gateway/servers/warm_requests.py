"""Send requests about a subject to the servers that have seen it lately."""

import random
import time
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from bronzepost._internal.core.gateway import warm_gain
from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    CallRequest,
    Route,
)
from bronzepost._internal.core.gateway.warm_servers import (
    LoadLimits,
    SubjectTable,
    Traffic,
    WarmChoice,
    Warmth,
    choose_servers,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.exposition import METRICS
from bronzepost._internal.telemetry.logs import emit

Servers = Sequence[BackendServer]

# Summing the samples of 194 peers, or the load of as many servers, takes longer
# than the rest of a decision.
REFRESH_SECONDS: Final = 0.5


# Controls are the requests with the smallest points.
LARGEST_POINT: Final = 1.0


class WarmRequests:
    """What this VM knows of subjects, and of the gain of each sticky route.

    Requests of other routes, and those without a subject, do not come here.
    """

    def __init__(self) -> None:
        """Start without a sticky route."""
        self._subjects = SubjectTable()
        self._learners: dict[str, warm_gain.GainLearner] = {}
        self._refreshed_at: float = 0
        # Cached for ``REFRESH_SECONDS`` by service.
        self._utilization_by_service: dict[str, float] = {}

    def use_routes(self, routes: Iterable[Route]) -> None:
        """Learn the gains of the sticky ones of the routes in force."""
        names = {route.name for route in routes if route.is_sticky}
        for gone in self._learners.keys() - names:
            METRICS.warm_gain.labels(route=gone).set(0)
        known = self._learners
        self._learners = {name: warm_gain.GainLearner() for name in names}
        for name in known.keys() & names:
            self._learners[name] = known[name]

    def list_own(self) -> dict[str, warm_gain.ReportedSamples]:
        """Return the samples of this VM by route, for its peers."""
        at = read_clock()
        return {
            name: learner.pack(at=at)
            for name, learner in self._learners.items()
        }

    def put_reported(
        self, sender: str, samples: Mapping[str, warm_gain.ReportedSamples]
    ) -> None:
        """Replace the samples of a peer; those of unknown routes are dropped."""
        at = read_clock()
        for name, reported in samples.items():
            learner = self._learners.get(name)
            if learner is not None:
                learner.put_reported(sender, reported, at=at)

    def begin(
        self,
        route: Route,
        call: CallRequest,
        servers: Servers,
        traffic: Traffic,
    ) -> Warmth | None:
        """Count a request with a subject; None if it has none."""
        subject = find_subject(route, call, traffic.service)
        learner = self._learners.get(route.name)
        if learner is None or not subject:
            return None
        self._refresh()
        self._subjects.record(subject, servers, traffic, at=read_clock())
        return Warmth(
            subject=subject,
            request_id=call.request_id,
            group=warm_gain.choose_group(
                learner.phase,
                subject,
                unix_seconds=time.time(),
                point=random.random(),  # noqa: S311
            ),
        )

    def peek(self, route: Route, call: CallRequest, service: str) -> Warmth:
        """Return how most requests about a subject are placed now.

        Nothing is counted. Without a subject, or while its gain is not looked
        for, the request has no group.
        """
        learner = self.find_learner(route.name)
        subject = find_subject(route, call, service)
        group = None
        if subject:
            group = warm_gain.choose_group(
                learner.phase,
                subject,
                unix_seconds=time.time(),
                point=LARGEST_POINT,
            )
        return Warmth(subject=subject, request_id=call.request_id, group=group)

    def choose(
        self,
        warmth: Warmth,
        servers: Servers,
        limits: LoadLimits,
    ) -> WarmChoice:
        """Return the servers to compare for a request with a subject.

        It changes nothing.
        """
        return choose_servers(
            self._subjects.find(warmth.subject, servers),
            limits,
            warmth,
            unix_seconds=time.time(),
        )

    def count_subjects(self) -> int:
        """Return the number of subjects in the table."""
        return len(self._subjects)

    def find_learner(self, route: str) -> warm_gain.GainLearner:
        """Return what is known of the gain of a route."""
        return self._learners.get(route) or warm_gain.GainLearner()

    def find_utilization(
        self, service: str, limits: Iterable[tuple[float, float]]
    ) -> float:
        """Return the share of the slots of a service that are in use.

        ``limits`` has the requests in flight and the slots of each server. It is
        read only if the share is not known.
        """
        known = self._utilization_by_service.get(service)
        if known is None:
            pairs = tuple(limits)
            slots = sum(pair[1] for pair in pairs)
            known = sum(pair[0] for pair in pairs) / slots if slots else 0
            self._utilization_by_service[service] = known
        return known

    def record_end(
        self,
        route: str,
        warmth: Warmth | None,
        server: BackendServer,
        seconds: float,
    ) -> None:
        """Record the time of a request that was sent once, at its server.

        Others have waited for a server that failed or was slow.
        """
        learner = self._learners.get(route)
        if warmth is None or warmth.choice is None or learner is None:
            return
        choice = warmth.choice
        if warmth.group and choice.teaches and server in choice.servers:
            corrected = warm_gain.correct_for_load(
                seconds, running=warmth.running, slots=server.slots
            )
            learner.record(warmth.group, corrected, at=read_clock())

    def _refresh(self) -> None:
        at = read_clock()
        if at - self._refreshed_at < REFRESH_SECONDS:
            return
        self._refreshed_at = at
        self._utilization_by_service = {}
        for name, learner in self._learners.items():
            has_changed = learner.refresh(at=at)
            METRICS.warm_gain.labels(route=name).set(learner.estimate.gain)
            if has_changed:
                _log_phase(name, learner)


def find_subject(route: Route, call: CallRequest, service: str) -> str:
    """Return what a request is about, empty if no server may be warm for it.

    Turns on model engines are placed by the parts of their prompts, which say
    more: how many tokens a server saves.
    """
    if not (route.is_sticky and call.affinity_key) or call.prompt_parts:
        return ''
    return f'{service}/{call.affinity_key}'


def _log_phase(route: str, learner: warm_gain.GainLearner) -> None:
    event = LogEvent.STICKINESS_ENDED
    if learner.phase is warm_gain.Phase.ACTIVE:
        event = LogEvent.STICKINESS_BEGAN
    emit(
        event,
        route=route,
        gain=round(learner.estimate.gain, 3),
        low=round(learner.estimate.low, 3),
        samples=round(learner.estimate.samples),
    )
