"""Tests that planned stops of backend servers and nodes break no call."""

import itertools
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from functools import partial

from testtools import TestCase

from standins.deployment import Deployment, Runner
from standins.node_process import Node
from tests.functional.callers import (
    EventStream,
    ProgramCaller,
    retry,
    send,
    wait_until,
)
from tests.functional.clusters import (
    CALL_PATH,
    MODEL,
    SERVICE,
    choose_program,
    find_runner,
    is_cluster_settled,
    list_programs_of_partition,
    running_cluster,
)

# A leaving server must get no new work from this time after its notice on.
NOTICE_SECONDS = 2.0
OBSERVATION_SECONDS = 1.0
# Less than the 5 s for which callers cache an answer with endpoints.
CACHED_ENDPOINTS_SECONDS = 2.0
LONG_ANSWER_TOKENS = 50
STOP_TIMEOUT_SECONDS = 40
# The answers differ in length, so that some program is always running a turn.
BUSY_ANSWER_TOKENS = (11, 17, 23, 31, 37)


class Traffic:
    """Calls without a program that are sent continuously."""

    def __init__(self, run: Deployment) -> None:
        """Collect the statuses of the answers in ``statuses``."""
        self.statuses: list[int] = []
        self.is_running = True
        self._run = run
        self._chat = {
            'model': MODEL,
            'messages': [{'role': 'user', 'content': 'hello'}],
            'max_tokens': 4,
        }

    def send_calls(self, node: Node) -> None:
        """Send calls to a node until ``is_running`` is false."""
        for path, body in itertools.cycle((
            (CALL_PATH, {}),
            ('/v1/chat/completions', self._chat),
        )):
            if not self.is_running:
                break
            answer = send(node.caller_address, path, body)
            self.statuses.append(answer.status)


@contextmanager
def running_traffic(run: Deployment) -> Iterator[Traffic]:
    """Send calls to all nodes during the block, two threads for each node."""
    traffic = Traffic(run)
    threads = [
        threading.Thread(target=traffic.send_calls, args=(node,))
        for node in (*run.nodes, *run.nodes)
    ]
    for thread in threads:
        thread.start()
    try:
        yield traffic
    finally:
        traffic.is_running = False
        for started in threads:
            started.join()


def count_runs(run: Deployment, runner: Runner) -> int:
    """Return how many requests a backend server has run."""
    effects = run.effects()[runner.process.name]
    return sum(effects['by_request_id'].values())


def open_stream(node: Node, program: str) -> EventStream:
    """Open the stream of a long answer and read its first token."""
    caller = ProgramCaller(
        program=program, model=MODEL, max_tokens=LONG_ANSWER_TOKENS
    )
    return caller.open_stream(node.caller_address, 'go').read(token_count=1)


def run_turns(
    node: Node, program: str, tokens: int, is_stopped: threading.Event
) -> set[int]:
    """Run turns one after another until stopped; return their statuses."""
    caller = ProgramCaller(program=program, model=MODEL, max_tokens=tokens)
    statuses: set[int] = set()
    while not is_stopped.is_set():
        answer = retry(caller.send_turn, node.caller_address, 'more')
        statuses.add(answer.status)
    return statuses


class PlannedStopTest(TestCase):
    """Tests of requests and backend servers during planned stops."""

    def check_no_new_work(self, run: Deployment, runner: Runner) -> None:
        """Check that a server runs nothing new from 2 s after its notice on."""
        runs_at_notice = count_runs(run, runner)
        self.assertGreater(runs_at_notice, 0)
        time.sleep(NOTICE_SECONDS)
        runs_at_limit = count_runs(run, runner)
        time.sleep(OBSERVATION_SECONDS)
        self.assertEqual(runs_at_limit, count_runs(run, runner))

    def test_leaving_backend_gets_no_new_work(self) -> None:
        """Guard against new work for a server that one source marks leaving.

        Only the VM list, which lags behind, shows that the plain service
        leaves; only its load report shows that the engine leaves, because
        the VM list is down.
        """
        options = {'vm_list': ('--lag-seconds', '0.5')}
        with (
            running_cluster(2, scale=0.4, options=options) as run,
            running_traffic(run) as traffic,
        ):
            time.sleep(OBSERVATION_SECONDS)
            service = find_runner(run, SERVICE)
            service.state = 'leaving'
            run.publish_vms()
            self.check_no_new_work(run, service)
            run.set_faults(run.addresses_by_kind['vm_list'], outage=True)
            engine = find_runner(run, MODEL)
            run.set_faults(engine.address, leaving=True)
            self.check_no_new_work(run, engine)
            self.assertEqual({200}, set(traffic.statuses))

    def test_drain_of_each_node_breaks_no_stream(self) -> None:
        """Guard against streams and calls that a planned stop breaks.

        A caller with cached endpoints opens a stream at the node that is
        stopping, while other programs of its partition keep running turns.
        """
        with running_cluster(2) as run, ThreadPoolExecutor(10) as pool:
            has_all_settled = partial(is_cluster_settled, run)
            for drain_number in range(2):
                program, owner, (other_node,) = choose_program(
                    run, f'drain{drain_number}'
                )
                streams = [
                    open_stream(node, f'{program}-{number}')
                    for number, node in enumerate((owner, other_node, owner))
                ]
                alone = EventStream(
                    owner.caller_address,
                    '/v1/chat/completions',
                    body={
                        'model': MODEL,
                        'messages': [{'role': 'user', 'content': 'alone'}],
                        'max_tokens': LONG_ANSWER_TOKENS,
                        'min_tokens': LONG_ANSWER_TOKENS,
                        'stream': True,
                    },
                )
                read_futures = [
                    pool.submit(stream.read) for stream in (*streams, alone)
                ]
                is_stopped = threading.Event()
                turn_futures = [
                    pool.submit(run_turns, other_node, name, tokens, is_stopped)
                    for name, tokens in zip(
                        list_programs_of_partition(
                            program, len(BUSY_ANSWER_TOKENS)
                        ),
                        BUSY_ANSWER_TOKENS,
                        strict=True,
                    )
                ]
                time.sleep(OBSERVATION_SECONDS)
                owner.terminate()
                time.sleep(CACHED_ENDPOINTS_SECONDS)
                caller = ProgramCaller(program=program, model=MODEL)
                answer = retry(caller.send_turn, owner.caller_address, 'late')
                self.assertEqual(200, answer.status)
                streams.append(open_stream(owner, f'{program}-late').read())
                for future in read_futures:
                    streams.append(future.result())
                for stream in streams:
                    self.assertEqual(LONG_ANSWER_TOKENS, len(stream.tokens))
                    self.assertTrue(stream.is_complete, str(stream.error))
                exit_code = owner.process.wait_ended(STOP_TIMEOUT_SECONDS)
                is_stopped.set()
                self.assertEqual(0, exit_code)
                statuses = [future.result() for future in turn_futures]
                self.assertTrue(all(each == {200} for each in statuses))
                run.start_node(owner)
                self.assertTrue(wait_until(has_all_settled))
