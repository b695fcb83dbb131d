"""One scheduler instance of the benchmark: admits, places and sends calls."""

import dataclasses
import functools
import itertools
from collections.abc import Callable

import numpy as np

from bronzepost._internal.core.scheduling import events
from bronzepost._internal.core.scheduling.actions import Refused, Retention
from bronzepost._internal.core.scheduling.admission import admit
from bronzepost._internal.core.scheduling.apply import apply_event
from bronzepost._internal.core.scheduling.order import priority
from bronzepost._internal.core.scheduling.policies import Policy
from bronzepost._internal.core.scheduling.prefix_retention import (
    decide_retention,
)
from bronzepost._internal.core.scheduling.routing import choose_backend_server
from bronzepost._internal.core.scheduling.tables import (
    CallRequest,
    ProgramPause,
    SchedulingTables,
)

from .clock import VirtualClock
from .cluster import Cluster
from .engine import EngineRequest

# A refused caller adds up to this share to the time it was told to wait.
RETRY_JITTER_SHARE = 0.1
UNPLACED_RETRY_SECONDS = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """A call, what it will need, and whom to tell.

    ``output_tokens`` are for a model engine and ``seconds`` for a plain
    service. The policy sees neither.
    """

    call: CallRequest
    issued_at: float
    on_done: Callable[[], None]
    output_tokens: int = 0
    seconds: float = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class DispatchFigures:
    """Refusals, retries after a failure and the longest wait for a start."""

    refusals: int = 0
    resent: int = 0
    longest_wait_seconds: float = 0


class Dispatcher:
    """Call the decision functions as a node process does."""

    def __init__(
        self,
        *,
        clock: VirtualClock,
        policy: Policy,
        tables: SchedulingTables,
        cluster: Cluster,
        generator: np.random.Generator,
    ) -> None:
        """Listen to the cluster's reports."""
        self.figures = DispatchFigures()
        self._clock = clock
        self._policy = policy
        self._tables = tables
        self._cluster = cluster
        self._generator = generator
        self._numbers = itertools.count()
        self._sent_by_id: dict[str, tuple[str, Work]] = {}
        cluster.listeners.append(self.apply)
        for row in cluster.rows_by_id.values():
            self.apply(events.BackendServerListed(at=0, backend_server=row))

    def apply(self, event: events.SchedulingEvent) -> None:
        """Apply an event and carry out its actions."""
        for action in apply_event(self._tables, event):
            self.release(action.backend_server_id, action.session)

    def release(self, identifier: str, session: str) -> None:
        """Release the prefix of a session at one engine."""
        engine = self._cluster.engines_by_id.get(identifier)
        if engine is not None:
            engine.cache.release(session, is_live=True)

    def send(self, work: Work) -> None:
        """Send a call, now or when a refusal's time has passed."""
        now = self._clock.now
        decision = admit(self._policy, self._tables, work.call, now)
        if isinstance(decision, Refused):
            self._come_again(work, decision.retry_after_seconds)
            return
        choice = choose_backend_server(
            self._policy, self._tables, work.call, now
        )
        if choice is None:
            self._come_again(work, UNPLACED_RETRY_SECONDS)
            return
        self._send_to(choice.backend_server_id, work)

    def lose_servers(self, identifiers: tuple[str, ...]) -> None:
        """Forget failed servers and send their calls once more."""
        now = self._clock.now
        for identifier in identifiers:
            self.apply(
                events.BackendServerGone(at=now, backend_server_id=identifier)
            )
        lost = [
            call_id
            for call_id, sent in self._sent_by_id.items()
            if sent[0] in identifiers
        ]
        for lost_id in lost:
            _, work = self._sent_by_id.pop(lost_id)
            self.apply(
                events.CallFinished(at=now, call_id=lost_id, is_failed=True)
            )
            self.figures.resent += 1
            self.send(work)

    def decide_retention(self, pause: ProgramPause) -> Retention:
        """Release the prefix of a paused program if the policy says so."""
        now = self._clock.now
        decision = decide_retention(self._policy, self._tables, pause, now)
        if decision is Retention.RELEASE:
            session = pause.program_id
            prefixes = self._tables.prefixes_by_session.get(session, {})
            for identifier in tuple(prefixes):
                self.release(identifier, session)
                self.apply(
                    events.SessionReleased(
                        at=now, backend_server_id=identifier, session=session
                    )
                )
        return decision

    def _come_again(self, work: Work, seconds: float) -> None:
        self.figures.refusals += 1
        self.apply(
            events.ProgramRefused(
                at=self._clock.now,
                program_id=work.call.program_id,
                service=work.call.service,
                retry_after_seconds=seconds,
                prompt_tokens=work.call.prompt_tokens,
            )
        )
        jitter = 1 + RETRY_JITTER_SHARE * self._generator.random()
        self._clock.call_later(
            seconds * jitter, functools.partial(self.send, work)
        )

    def _send_to(self, identifier: str, work: Work) -> None:
        now = self._clock.now
        call_id = f'call-{next(self._numbers)}'
        rank = priority(self._policy, self._tables, work.call, now)
        self.apply(
            events.CallSent(
                at=now,
                call_id=call_id,
                backend_server_id=identifier,
                call=work.call,
            )
        )
        self._sent_by_id[call_id] = (identifier, work)
        self._clock.call_later(
            self._find_distance(identifier, work),
            functools.partial(self._arrive, call_id, rank),
        )

    def _arrive(self, call_id: str, rank: int) -> None:
        if call_id not in self._sent_by_id:
            return
        identifier, work = self._sent_by_id[call_id]
        plain_server = self._cluster.plain_servers_by_id.get(identifier)
        if plain_server is not None:
            plain_server.submit(
                work.seconds, functools.partial(self._answer, call_id, 0)
            )
            return
        self._cluster.engines_by_id[identifier].submit(
            EngineRequest(
                session=work.call.program_id,
                prompt_tokens=work.call.prompt_tokens,
                output_tokens=work.output_tokens,
                priority=rank,
                on_start=functools.partial(self._note_start, work),
                on_done=functools.partial(self._answer, call_id),
            )
        )

    def _note_start(self, work: Work) -> None:
        waited = self._clock.now - work.issued_at
        if waited > self.figures.longest_wait_seconds:
            self.figures.longest_wait_seconds = waited

    def _answer(self, call_id: str, cached_tokens: int) -> None:
        identifier, work = self._sent_by_id[call_id]
        self._clock.call_later(
            self._find_distance(identifier, work),
            functools.partial(self._finish, call_id, cached_tokens),
        )

    def _finish(self, call_id: str, cached_tokens: int) -> None:
        sent = self._sent_by_id.pop(call_id, None)
        if sent is None:
            return
        self.apply(
            events.CallFinished(
                at=self._clock.now,
                call_id=call_id,
                output_tokens=sent[1].output_tokens,
                cached_tokens=cached_tokens,
            )
        )
        sent[1].on_done()

    def _find_distance(self, identifier: str, work: Work) -> float:
        row = self._cluster.rows_by_id[identifier]
        pair = (work.call.availability_zone, row.availability_zone)
        return self._tables.zone_latency_seconds_by_pair.get(pair, 0)
