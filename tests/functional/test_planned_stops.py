"""Tests that planned stops of runners and nodes cut nothing."""

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

# The requirement: no new work after this time from the notice.
NOTICE_SECONDS = 2.0
LATER_SECONDS = 1.0
# A caller keeps an endpoint answer for 5 s.
OLD_ANSWER_SECONDS = 2.0
LONG_ANSWER = 50
STOP_SECONDS = 40
# Answers of different lengths, so that the programs are never all idle.
BUSY_TOKENS = (11, 17, 23, 31, 37)


class Traffic:
    """Calls without a program, sent all the time to each node."""

    def __init__(self, run: Deployment) -> None:
        """Start with nothing sent."""
        self.statuses: list[int] = []
        self.is_wanted = True
        self._run = run
        self._chat = {
            'model': MODEL,
            'messages': [{'role': 'user', 'content': 'hello'}],
            'max_tokens': 4,
        }

    def send_calls(self, node: Node) -> None:
        """Send calls to a node until they are not wanted any more."""
        for path, body in itertools.cycle((
            (CALL_PATH, {}),
            ('/v1/chat/completions', self._chat),
        )):
            if not self.is_wanted:
                break
            answer = send(node.caller_address, path, body)
            self.statuses.append(answer.status)


@contextmanager
def running_traffic(run: Deployment) -> Iterator[Traffic]:
    """Send calls to all nodes in the block."""
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
        traffic.is_wanted = False
        for started in threads:
            started.join()


def count_runs(run: Deployment, runner: Runner) -> int:
    """Return how many requests a runner has run."""
    effects = run.effects()[runner.process.name]
    return sum(effects['by_request_id'].values())


def open_stream(node: Node, program: str) -> EventStream:
    """Open the stream of a program's long answer and read its beginning."""
    caller = ProgramCaller(program=program, model=MODEL, max_tokens=LONG_ANSWER)
    return caller.open_stream(node.caller_address, 'go').read(token_count=1)


def keep_busy(
    node: Node, program: str, tokens: int, is_stopped: threading.Event
) -> set[int]:
    """Make turns one after another; return the statuses of the answers."""
    caller = ProgramCaller(program=program, model=MODEL, max_tokens=tokens)
    statuses: set[int] = set()
    while not is_stopped.is_set():
        answer = retry(caller.send_turn, node.caller_address, 'more')
        statuses.add(answer.status)
    return statuses


class PlannedStopTest(TestCase):
    """Guard requests in progress, and runners that are about to stop."""

    def check_no_new_work(self, run: Deployment, runner: Runner) -> None:
        """Check that a runner runs nothing new 2 s after its notice."""
        before = count_runs(run, runner)
        self.assertGreater(before, 0)
        time.sleep(NOTICE_SECONDS)
        noticed = count_runs(run, runner)
        time.sleep(LATER_SECONDS)
        self.assertEqual(noticed, count_runs(run, runner))

    def test_leaving_backend_gets_no_new_work(self) -> None:
        """Guard against work for a runner that one source calls leaving.

        A plain service leaves by the VM list alone, which has a lag; an
        engine leaves by its load report while the VM list is down.
        """
        options = {'vm_list': ('--lag-seconds', '0.5')}
        with (
            running_cluster(2, scale=0.4, options=options) as run,
            running_traffic(run) as traffic,
        ):
            time.sleep(LATER_SECONDS)
            service = find_runner(run, SERVICE)
            service.state = 'leaving'
            run.publish_vms()
            self.check_no_new_work(run, service)
            run.set_faults(run.addresses_by_kind['vm_list'], outage=True)
            engine = find_runner(run, MODEL)
            run.set_faults(engine.address, leaving=True)
            self.check_no_new_work(run, engine)
            self.assertEqual({200}, set(traffic.statuses))

    def test_drain_of_each_node_cuts_no_stream(self) -> None:
        """Guard against streams and calls that a planned stop cuts.

        A caller with an old endpoint answer opens a stream at the node that
        is stopping, and other programs of its partition are never all idle.
        """
        with running_cluster(2) as run, ThreadPoolExecutor(10) as pool:
            has_all_settled = partial(is_cluster_settled, run)
            for turn in range(2):
                program, owner, (other,) = choose_program(run, f'drain{turn}')
                streams = [
                    open_stream(node, f'{program}-{number}')
                    for number, node in enumerate((owner, other, owner))
                ]
                alone = EventStream(
                    owner.caller_address,
                    '/v1/chat/completions',
                    body={
                        'model': MODEL,
                        'messages': [{'role': 'user', 'content': 'alone'}],
                        'max_tokens': LONG_ANSWER,
                        'min_tokens': LONG_ANSWER,
                        'stream': True,
                    },
                )
                reading = [
                    pool.submit(stream.read) for stream in (*streams, alone)
                ]
                is_stopped = threading.Event()
                busy = [
                    pool.submit(keep_busy, other, name, tokens, is_stopped)
                    for name, tokens in zip(
                        list_programs_of_partition(program, len(BUSY_TOKENS)),
                        BUSY_TOKENS,
                        strict=True,
                    )
                ]
                time.sleep(LATER_SECONDS)
                owner.terminate()
                time.sleep(OLD_ANSWER_SECONDS)
                caller = ProgramCaller(program=program, model=MODEL)
                answer = retry(caller.send_turn, owner.caller_address, 'late')
                self.assertEqual(200, answer.status)
                streams.append(open_stream(owner, f'{program}-late').read())
                for future in reading:
                    streams.append(future.result())
                for stream in streams:
                    self.assertEqual(LONG_ANSWER, len(stream.tokens))
                    self.assertTrue(stream.is_complete, str(stream.error))
                code = owner.process.wait_ended(STOP_SECONDS)
                is_stopped.set()
                self.assertEqual(0, code)
                statuses = [future.result() for future in busy]
                self.assertTrue(all(got == {200} for got in statuses))
                run.start_node(owner)
                self.assertTrue(wait_until(has_all_settled))
