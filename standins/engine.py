"""Stand-in of a model engine: routes, load, cache and sessions."""

import time
from argparse import ArgumentParser, Namespace
from collections.abc import Mapping
from types import MappingProxyType

import gevent
import msgspec

from standins.engine_batch import Batch, EngineProfile, Run
from standins.engine_cache import Prefix, PrefixCache
from standins.engine_chat import (
    build_prompt,
    decode_body,
    stream_chunks,
    whole_answer,
)
from standins.engine_orders import OrderTable
from standins.faults import Switches
from standins.pacing import LaggedValue, repeat_forever
from standins.service import Effects
from standins.web import (
    Application,
    Reply,
    Request,
    RequestError,
    Route,
    get,
    json_reply,
    post,
)

SAMPLE_SECONDS = 0.05
DEFAULTS: Mapping[str, float] = MappingProxyType({
    '--slots': 8,
    '--step-seconds': 0.04,
    '--prefill-tokens-per-second': 8000.0,
    '--cache-tokens': 100000,
    '--transfer-tokens-per-second': 200000.0,
    '--lag-seconds': 0.2,
    '--stream-retention-seconds': 60.0,
})
SESSION = '/v1/sessions/(?P<session>[^/]+)'
STREAM = '/v1/streams/(?P<request_id>[^/]+)'


class ExportBody(msgspec.Struct, kw_only=True):
    """The cache entries of an exported session, shortest prefix first."""

    prefixes: list[Prefix]
    tokens: int = 0
    digest: str = ''


class Engine:
    """HTTP handlers of the engine."""

    def __init__(
        self,
        *,
        switches: Switches,
        batch: Batch,
        cache: PrefixCache,
        effects: Effects,
        orders: OrderTable,
        options: Namespace,
    ) -> None:
        """Start without runs."""
        self._switches = switches
        self._batch = batch
        self._cache = cache
        self.effects = effects
        self.orders = orders
        self._options = options
        self._runs_by_request_id: dict[str, Run] = {}
        self._lagged_load = LaggedValue(initial=self.current_load())

    def complete_chat(self, request: Request) -> Reply:
        """Answer a chat completion, streamed or whole.

        A repeated request id runs again, which ``/effects`` shows.
        """
        self.effects.record_received()
        body = decode_body(request)
        model = self.orders.choose_model(body.model)
        run = self._batch.submit(build_prompt(request, body, model))
        self._drop_expired_runs()
        self._runs_by_request_id[run.prompt.request_id] = run
        if body.stream:
            return self._stream(run, 0)
        while run.finish_reason is None:
            run.changed.wait()
        return json_reply(whole_answer(run))

    def resume_stream(self, request: Request) -> Reply:
        """Stream an answer again, starting at a chunk offset."""
        run = self._find_run(request)
        return self._stream(run, request.parse_whole_number('offset', 0))

    def cancel_stream(self, request: Request) -> Reply:
        """End a run; its stream ends with the reason ``cancelled``."""
        is_cancelled = self._batch.cancel(self._find_run(request))
        return json_reply({'cancelled': is_cancelled})

    def current_load(self) -> dict[str, int | bool]:
        """Return the load at this moment."""
        return {
            'running': len(self._batch.running),
            'waiting': self._batch.waiting,
            'slots': self._batch.profile.slots,
            'cache_tokens': self._cache.held_tokens,
            'cache_capacity': self._cache.capacity_tokens,
            'leaving': self._switches.leaving,
        }

    def report_load(self, request: Request) -> Reply:
        """Return the load of ``lag_seconds`` ago."""
        return json_reply(
            self._lagged_load.read(lag_seconds=self._switches.lag_seconds)
        )

    def list_cache_events(self, request: Request) -> Reply:
        """Return the events that are older than the lag."""
        start = request.parse_whole_number('from', 0)
        events = self._cache.events.read(
            start, time.monotonic() - self._switches.lag_seconds
        )
        following = events[-1].number + 1 if events else start
        return json_reply({'events': events, 'next': following})

    def report_cache_totals(self, request: Request) -> Reply:
        """Return the exact totals, for tests and measurements."""
        totals = msgspec.structs.asdict(self._cache.totals)
        held = self._cache.held_by_session()
        return json_reply(totals | {'held_tokens_by_session': held})

    def list_sessions(self, request: Request) -> Reply:
        """Return the sessions that hold cache entries, with their tokens."""
        held = self._cache.held_by_session()
        return json_reply({
            'sessions': [
                {'session': session, 'tokens': tokens}
                for session, tokens in held.items()
            ]
        })

    def release_session(self, request: Request) -> Reply:
        """Drop the cache of a session."""
        tokens = self._cache.release(request.captured['session'])
        return json_reply({'tokens': tokens})

    def export_session(self, request: Request) -> Reply:
        """Return the cache entries of a session, which are kept."""
        prefixes = self._cache.export_chain(request.captured['session'])
        exported = ExportBody(
            prefixes=prefixes,
            tokens=sum(prefix.tokens for prefix in prefixes),
            digest=prefixes[-1].digest if prefixes else '',
        )
        self._wait_for_transfer(exported.tokens)
        return json_reply(exported)

    def import_session(self, request: Request) -> Reply:
        """Add the cache entries of a session exported by another engine."""
        try:
            body = msgspec.json.decode(request.body, type=ExportBody)
        except msgspec.MsgspecError as error:
            raise RequestError(400, f'body: {error}') from error
        self._wait_for_transfer(sum(prefix.tokens for prefix in body.prefixes))
        added = self._cache.import_chain(
            request.captured['session'], body.prefixes
        )
        return json_reply({'tokens': added})

    def sample(self) -> None:
        """Record the current load for lagged reports."""
        self.effects.update_leaving_time()
        self._lagged_load.record(self.current_load())

    def _stream(self, run: Run, offset: int) -> Reply:
        return Reply(
            content_type='text/event-stream',
            chunks=stream_chunks(run, offset=offset, switches=self._switches),
            headers=(('X-Request-Id', run.prompt.request_id),),
        )

    def _find_run(self, request: Request) -> Run:
        request_id = request.captured['request_id']
        run = self._runs_by_request_id.get(request_id)
        if run is None:
            raise RequestError(404, f'no such stream: {request_id}')
        return run

    def _drop_expired_runs(self) -> None:
        oldest = time.monotonic() - self._options.stream_retention_seconds
        self._runs_by_request_id = {
            request_id: run
            for request_id, run in self._runs_by_request_id.items()
            if run.finish_reason is None or run.ended_at > oldest
        }

    def _wait_for_transfer(self, tokens: int) -> None:
        gevent.sleep(tokens / self._options.transfer_tokens_per_second)


