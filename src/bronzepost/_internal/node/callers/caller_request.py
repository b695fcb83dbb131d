"""Read the fields of a call from headers or from the body's metadata."""

import dataclasses
import re
from collections.abc import Mapping
from typing import Any, Final

from bronzepost._internal.node.callers.web import Request, refuse_parameter

PROGRAM_PATTERN: Final = re.compile(
    r'[A-Za-z0-9_-]{1,64}(\.[A-Za-z0-9_-]{1,64}){0,8}'
)
NAME_PATTERN: Final = re.compile('[A-Za-z0-9_-]{1,64}')
UPSTREAM_PATTERN: Final = re.compile(
    r'[A-Za-z0-9_.-]{1,128} [A-Za-z0-9_.:~-]{1,700}'
)
MAX_KEY_LENGTH: Final = 256
MAX_IMPORTANCE: Final = 10
# The largest integer that every JSON implementation represents exactly.
MAX_INTEGER: Final = 9007199254740991
_MAX_INTEGER_DIGITS: Final = 16
_MAX_SHOWN_LENGTH: Final = 80
MAX_DEADLINE_SECONDS: Final = 86400.0
MAX_HOPS: Final = 3

_PREFIX: Final = 'bronzepost-'
HOPS_HEADER: Final = 'bronzepost-hops'
_VALID_HOPS: Final = frozenset(str(hops) for hops in range(MAX_HOPS + 1))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerFields:
    """The fields of a call apart from its content.

    Empty strings, zero and None stand for fields that are not set.
    ``deadline_seconds`` counts from the arrival of the request. ``offset`` is
    the first chunk that the caller does not have yet. ``upstream`` names the
    engine's stream that produced an earlier answer to the same call, and
    ``hops`` is the number of nodes that have forwarded the request.
    """

    program: str = ''
    sequence: int = 0
    key: str = ''
    organisation: str = ''
    service: str = ''
    budget: int | None = None
    importance: int | None = None
    deadline_seconds: float | None = None
    non_idempotent: bool = False
    offset: int = 0
    upstream: str = ''
    traceparent: str = ''
    hops: int = 0


def read_caller_fields(
    request: Request, metadata: Mapping[str, Any] | None = None
) -> CallerFields:
    """Return the checked fields of a request.

    A header overrides the metadata field of the same name.

    Raises:
        RefusedError: if a field is invalid; the error names the field.
    """
    reader = _FieldReader(headers=request.headers, metadata=metadata or {})
    return CallerFields(
        program=reader.read_name('program', PROGRAM_PATTERN),
        sequence=reader.read_integer('sequence', 1, MAX_INTEGER) or 0,
        key=_read_key(request, metadata or {}),
        organisation=reader.read_name('organisation', NAME_PATTERN),
        service=reader.read_name('service', NAME_PATTERN),
        budget=reader.read_integer('budget', 0, MAX_INTEGER),
        importance=reader.read_integer('importance', 1, MAX_IMPORTANCE),
        deadline_seconds=reader.read_seconds('deadline'),
        non_idempotent=reader.read_flag('non-idempotent'),
        offset=reader.read_integer('offset', 0, MAX_INTEGER) or 0,
        upstream=reader.read_name('upstream', UPSTREAM_PATTERN),
        traceparent=request.headers.get('traceparent', ''),
        hops=read_hops(request),
    )


def read_hops(request: Request) -> int:
    """Return how many nodes have forwarded a request.

    Raises:
        RefusedError: if the header is not a number of hops in the range.
    """
    text = request.headers.get(HOPS_HEADER, '0')
    if text not in _VALID_HOPS:
        raise refuse_parameter(
            HOPS_HEADER.title(), f'not a whole number up to {MAX_HOPS}'
        )
    return int(text)


def _read_key(request: Request, metadata: Mapping[str, Any]) -> str:
    key = request.headers.get('idempotency-key', '')
    key = key or str(metadata.get('idempotency_key', ''))
    if len(key) > MAX_KEY_LENGTH:
        raise refuse_parameter(
            'Idempotency-Key', f'longer than {MAX_KEY_LENGTH} characters'
        )
    return key


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _FieldReader:
    headers: Mapping[str, str]
    metadata: Mapping[str, Any]

    def read_text(self, name: str) -> str:
        text = self.headers.get(f'{_PREFIX}{name}')
        if text is None:
            metadata_name = f'{_PREFIX}{name}'.replace('-', '_')
            text = str(self.metadata.get(metadata_name, ''))
        return text.strip()

    def read_name(self, name: str, pattern: re.Pattern[str]) -> str:
        text = self.read_text(name)
        if text and not pattern.fullmatch(text):
            raise refuse_parameter(
                _format_header_name(name),
                f'{text[:_MAX_SHOWN_LENGTH]!r} is not {pattern.pattern}',
            )
        return text

    def read_integer(
        self, name: str, min_value: int, max_value: int
    ) -> int | None:
        text = self.read_text(name)
        if not text:
            return None
        is_number = (
            text.isascii()
            and text.isdecimal()
            and len(text) <= _MAX_INTEGER_DIGITS
        )
        if not is_number or not min_value <= int(text) <= max_value:
            raise refuse_parameter(
                _format_header_name(name),
                f'{text[:_MAX_SHOWN_LENGTH]!r} is not a whole number '
                f'from {min_value} to {max_value}',
            )
        return int(text)

    def read_seconds(self, name: str) -> float | None:
        text = self.read_text(name)
        if not text:
            return None
        try:
            seconds = float(text)
        except ValueError:
            seconds = 0
        if not 0 < seconds <= MAX_DEADLINE_SECONDS:
            raise refuse_parameter(
                _format_header_name(name),
                f'{text[:_MAX_SHOWN_LENGTH]!r} is not a number of seconds '
                f'above 0 and up to {MAX_DEADLINE_SECONDS:g}',
            )
        return seconds

    def read_flag(self, name: str) -> bool:
        text = self.read_text(name).lower()
        if text not in {'', 'true', 'false'}:
            raise refuse_parameter(
                _format_header_name(name),
                f'{text[:_MAX_SHOWN_LENGTH]!r} is not true or false',
            )
        return text == 'true'


def _format_header_name(name: str) -> str:
    return f'{_PREFIX}{name}'.title()
