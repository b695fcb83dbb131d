"""Tests of streams that callers take up again on another VM."""

import gevent

from tests.platform.builders_streams import (
    LAST_EVENT,
    LIST_SECONDS,
    VERSIONS,
    StreamVersionCase,
)


class StreamVersionTests(StreamVersionCase):
    """One of the VMs is lost."""

    def test_streams_of_a_lost_vm_go_on_at_their_version(self) -> None:
        """Guard against streams that mix what two versions wrote."""
        request_ids = self.begin_streams(self.vms[:1])
        answers = self.take_up(request_ids)
        begun = {key: self.find_version(key) for key in request_ids}
        resumed = {
            key: self.find_version(f'again-{key}') for key in request_ids
        }
        self.assertEqual(set(VERSIONS), set(begun.values()))
        self.assertEqual(begun, resumed)
        for answer in answers.values():
            self.assertIs(True, answer.is_complete)
            self.assertEqual(LAST_EVENT, answer.pop_body())

    def test_streams_without_their_version_are_refused(self) -> None:
        """Guard against going on elsewhere when the version has gone."""
        request_ids = self.begin_streams(self.vms[:1])
        self.put_engine('v1', self.engines_by_version['v1'], state='draining')
        gevent.sleep(LIST_SECONDS)
        for request_id, answer in self.take_up(request_ids).items():
            version = self.find_version(request_id)
            is_served = self.find_version(f'again-{request_id}') == version
            assert answer.head is not None
            self.assertEqual(version == 'v2', is_served)
            self.assertEqual(200 if is_served else 503, answer.head.status)

    def test_stream_that_no_vm_knows_is_refused(self) -> None:
        """Guard against guessing the version of a stream."""
        answers = self.take_up(['unknown-1', 'unknown-2'])
        for request_id, answer in answers.items():
            assert answer.head is not None
            self.assertEqual(503, answer.head.status)
            self.assertEqual('', self.find_version(f'again-{request_id}'))