def add_options(parser: ArgumentParser) -> None:
    """Declare the options of this stand-in."""
    for name, default in DEFAULTS.items():
        parser.add_argument(name, type=type(default), default=default)
    parser.add_argument('--model', action='append', default=[])
    parser.add_argument('--role', default='general')
    parser.add_argument('--weight-store', default='')


def build_engine(options: Namespace, switches: Switches) -> Engine:
    """Return an engine with a running batch."""
    cache = PrefixCache(capacity_tokens=options.cache_tokens, switches=switches)
    effects = Effects(switches=switches)
    profile = EngineProfile(
        slots=options.slots,
        step_seconds=options.step_seconds,
        prefill_tokens_per_second=options.prefill_tokens_per_second,
    )
    batch = Batch(
        profile=profile, cache=cache, switches=switches, effects=effects
    )
    gevent.spawn(batch.run_steps)
    return Engine(
        switches=switches,
        batch=batch,
        cache=cache,
        effects=effects,
        orders=OrderTable(
            switches=switches,
            models=options.model,
            role=options.role,
            weight_store_address=options.weight_store,
        ),
        options=options,
    )


def build_application(options: Namespace) -> Application:
    """Return the engine that the options describe."""
    switches = Switches(lag_seconds=options.lag_seconds)
    engine = build_engine(options, switches)
    gevent.spawn(repeat_forever, engine.sample, pause_seconds=SAMPLE_SECONDS)
    return Application(switches=switches, routes=build_routes(engine))


def build_routes(engine: Engine) -> list[Route]:
    """Return the routes of the engine, those for tests last."""
    return [
        post('/v1/chat/completions', engine.complete_chat),
        get(STREAM, engine.resume_stream),
        post(f'{STREAM}/cancel', engine.cancel_stream),
        get('/v1/load', engine.report_load),
        get('/v1/cache/events', engine.list_cache_events),
        get('/v1/sessions', engine.list_sessions),
        post(f'{SESSION}/release', engine.release_session),
        post(f'{SESSION}/export', engine.export_session),
        post(f'{SESSION}/import', engine.import_session),
        post('/v1/orders', engine.orders.accept_order),
        get('/v1/state', engine.orders.report_state),
        get('/v1/cache/totals', engine.report_cache_totals, is_exempt=True),
        get('/orders', engine.orders.report_orders, is_exempt=True),
        get('/effects', engine.effects.report, is_exempt=True),
    ]
