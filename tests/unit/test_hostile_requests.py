"""Tests of the request parsers with malformed and random input."""

import string
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.node.callers.caller_request import (
    MAX_INTEGER,
    read_caller_fields,
)
from bronzepost._internal.node.callers.chat_request import (
    count_prompt_tokens,
    read_chat_request,
)
from bronzepost._internal.node.callers.http_exchange import encode_path
from bronzepost._internal.node.callers.web import (
    Request,
    Response,
    Route,
    WebApplication,
)
from bronzepost._internal.telemetry.metrics import NoMetrics
from tests.builders_requests import build_environ, build_request

FIELDS = (
    'program',
    'sequence',
    'budget',
    'importance',
    'organisation',
    'service',
    'deadline',
    'non-idempotent',
    'offset',
    'upstream',
    'hops',
)
JSON_SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(),
)
VALUES = st.recursive(
    JSON_SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.text(max_size=8), inner, max_size=4),
    ),
    max_leaves=12,
)
CHAT_BODIES = st.fixed_dictionaries(
    {},
    optional={
        'model': VALUES,
        'messages': st.one_of(
            VALUES,
            st.lists(
                st.fixed_dictionaries(
                    {'role': st.sampled_from(['user', 'x', 1])},
                    optional={'content': VALUES},
                ),
                max_size=3,
            ),
        ),
        'stream': VALUES,
        'max_tokens': VALUES,
        'max_completion_tokens': VALUES,
        'metadata': VALUES,
        'stream_options': VALUES,
    },
)
HEADER_TEXT = st.text(alphabet=string.printable, max_size=40)


class MalformedRequestTest(TestCase):
    """A request is accepted, or refused with the name of the invalid field."""

    def check_refusal(self, error: RefusedError) -> None:
        """Expect that the refusal names a field and that nothing has run."""
        self.assertEqual('not_run', error.run.value)
        self.assertTrue(error.parameter, error)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(body=CHAT_BODIES)
    def test_chat_bodies(self, body: dict[str, Any]) -> None:
        """Guard against a body that raises anything but a refusal."""
        try:
            chat = read_chat_request(build_request(body))
        except RefusedError as error:
            self.check_refusal(error)
            return
        self.assertGreater(count_prompt_tokens(chat.messages, 1), 0)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        headers=st.dictionaries(st.sampled_from(FIELDS), HEADER_TEXT),
        metadata=st.dictionaries(st.sampled_from(FIELDS), VALUES),
    )
    def test_fields(
        self, headers: dict[str, str], metadata: dict[str, Any]
    ) -> None:
        """Guard against a field that raises anything but a refusal."""
        request = build_request(
            {},
            {f'bronzepost-{name}': text for name, text in headers.items()},
        )
        given_metadata = {
            f'bronzepost_{name.replace("-", "_")}': entry
            for name, entry in metadata.items()
        }
        try:
            fields = read_caller_fields(request, given_metadata)
        except RefusedError as error:
            self.check_refusal(error)
            return
        self.assertLessEqual(fields.sequence, MAX_INTEGER)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(body=st.binary(max_size=200))
    def test_bytes_as_body(self, body: bytes) -> None:
        """Guard against bytes that are no JSON."""
        try:
            read_chat_request(build_request(body))
        except RefusedError as error:
            self.check_refusal(error)

    def test_deeply_nested_body(self) -> None:
        """Guard against a stack overflow in the JSON parser."""
        depth = 100_000
        request = build_request(b'[' * depth + b']' * depth)
        error = self.assertRaises(RefusedError, read_chat_request, request)
        self.check_refusal(error)


class WebApplicationTest(TestCase):
    """The WSGI application answers every request, also malformed ones."""

    def setUp(self) -> None:
        """Create an application without routes."""
        super().setUp()
        self.application = build_application((), 100)
        self.status = ''

    def answer(self, environ: dict[str, Any]) -> bytes:
        """Return the body of the answer; set ``status``."""

        def start_response(
            status: str, _headers: list[tuple[str, str]]
        ) -> None:
            self.status = status

        return b''.join(self.application(environ, start_response))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        path=st.text(max_size=40),
        query=st.text(max_size=40),
        length=st.text(max_size=6),
    )
    def test_request_lines(self, path: str, query: str, length: str) -> None:
        """Guard against a request line that ends the process."""
        body = self.answer(build_environ(path, query, length))
        self.assertIn(b'"run":"not_run"', body)

    def test_body_over_its_limit(self) -> None:
        """Guard against reading a body of any size into memory."""
        route = Route(method='GET', pattern='/', handler=_answer_empty)
        self.application = build_application((route,), 10)
        body = self.answer(build_environ('/', '', '11'))
        self.assertEqual('413', self.status[:3])
        self.assertIn(b'body_too_large', body)

    def test_chunked_body_over_its_limit(self) -> None:
        """Guard against a body that is read because its length is unknown."""
        route = Route(method='GET', pattern='/', handler=_answer_empty)
        self.application = build_application((route,), 10)
        self.answer(build_environ('/', '', ''))
        self.assertEqual('413', self.status[:3])


class RequestLineTest(TestCase):
    """Paths that callers send are encoded before they are forwarded."""

    def test_line_breaks_in_a_path_are_encoded(self) -> None:
        """Guard against a path that injects headers into a request."""
        path = '/calls/x HTTP/1.1\r\nX-Injected: 1\r\n\r\n'
        encoded = encode_path(path)
        self.assertEqual(
            [], [character for character in ' \r\n' if character in encoded]
        )

    def test_valid_path_is_not_changed(self) -> None:
        """Guard against encoding a path twice."""
        path = '/v1/streams/p.child:1:2?offset=3&x=%20'
        self.assertEqual(path, encode_path(path))


def build_application(
    routes: tuple[Route, ...], body_bytes: int
) -> WebApplication:
    """Return an application that sends no metrics."""
    return WebApplication(
        routes=routes, max_body_bytes=body_bytes, metrics=NoMetrics()
    )


def _answer_empty(_request: Request) -> Response:
    return Response()
