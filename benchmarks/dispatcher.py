"""Scheduler instance of the benchmark: admits, routes and sends calls."""

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

# A refused caller extends its retry delay by a random share up to this one.
RETRY_JITTER_SHARE = 0.1
UNPLACED_RETRY_SECONDS = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PendingCall:
    """A call to be sent, its actual cost and its completion callback.

    ``output_tokens`` applies to a model engine, ``run_seconds`` to a plain
    service. The policy sees neither.
    """

    call: CallRequest
    issued_at: float
    on_done: Callable[[], None]
    output_tokens: int = 0
    run_seconds: float = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class DispatchFigures:
    """Refusals, calls resent after a failure, and longest wait for a start."""

    refusals: int = 0
    resent: int = 0
    longest_wait_seconds: float = 0


class Dispatcher:
    """Call the scheduling functions as a node process does."""

    def __init__(
        self,
        *,
        clock: VirtualClock,
        policy: Policy,
        tables: SchedulingTables,
        cluster: Cluster,
        generator: np.random.Generator,
    ) -> None:
        """Subscribe to the cluster's reports and add its servers."""
        self.figures = DispatchFigures()
        self._clock = clock
        self._policy = policy
        self._tables = tables
        self._cluster = cluster
        self._generator = generator
        self._call_numbers = itertools.count()
        self._sent_by_id: dict[str, tuple[str, PendingCall]] = {}
        cluster.listeners.append(self.apply)
        for backend_server in cluster.backend_servers_by_id.values():
            self.apply(
                events.BackendServerListed(at=0, backend_server=backend_server)
            )

    def apply(self, event: events.SchedulingEvent) -> None:
        """Apply an event and carry out its actions."""
        for action in apply_event(self._tables, event):
            self.release(action.backend_server_id, action.session)

    def release(self, server_id: str, session: str) -> None:
        """Release the prefix of a session at one engine."""
        engine = self._cluster.engines_by_id.get(server_id)
        if engine is not None:
            engine.cache.release(session, is_live=True)

    def send(self, pending: PendingCall) -> None:
        """Send a call now, or retry it later if it is refused."""
        now = self._clock.now
        decision = admit(self._policy, self._tables, pending.call, now)
        if isinstance(decision, Refused):
            self._retry_later(pending, decision.retry_after_seconds)
            return
        choice = choose_backend_server(
            self._policy, self._tables, pending.call, now
        )
        if choice is None:
            self._retry_later(pending, UNPLACED_RETRY_SECONDS)
            return
        self._send_to(choice.backend_server_id, pending)

    def remove_failed_servers(self, server_ids: tuple[str, ...]) -> None:
        """Remove failed servers from the tables and resend their calls."""
        now = self._clock.now
        for server_id in server_ids:
            self.apply(
                events.BackendServerGone(at=now, backend_server_id=server_id)
            )
        lost_call_ids = [
            call_id
            for call_id, sent in self._sent_by_id.items()
            if sent[0] in server_ids
        ]
        for lost_call_id in lost_call_ids:
            _, pending = self._sent_by_id.pop(lost_call_id)
            self.apply(
                events.CallFinished(
                    at=now, call_id=lost_call_id, is_failed=True
                )
            )
            self.figures.resent += 1
            self.send(pending)

    def decide_retention(self, pause: ProgramPause) -> Retention:
        """Release the prefix of a paused program if the policy decides so."""
        now = self._clock.now
        decision = decide_retention(self._policy, self._tables, pause, now)
        if decision is Retention.RELEASE:
            session = pause.program_id
            prefixes = self._tables.prefixes_by_session.get(session, {})
            for server_id in tuple(prefixes):
                self.release(server_id, session)
                self.apply(
                    events.SessionReleased(
                        at=now, backend_server_id=server_id, session=session
                    )
                )
        return decision

    def _retry_later(self, pending: PendingCall, delay_seconds: float) -> None:
        self.figures.refusals += 1
        self.apply(
            events.ProgramRefused(
                at=self._clock.now,
                program_id=pending.call.program_id,
                service=pending.call.service,
                retry_after_seconds=delay_seconds,
                prompt_tokens=pending.call.prompt_tokens,
            )
        )
        jitter = 1 + RETRY_JITTER_SHARE * self._generator.random()
        self._clock.call_later(
            delay_seconds * jitter, functools.partial(self.send, pending)
        )

    def _send_to(self, server_id: str, pending: PendingCall) -> None:
        now = self._clock.now
        call_id = f'call-{next(self._call_numbers)}'
        rank = priority(self._policy, self._tables, pending.call, now)
        self.apply(
            events.CallSent(
                at=now,
                call_id=call_id,
                backend_server_id=server_id,
                call=pending.call,
            )
        )
        self._sent_by_id[call_id] = (server_id, pending)
        self._clock.call_later(
            self._find_zone_latency(server_id, pending),
            functools.partial(self._submit, call_id, rank),
        )

    def _submit(self, call_id: str, rank: int) -> None:
        if call_id not in self._sent_by_id:
            return
        server_id, pending = self._sent_by_id[call_id]
        plain_server = self._cluster.plain_servers_by_id.get(server_id)
        if plain_server is not None:
            plain_server.submit(
                pending.run_seconds,
                functools.partial(self._return_answer, call_id, 0),
            )
            return
        self._cluster.engines_by_id[server_id].submit(
            EngineRequest(
                session=pending.call.program_id,
                prompt_tokens=pending.call.prompt_tokens,
                output_tokens=pending.output_tokens,
                priority=rank,
                on_start=functools.partial(self._record_wait, pending),
                on_done=functools.partial(self._return_answer, call_id),
            )
        )

    def _record_wait(self, pending: PendingCall) -> None:
        waited = self._clock.now - pending.issued_at
        if waited > self.figures.longest_wait_seconds:
            self.figures.longest_wait_seconds = waited

    def _return_answer(self, call_id: str, cached_tokens: int) -> None:
        server_id, pending = self._sent_by_id[call_id]
        self._clock.call_later(
            self._find_zone_latency(server_id, pending),
            functools.partial(self._finish_call, call_id, cached_tokens),
        )

    def _finish_call(self, call_id: str, cached_tokens: int) -> None:
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

    def _find_zone_latency(self, server_id: str, pending: PendingCall) -> float:
        backend_server = self._cluster.backend_servers_by_id[server_id]
        pair = (
            pending.call.availability_zone,
            backend_server.availability_zone,
        )
        return self._tables.zone_latency_seconds_by_pair.get(pair, 0)
